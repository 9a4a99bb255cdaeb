#pragma once

#include "dispatch.h"
#include "groupmonitor.h"
#include "router.h"
#include "serviceconfiguration.h"
#include "targetgate.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

using gate_map = std::map<target_id, std::shared_ptr<target_gate>>;

/** The gates of the targets of one group; shared by the group's services. Thread-safe. */
class gate_table
{
public:
    void set(gate_map gates);
    std::shared_ptr<const gate_map> get() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const gate_map> m_gates = std::make_shared<const gate_map>();
};

struct service_router_counts {
    std::uint64_t readsAllowedOnReplicas = 0;
    std::uint64_t readsOnReplicas = 0;
    std::uint64_t refused = 0; ///< Not run.
    std::uint64_t preempted = 0; ///< Reads that were cancelled to run again.
    std::size_t waiting = 0; ///< Held for a route.
};

/**
 * Brings the requests of one service to targets: asks the router, waits where it says so, and passes on to the gate.
 *
 * Thread-safe. A request that waits for a route is looked at again when the view of the group changes and each 10 ms.
 */
class service_router : public std::enable_shared_from_this<service_router>
{
public:
    service_router(asio::io_context &io,
                   service_id service,
                   router_settings settings,
                   std::shared_ptr<group_monitor> monitor,
                   std::shared_ptr<gate_table> gates,
                   std::shared_ptr<shared_costs> costs);

    std::uint64_t dispatch(const dispatch_request &request, service_hooks::dispatch_handler done);
    void cancel(std::uint64_t ticket);
    /** Where @p request would go now; nothing is sent. */
    route explain(const dispatch_request &request) const;
    void onViewChanged();
    /** Refuses what waits; nothing is taken afterwards. */
    void stop();
    service_router_counts counts() const;
    const group_monitor &monitor() const;

private:
    struct job {
        std::uint64_t ticket = 0;
        dispatch_request request;
        service_hooks::dispatch_handler done;
        std::optional<position> readIndex;
        time_point waitsSince = never; ///< For a replica that catches up.
        int attempts = 0;
        std::uint64_t term = 0; ///< Highest known when it was routed.
        bool isCounted = false;
    };
    using job_ptr = std::shared_ptr<job>;

    void step(const job_ptr &work);
    route decide(const dispatch_request &wanted, const group_view &view, const gate_map &gates, time_point now) const;
    void submit(const job_ptr &work, const route &decision);
    void onGateAnswer(const job_ptr &work, const target_id &target, bool toPrimary, gate_answer answer);
    void askReadIndex(const job_ptr &work, const route &decision);
    void hold(const job_ptr &work);
    void refuse(const job_ptr &work, const std::string &why);
    void finish(const job_ptr &work, dispatch_result result);
    void logRoute(const job &work, const route &decision) const;
    void countRead(job &work, bool onReplica);
    std::vector<job_ptr> takeHeld();
    void scheduleTick();
    std::shared_ptr<target_gate> gate(const target_id &target) const;
    std::unique_ptr<connection_lease> makeLease(const job &work,
                                                const target_id &target,
                                                bool isPrimary,
                                                std::shared_ptr<target_connection> connection);

    const service_id m_service;
    const router m_router;
    std::shared_ptr<group_monitor> m_monitor;
    std::shared_ptr<gate_table> m_gates;
    std::shared_ptr<shared_costs> m_costs;

    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, job_ptr> m_held;
    std::unordered_map<std::uint64_t, target_id> m_submitted;
    asio::steady_timer m_timer;
    bool m_ticking = false;
    bool m_stopped = false;
    service_router_counts m_counts;
};

}
