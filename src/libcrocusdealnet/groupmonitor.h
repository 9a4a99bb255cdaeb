#pragma once

#include "databasegroup.h"
#include "followerrepair.h"
#include "groupwaiters.h"
#include "promotionrunner.h"
#include "targetcontrol.h"

#include <atomic>
#include <mutex>

namespace crocusdeal
{

struct group_monitor_settings {
    group_id group;
    std::vector<target_address> targets; ///< Hosts are IP numbers.
    instance_id self;
    std::string user;
    std::string database; ///< Of the control connections; empty for libpq's default.
    confirm_mode confirm = confirm_mode::Replica;
    group_policy policy;
};

/** Called on the monitor's strand, hence on any worker; they must not block. */
struct group_monitor_hooks {
    std::function<time_point()> now;
    std::function<void(group_log_level, const std::string &)> log;
    /** The term, a role, the primary or its suspicion changed, or a target is heard again after more than 1 s. */
    std::function<void(group_view_ptr)> onViewChanged;
    /** Asked each tick. In the order of promotion, from 0; negative: not a candidate. A few candidates suffice, since
     * each probes. */
    std::function<int()> candidateRank;
    std::function<bool(const target_id &)> isProber;
    std::function<void(std::uint64_t term, const target_id &primary)> onHint;
    /** The primary refuses connections: the peers are to be asked what they heard of it. May be empty. */
    std::function<void()> onPrimaryRefused;
    /** A target answered group_status(); may be empty. */
    std::function<void(const target_id &, const target_status &, time_point askedAt)> onControlStatus;
    /** Requests of this instance that are queued or running at the target; may be empty. */
    std::function<int(const target_id &)> requestsAt;
};

/** What this instance itself heard from a target, for other instances. */
struct group_fact {
    target_id target;
    target_state state;
    duration age{}; ///< Upper bound.
};

/**
 * Watches and controls one database group. All public functions may be called from any thread.
 *
 * Callbacks come on any worker, each exactly once; after stop() with the outcome of a passed deadline.
 */
class group_monitor : public std::enable_shared_from_this<group_monitor>
{
public:
    using confirm_callback = group_waiters::confirm_callback;
    using index_callback = group_waiters::index_callback;
    using wait_callback = group_waiters::wait_callback;
    using promote_callback = promotion_runner::callback;

    group_monitor(asio::io_context &context, group_monitor_settings settings, group_monitor_hooks hooks);

    void start();
    void stop();
    void updateTargets(std::vector<target_address> targets);
    void setDrained(std::set<target_id> drained);
    void setConfirmMode(confirm_mode mode);

    /**
     * The newest snapshot; never null. Asking for it keeps the knowledge of all targets fresh for 2 s; after a longer
     * break the targets are asked at once, and onViewChanged tells when they answered.
     */
    group_view_ptr view();

    /**
     * A state that @p target reported in band with the answer to a request sent at @p askedAt. Counts as an own
     * observation. A state remembered from an earlier answer must not be passed again with a later time.
     */
    void observe(const target_id &target, const target_state &state, time_point askedAt);

    /** A state that another instance reported; the target had it at some time from @p notBefore on. */
    void observePeer(const target_id &target, const target_state &state, time_point notBefore);

    /** Control connections that are open, as of the last tick. */
    std::map<target_id, int> controlConnections() const;

    /** Own observations of the last 2 s. */
    std::vector<group_fact> facts() const;

    /**
     * Confirms the committed write at @p at. The primary's in-band state with it is to be passed to observe() before.
     */
    void confirmWrite(position at, time_point deadline, confirm_callback done);

    /** A position that includes every write acknowledged before @p startedAt; nothing if the deadline passed. */
    void readIndex(time_point startedAt, time_point deadline, index_callback done);

    /** Waits until the replica @p target reached @p at. */
    void awaitReplica(const target_id &target, position at, time_point deadline, wait_callback done);

    /**
     * A planned change to @p target, or to the furthest database that is not drained. If the primary answers, this
     * instance gives it no new work and waits for its own writes there before it fences.
     */
    void promote(std::optional<target_id> target, promote_callback done);

private:
    struct planned_change {
        std::optional<target_id> target;
        time_point deadline;
        promote_callback done;
    };

    void tick();
    void scheduleTick();
    void countControls();
    void step();
    void probe(time_point now);
    bool wantsProbe(const target_id &target, time_point now, bool standby) const;
    void wake();
    void stepWaiters(time_point now);
    void stepRepair(time_point now);
    void stepPlanned(time_point now);
    bool awaitsWrites(const planned_change &change, time_point now);
    void setHeld(std::optional<target_id> target);
    void stepCandidate(time_point now);
    void stepDrain(time_point now);

    void takeState(const target_id &target, const target_state &state, time_point askedAt, observation_source source);
    void takeStatus(const target_id &target, const target_status &status, time_point askedAt);
    bool isUnheard(const target_id &target, time_point now) const;
    void recordFact(const target_id &target, const target_state &state, time_point askedAt);
    void afterObservation(time_point now, bool changed);
    void publish(time_point now, bool changed);
    group_view_ptr renewView(time_point now);
    void rebuildControls();
    std::shared_ptr<target_control> makeControl(const target_address &target);
    target_control *control(const target_id &target);
    std::string upstreamOf(const target_id &target) const;

    void give(const order_target &order);
    void onOrder(const order_answer &answer, const std::string &error);
    void onFailure(const target_id &target, const control_result &result);
    void watchFailingPrimary(const target_id &primary, const control_result &result);
    void log(group_log_level level, const std::string &line) const;

    control_connection::strand m_strand;
    asio::steady_timer m_timer;
    group_monitor_settings m_settings;
    group_monitor_hooks m_hooks;

    database_group m_group;
    group_waiters m_waiters;
    follower_repair m_repair;
    promotion_runner m_promotion;
    std::map<target_id, std::shared_ptr<target_control>> m_controls;
    std::map<target_id, time_point> m_nextProbe;
    std::map<target_id, bool> m_failing;

    std::vector<planned_change> m_planned;
    std::optional<target_id> m_held; ///< The primary that gets no new work.
    time_point m_heldSince = never;
    time_point m_writesSeenAt = never; ///< When one was in flight at the held primary.
    time_point m_renewedAt = never;
    time_point m_drainSeenAt = never;
    int m_rank = -1; ///< As of the last tick.
    bool m_running = false;
    bool m_inStep = false;
    bool m_suspected = false;

    std::atomic<std::int64_t> m_usedAt = never.ms; ///< When a statement was routed last.
    mutable std::mutex m_mutex; ///< Guards the two below.
    group_view_ptr m_view;
    std::map<target_id, std::pair<target_state, time_point>> m_ownFacts;
    std::map<target_id, int> m_controlCounts;
};

}
