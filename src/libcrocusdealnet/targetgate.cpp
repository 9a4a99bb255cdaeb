#include "targetgate.h"

#include "partlog.h"
#include "systemclock.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace crocusdeal
{

namespace
{

/** Longer than any wait of a healthy process between two beats of 100 ms. */
constexpr duration pauseBound{1000};
/** Statements that run or wait for longer are logged: the default of `long_statement_ms`. */
constexpr duration loggedRun{200};
constexpr duration loggedWait{50};

const part_log &queueLog()
{
    static const part_log log("queue");
    return log;
}
/** Short against the least time after which a statement counts as overrunning. */
constexpr std::chrono::milliseconds overrunCheckPeriod{20};

}

shared_costs::shared_costs(const statement_costs_settings &settings)
    : m_costs(settings)
{
}

cost_estimate shared_costs::estimate(std::uint64_t fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_costs.estimate(fingerprint);
}

cost_estimate shared_costs::estimateRunning(std::uint64_t fingerprint, duration ranFor) const
{
    const std::lock_guard lock(m_mutex);
    return m_costs.estimateRunning(fingerprint, ranFor);
}

double shared_costs::record(std::uint64_t fingerprint, duration ran, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto baseline = m_costs.baseline(fingerprint);
    m_costs.record(fingerprint, ran, now);
    return baseline;
}

void shared_costs::recordRunning(std::uint64_t fingerprint, duration ranFor)
{
    const std::lock_guard lock(m_mutex);
    m_costs.recordRunning(fingerprint, ranFor);
}

void shared_costs::recordEnded(std::uint64_t fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_costs.recordEnded(fingerprint);
}

void shared_costs::adopt(const std::vector<shared_shape> &shapes, time_point now)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &shape : shapes) {
        m_costs.adopt(shape, now);
    }
}

std::vector<shared_shape> shared_costs::measured(time_point now)
{
    const std::lock_guard lock(m_mutex);
    return m_costs.measured(now);
}

void shared_costs::recordAborted(std::uint64_t fingerprint, duration ran, time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_costs.recordAborted(fingerprint, ran, now);
}

void shared_costs::beat(time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_beatAt != never && now - m_beatAt > pauseBound) {
        m_resumedAt = now;
    }
    m_beatAt = now;
}

bool shared_costs::ranThroughPause(time_point since, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    // After a pause an answer may be handled before the next beat.
    return since < m_resumedAt || (m_beatAt != never && now - m_beatAt > pauseBound);
}

target_gate::target_gate(asio::io_context &io,
                         std::shared_ptr<connection_pool> pool,
                         std::shared_ptr<shared_costs> costs,
                         concurrency_limit_settings capacity)
    : m_pool(std::move(pool))
    , m_costs(std::move(costs))
    , m_limit(capacity)
    , m_watchTimer(io)
    , m_timer(io)
{
    m_queue.setLimit(m_limit.limit(), systemNow());
}

void target_gate::submit(const queue_entry &entry, gate_statement statement, handler done)
{
    queue_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        noteRunning(entry, statement.fingerprint);
        m_submitted[entry.id].preempt = std::move(statement.preempt);
        if (!statement.wasPreempted) {
            m_preemption.onRequest(systemNow());
        }
        m_handlers.emplace(entry.id, std::move(done));
        actions = m_queue.submit(entry, systemNow());
    }
    apply(std::move(actions));
}

void target_gate::cancel(std::uint64_t id)
{
    queue_actions actions;
    handler done;
    {
        const std::lock_guard lock(m_mutex);
        const auto before = m_queue.waiting();
        actions = m_queue.cancel(id, systemNow());
        if (m_queue.waiting() < before) {
            const auto found = m_handlers.find(id);
            if (found != m_handlers.end()) {
                done = std::move(found->second);
                m_handlers.erase(found);
            }
            m_submitted.erase(id);
        }
    }
    if (done) {
        done({nullptr, "cancelled", connect_error::None});
    }
    apply(std::move(actions));
}

