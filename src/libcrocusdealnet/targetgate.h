#pragma once

#include "admissionqueue.h"
#include "concurrencylimit.h"
#include "connectionpool.h"
#include "preemptionpolicy.h"
#include "router.h"
#include "statementcosts.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

/** The running times of statement shapes on all targets. Thread-safe. */
class shared_costs
{
public:
    explicit shared_costs(const statement_costs_settings &settings);

    cost_estimate estimate(std::uint64_t fingerprint) const;
    cost_estimate estimateRunning(std::uint64_t fingerprint, duration ranFor) const;
    /** Takes in a completed execution; returns the baseline known before. */
    double record(std::uint64_t fingerprint, duration ran, time_point now);
    /** Takes in an execution that was cancelled after @p ran. */
    void recordAborted(std::uint64_t fingerprint, duration ran, time_point now);

    /** Takes in that a statement still runs. */
    void recordRunning(std::uint64_t fingerprint, duration ranFor);
    void recordEnded(std::uint64_t fingerprint);
    void adopt(const std::vector<shared_shape> &shapes, time_point now);
    std::vector<shared_shape> measured(time_point now);

    /** To be called each 100 ms; a gap shows a pause of this instance. */
    void beat(time_point now);
    /** Whether a statement that was sent at @p since ran through a pause of this instance. */
    bool ranThroughPause(time_point since, time_point now) const;

private:
    mutable std::mutex m_mutex;
    statement_costs m_costs;
    time_point m_beatAt = never;
    time_point m_resumedAt = never;
};

/** The answer to one request for a connection: a connection, or why not. */
struct gate_answer {
    std::shared_ptr<target_connection> connection;
    std::string refusal;
    connect_error connectError = connect_error::None; ///< Set if the target could not be reached.
};

/** A statement that is submitted to a gate. */
struct gate_statement {
    std::uint64_t fingerprint = 0;
    bool wasPreempted = false;
    std::function<void()> preempt; ///< As in dispatch_request.
};

/** The permits for long statements on the target of a gate; called without a lock held. */
struct permit_hooks {
    std::function<bool()> isDenied; ///< The owner has answered that no further permit is free.
    std::function<void(int demand)> onDemand; ///< More long statements run than before.
};

/**
 * Admits the requests of this instance to one target: order, concurrency limit, long places and connections.
 *
 * Thread-safe. Handlers run without a lock held, on any thread, also before a call returns.
 */
class target_gate : public std::enable_shared_from_this<target_gate>
{
public:
    using handler = std::function<void(gate_answer)>;

    target_gate(asio::io_context &io,
                std::shared_ptr<connection_pool> pool,
                std::shared_ptr<shared_costs> costs,
                concurrency_limit_settings capacity);

    /** Asks for a place and a connection; @p entry needs an id that is unique at this gate. */
    void submit(const queue_entry &entry, gate_statement statement, handler done);
    void cancel(std::uint64_t id);
    /** The request of @p id ended and gives its connection back. */
    void finish(std::uint64_t id, std::shared_ptr<target_connection> connection, bool reusable);
    /** A transaction keeps its connection, but no statement runs. */
    void pause(std::uint64_t id);
    /** The next statement of a paused transaction starts; it does not wait. */
    void resume(const queue_entry &entry, std::uint64_t fingerprint);
    /** A statement of @p fingerprint completed. */
    void ran(std::uint64_t fingerprint, duration time);

    void setCapacity(concurrency_limit_settings capacity);
    void setLongPlaces(int places);
    int longDemand() const;
    /** Long statements that run, also without a permit. */
    int longRunning() const;
    target_load load() const;
    /** Counts statements that run longer than expected as long; to be called each 100 ms. */
    void reclassify();
    void setPermitHooks(permit_hooks hooks);
    /** Called after a long statement that ran under a permit has ended. */
    void setOnLongFinished(std::function<void()> hook);
    /** Refuses all waiting requests. */
    void refuseAll(refuse_reason reason);
    connection_pool &pool();
    std::size_t waiting() const;
    std::size_t running() const;
    int limit() const;

private:
    struct running_statement {
        std::uint64_t fingerprint = 0;
        time_point since = never;
        time_point deadline;
        bool isLong = false; ///< Admitted as long, under a permit.
        bool isReclassified = false;
        time_point submitted; ///< To the queue.
        time_point admitted = never; ///< By the queue; a connection may be waited for after that.
        bool wasKnown = false; ///< The shape had running times at the submission.
        int longAtStart = 0; ///< Long statements of this instance that ran on the target at the admission.
        bool isPreempting = false; ///< Its session was asked to cancel it.
        std::function<void()> preempt; ///< Empty if it must not be preempted.
    };

    void apply(queue_actions actions);
    void noteRunning(const queue_entry &entry, std::uint64_t fingerprint);
    void logEnd(const running_statement &statement) const;
    void watchRunning();
    void checkRunning();
    bool reclassifyOverrunning(time_point now, queue_actions &actions);
    std::function<void()> choosePreempted(bool isDenied, time_point now);
    void startRequest(std::uint64_t id);
    void onConnection(std::uint64_t id,
                      const handler &done,
                      std::shared_ptr<target_connection> connection,
                      connect_error error,
                      const std::string &reason);
    void scheduleTick(time_point at);

    std::shared_ptr<connection_pool> m_pool;
    std::shared_ptr<shared_costs> m_costs;

    mutable std::mutex m_mutex;
    admission_queue m_queue;
    concurrency_limit m_limit;
    std::unordered_map<std::uint64_t, handler> m_handlers;
    std::unordered_map<std::uint64_t, running_statement> m_submitted;
    std::function<void()> m_onLongFinished = [] {};
    permit_hooks m_permits{[] { return false; }, [](int) {}};
    preemption_policy m_preemption;
    int m_longPlaces = 0;
    asio::steady_timer m_watchTimer;
    bool m_watching = false;
    asio::steady_timer m_timer;
    time_point m_tickAt = never;
};

}