void target_gate::finish(std::uint64_t id, std::shared_ptr<target_connection> connection, bool reusable)
{
    // The connection goes back first, so that the next request finds it instead of opening another.
    if (connection) {
        m_pool->release(std::move(connection), reusable);
    }
    pause(id);
}

void target_gate::pause(std::uint64_t id)
{
    queue_actions actions;
    std::function<void()> onLongFinished;
    running_statement ended;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_submitted.find(id);
        if (found != m_submitted.end()) {
            if (found->second.isLong) {
                onLongFinished = m_onLongFinished;
            }
            m_costs->recordEnded(found->second.fingerprint);
            ended = std::move(found->second);
            m_submitted.erase(found);
        }
        actions = m_queue.finish(id, systemNow());
    }
    logEnd(ended);
    if (onLongFinished) {
        onLongFinished();
    }
    apply(std::move(actions));
}

void target_gate::noteRunning(const queue_entry &entry, std::uint64_t fingerprint)
{
    running_statement statement;
    statement.fingerprint = fingerprint;
    statement.deadline = entry.deadline;
    statement.isLong = entry.cls == work_class::Long;
    statement.submitted = systemNow();
    statement.wasKnown = m_costs->estimate(fingerprint).isKnown;
    m_submitted[entry.id] = statement;
}

/** One line for each statement that ran long or waited long, to tell what a short statement waited for. */
void target_gate::logEnd(const running_statement &statement) const
{
    if (statement.since == never || !queueLog().isEnabled(log_level::Info)) {
        return;
    }
    const auto ran = systemNow() - statement.since;
    const auto admitted = statement.admitted == never ? statement.submitted : statement.admitted;
    const auto waited = statement.since - statement.submitted;
    if (ran < loggedRun && waited < loggedWait) {
        return;
    }
    queueLog().write(log_level::Info,
                     m_pool->address().id.str() + " shape " + std::to_string(statement.fingerprint) + " waited "
                         + std::to_string((admitted - statement.submitted).ms) + " ms for a place and "
                         + std::to_string((statement.since - admitted).ms) + " ms for a connection, ran "
                         + std::to_string(ran.ms) + " ms " + (statement.isLong ? "under a permit" : "without a permit")
                         + ", shape " + (statement.wasKnown ? "known" : "unknown") + ", "
                         + std::to_string(statement.longAtStart) + " long running here at its start");
}

void target_gate::setOnLongFinished(std::function<void()> hook)
{
    const std::lock_guard lock(m_mutex);
    m_onLongFinished = std::move(hook);
}

void target_gate::setPermitHooks(permit_hooks hooks)
{
    const std::lock_guard lock(m_mutex);
    m_permits = std::move(hooks);
}

/** Checks for overrunning statements until none runs. */
void target_gate::watchRunning()
{
    const std::lock_guard lock(m_mutex);
    if (m_submitted.empty() || std::exchange(m_watching, true)) {
        return;
    }
    m_watchTimer.expires_after(overrunCheckPeriod);
    m_watchTimer.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (self && !error) {
            self->checkRunning();
        }
    });
}

void target_gate::checkRunning()
{
    const auto now = systemNow();
    permit_hooks permits;
    queue_actions actions;
    bool isDemandHigher = false;
    int demand = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_watching = false;
        permits = m_permits;
        isDemandHigher = reclassifyOverrunning(now, actions);
        demand = m_queue.longDemand();
    }
    apply(std::move(actions));
    if (isDemandHigher) {
        permits.onDemand(demand);
    }
    const bool isDenied = permits.isDenied();
    std::function<void()> preempt;
    {
        const std::lock_guard lock(m_mutex);
        preempt = choosePreempted(isDenied, now);
    }
    if (preempt) {
        preempt();
    }
    watchRunning();
}

bool target_gate::reclassifyOverrunning(time_point now, queue_actions &actions)
{
    bool any = false;
    for (auto &[id, statement] : m_submitted) {
        if (statement.since == never || statement.isLong || statement.isReclassified
            || !m_preemption.isOverrunning(now - statement.since, m_costs->estimate(statement.fingerprint).high)
            || m_costs->ranThroughPause(statement.since, now)) {
            continue;
        }
        statement.isReclassified = true;
        any = true;
        const auto changed = m_queue.reclassify(id, now);
        actions.start.insert(actions.start.end(), changed.start.begin(), changed.start.end());
        actions.refuse.insert(actions.refuse.end(), changed.refuse.begin(), changed.refuse.end());
    }
    return any;
}

/** The request to the session whose statement gives up its slot; empty if none has to. */
std::function<void()> target_gate::choosePreempted(bool isDenied, time_point now)
{
    permit_pressure pressure{m_queue.longRunning(), m_longPlaces, isDenied};
    int before = 0; // Statements that were admitted as long use the permits first.
    std::vector<running_statement *> overrunning;
    for (auto &[id, statement] : m_submitted) {
        if (statement.since == never) {
            continue;
        }
        before += statement.isLong ? 1 : 0;
        pressure.longRunning -= statement.isPreempting ? 1 : 0;
        if (statement.isReclassified && !statement.isPreempting) {
            overrunning.push_back(&statement);
        }
    }
    if (pressure.longRunning <= pressure.longPlaces) {
        return {};
    }
    std::sort(overrunning.begin(), overrunning.end(), [](const running_statement *a, const running_statement *b) {
        return a->since < b->since;
    });
    for (auto *statement : overrunning) {
        preemption_traits traits;
        traits.isRead = statement->preempt != nullptr;
        if (m_preemption.tryPreempt(traits, pressure, before++, now)) {
            statement->isPreempting = true;
            return statement->preempt;
        }
    }
    return {};
}

void target_gate::reclassify()
{
    const auto now = systemNow();
    queue_actions all;
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[id, statement] : m_submitted) {
            const bool counts =
                statement.since != never && !statement.isLong && !m_costs->ranThroughPause(statement.since, now);
            if (counts) {
                m_costs->recordRunning(statement.fingerprint, now - statement.since);
            }
            if (!counts || statement.isReclassified
                || !m_costs->estimateRunning(statement.fingerprint, now - statement.since).isLong) {
                continue;
            }
            statement.isReclassified = true;
            const auto actions = m_queue.reclassify(id, now);
            all.start.insert(all.start.end(), actions.start.begin(), actions.start.end());
            all.refuse.insert(all.refuse.end(), actions.refuse.begin(), actions.refuse.end());
        }
    }
    apply(std::move(all));
}

void target_gate::resume(const queue_entry &entry, std::uint64_t fingerprint)
{
    queue_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        noteRunning(entry, fingerprint);
        m_submitted[entry.id].since = systemNow();
        actions = m_queue.submit(entry, systemNow());
    }
    // Follow-up statements start at once; their handler is not needed.
    std::erase(actions.start, entry.id);
    apply(std::move(actions));
    watchRunning();
}

void target_gate::ran(std::uint64_t fingerprint, duration time)
{
    const auto now = systemNow();
    // The time of the pause would make a short statement count as long, which then waits for a permit.
    if (m_costs->ranThroughPause(now - time, now)) {
        return;
    }
    const auto baseline = m_costs->record(fingerprint, time, now);
    queue_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        const int before = m_limit.limit();
        m_limit.onFinished(time, baseline, static_cast<int>(m_queue.running()), now);
        if (m_limit.limit() != before) {
            actions = m_queue.setLimit(m_limit.limit(), now);
        }
    }
    apply(std::move(actions));
}

void target_gate::apply(queue_actions actions)
{
    std::vector<std::pair<handler, refuse_reason>> refused;
    if (!actions.refuse.empty()) {
        const std::lock_guard lock(m_mutex);
        for (const auto &refusal : actions.refuse) {
            const auto found = m_handlers.find(refusal.id);
            if (found != m_handlers.end()) {
                refused.emplace_back(std::move(found->second), refusal.reason);
                m_handlers.erase(found);
            }
            m_submitted.erase(refusal.id);
        }
    }
    if (actions.wakeAt) {
        scheduleTick(*actions.wakeAt);
    }
    for (auto &[done, reason] : refused) {
        done({nullptr, std::string(refuseReasonNames.name(reason)), connect_error::None});
    }
    for (const auto id : actions.start) {
        startRequest(id);
    }
}

void target_gate::startRequest(std::uint64_t id)
{
    handler done;
    time_point deadline;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_handlers.find(id);
        if (found == m_handlers.end()) {
            return;
        }
        done = std::move(found->second);
        m_handlers.erase(found);
        auto &statement = m_submitted[id];
        deadline = statement.deadline;
        statement.admitted = systemNow();
        statement.longAtStart = m_queue.longRunning() - (statement.isLong ? 1 : 0);
    }
    m_pool->acquire(deadline,
                    [self = shared_from_this(), id, done = std::move(done)](
                        std::shared_ptr<target_connection> connection, connect_error error, const std::string &reason) {
                        self->onConnection(id, done, std::move(connection), error, reason);
                    });
}

void target_gate::onConnection(std::uint64_t id,
                               const handler &done,
                               std::shared_ptr<target_connection> connection,
                               connect_error error,
                               const std::string &reason)
{
    if (connection) {
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_submitted.find(id);
            if (found != m_submitted.end()) {
                found->second.since = systemNow();
            }
        }
        watchRunning();
        done({std::move(connection), {}, connect_error::None});
        return;
    }
    if (error == connect_error::Full) {
        const std::lock_guard lock(m_mutex);
        m_limit.onRefused(systemNow());
    }
    pause(id);
    done({nullptr, reason, error});
}

void target_gate::scheduleTick(time_point at)
{
    const auto now = systemNow();
    const std::lock_guard lock(m_mutex);
    if (m_tickAt > now && m_tickAt <= at) {
        return;
    }
    m_tickAt = at;
    m_timer.expires_after(std::chrono::milliseconds(std::max<std::int64_t>(1, (at - now).ms)));
    m_timer.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        queue_actions actions;
        {
            const std::lock_guard tickLock(self->m_mutex);
            self->m_tickAt = never;
            actions = self->m_queue.tick(systemNow());
        }
        self->apply(std::move(actions));
    });
}

void target_gate::setCapacity(concurrency_limit_settings capacity)
{
    queue_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_limit.setCapacity(capacity);
        actions = m_queue.setLimit(m_limit.limit(), systemNow());
    }
    apply(std::move(actions));
}

void target_gate::setLongPlaces(int places)
{
    queue_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_longPlaces = places;
        actions = m_queue.setLongPlaces(places, systemNow());
    }
    apply(std::move(actions));
}

int target_gate::longDemand() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.longDemand();
}

int target_gate::longRunning() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.longRunning();
}

target_load target_gate::load() const
{
    const std::lock_guard lock(m_mutex);
    const auto waiting = m_queue.waiting();
    target_load load;
    load.queuedAndRunning = static_cast<int>(waiting + m_queue.running());
    load.expectedWait = m_queue.backlog() / std::max(1, m_limit.limit());
    return load;
}

void target_gate::refuseAll(refuse_reason reason)
{
    queue_actions actions;
    {
        const std::lock_guard lock(m_mutex);
        actions = m_queue.refuseAll(reason);
    }
    apply(std::move(actions));
}

connection_pool &target_gate::pool()
{
    return *m_pool;
}

std::size_t target_gate::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.waiting();
}

std::size_t target_gate::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.running();
}

int target_gate::limit() const
{
    const std::lock_guard lock(m_mutex);
    return m_limit.limit();
}

}
