#include "servicerouter.h"

#include "partlog.h"
#include "systemclock.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::chrono::milliseconds holdTick{10};
/** Requests that may wait for a route; more are refused at once. */
constexpr std::size_t maxHeld = 20000;
/** A target that fails to open connections is tried so often before the request is held for a while. */
constexpr int quickAttempts = 3;

const part_log &routeLog()
{
    static const part_log log("route");
    return log;
}

route_class routeClass(const dispatch_request &request)
{
    switch (request.cls) {
    case statement_class::Read:
    case statement_class::BeginReadOnly:
        return request.maxStaleness ? route_class::StaleRead : route_class::Read;
    case statement_class::SessionState:
        return route_class::Pinned;
    default:
        return route_class::Write;
    }
}

bool isRead(const dispatch_request &request)
{
    const auto kind = routeClass(request);
    return kind == route_class::Read || kind == route_class::StaleRead;
}

/** Numbers of requests at a gate; services of one group share its gates. */
std::uint64_t nextGateId()
{
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

}

void gate_table::set(gate_map gates)
{
    auto next = std::make_shared<const gate_map>(std::move(gates));
    const std::lock_guard lock(m_mutex);
    m_gates.swap(next);
}

std::shared_ptr<const gate_map> gate_table::get() const
{
    const std::lock_guard lock(m_mutex);
    return m_gates;
}

service_router::service_router(asio::io_context &io,
                               service_id service,
                               router_settings settings,
                               std::shared_ptr<group_monitor> monitor,
                               std::shared_ptr<gate_table> gates,
                               std::shared_ptr<shared_costs> costs)
    : m_service(std::move(service))
    , m_router(std::move(settings))
    , m_monitor(std::move(monitor))
    , m_gates(std::move(gates))
    , m_costs(std::move(costs))
    , m_timer(io)
{
}

std::uint64_t service_router::dispatch(const dispatch_request &request, service_hooks::dispatch_handler done)
{
    auto work = std::make_shared<job>();
    work->request = request;
    work->done = std::move(done);
    work->ticket = nextGateId();
    if (request.wasPreempted && !request.avoid) {
        const std::lock_guard lock(m_mutex);
        ++m_counts.preempted;
    }
    step(work);
    return work->ticket;
}

route service_router::explain(const dispatch_request &request) const
{
    return decide(request, *m_monitor->view(), *m_gates->get(), systemNow());
}

route service_router::decide(const dispatch_request &wanted,
                             const group_view &view,
                             const gate_map &gates,
                             time_point now) const
{
    route_request request;
    request.kind = routeClass(wanted);
    request.token = wanted.token;
    request.startedAt = wanted.sessionStart;
    request.maxAge = wanted.maxStaleness;
    request.deadline = wanted.deadline;
    load_table load;
    if (isRead(wanted)) {
        for (const auto &[target, gate] : gates) {
            load.emplace(target, gate->load());
        }
    }
    return m_router.decide(request, view, load, now);
}

void service_router::step(const job_ptr &work)
{
    const auto now = systemNow();
    if (now >= work->request.deadline) {
        refuse(work, "no target could take it before its deadline");
        return;
    }
    const auto view = m_monitor->view();
    const auto gates = m_gates->get();
    const auto decision = decide(work->request, *view, *gates, now);
    switch (decision.kind) {
    case route_kind::ToReplica:
    case route_kind::ToPrimary:
        if (work->request.avoid == decision.target && work->attempts < quickAttempts) {
            // The view does not show yet why the target refused; it will within a probe.
            ++work->attempts;
            hold(work);
            return;
        }
        logRoute(*work, decision);
        work->term = view->highestTerm;
        submit(work, decision);
        return;
    case route_kind::WaitForReplica:
    case route_kind::Park:
        hold(work);
        return;
    case route_kind::ReadIndexFirst:
        askReadIndex(work, decision);
        return;
    case route_kind::Refuse:
        refuse(work, std::string(routeReasonNames.name(decision.reason)));
        return;
    }
}

void service_router::logRoute(const job &work, const route &decision) const
{
    if (!routeLog().isEnabled(log_level::Info)) {
        return;
    }
    const auto &request = work.request;
    std::string line = m_service.str() + " session " + std::to_string(request.session) + ' '
        + std::string(statementClassNames.name(request.cls)) + " to " + decision.target.str() + ", "
        + std::string(routeReasonNames.name(decision.reason));
    if (request.token) {
        line += ", token " + toString(*request.token);
    }
    if (request.maxStaleness) {
        line += ", staleness " + std::to_string(request.maxStaleness->ms) + " ms";
    }
    routeLog().write(log_level::Info, line);
}

std::shared_ptr<target_gate> service_router::gate(const target_id &target) const
{
    const auto gates = m_gates->get();
    const auto found = gates->find(target);
    return found == gates->end() ? nullptr : found->second;
}

void service_router::submit(const job_ptr &work, const route &decision)
{
    const auto target = decision.target;
    const auto destination = gate(target);
    if (!destination) {
        hold(work);
        return;
    }
    const auto cost = m_costs->estimate(work->request.fingerprint);
    queue_entry entry;
    entry.id = work->ticket;
    entry.service = m_service;
    entry.caller = work->request.session;
    entry.cls = cost.isLong || work->request.wasPreempted ? work_class::Long : work_class::Short;
    entry.expected = cost.expected;
    entry.deadline = work->request.deadline;
    {
        const std::lock_guard lock(m_mutex);
        m_submitted[work->ticket] = target;
    }
    const bool toPrimary = decision.kind == route_kind::ToPrimary;
    countRead(*work, !toPrimary);
    destination->submit(entry,
                        {work->request.fingerprint, work->request.wasPreempted, work->request.preempt},
                        [self = shared_from_this(), work, target, toPrimary](gate_answer answer) {
                            self->onGateAnswer(work, target, toPrimary, std::move(answer));
                        });
}

void service_router::countRead(job &work, bool onReplica)
{
    if (!isRead(work.request) || std::exchange(work.isCounted, true)) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    ++m_counts.readsAllowedOnReplicas;
    m_counts.readsOnReplicas += onReplica ? 1 : 0;
}

std::unique_ptr<connection_lease> service_router::makeLease(const job &work,
                                                            const target_id &target,
                                                            bool isPrimary,
                                                            std::shared_ptr<target_connection> connection)
{
    auto origin = gate(target);
    const auto id = work.ticket;
    queue_entry followUp;
    followUp.id = id;
    followUp.service = m_service;
    followUp.caller = work.request.session;
    followUp.followUp = true;
    lease_hooks hooks;
    hooks.giveBack = [origin, id](std::shared_ptr<target_connection> returned, bool reusable) {
        origin->finish(id, std::move(returned), reusable);
    };
    hooks.pause = [origin, id] { origin->pause(id); };
    hooks.resume = [origin, followUp, costs = m_costs](std::uint64_t fingerprint) {
        auto entry = followUp;
        entry.expected = costs->estimate(fingerprint).expected;
        entry.deadline = systemNow() + entry.expected * 10;
        origin->resume(entry, fingerprint);
    };
    hooks.ran = [origin](std::uint64_t fingerprint, duration ran) { origin->ran(fingerprint, ran); };
    hooks.preempted = [costs = m_costs](std::uint64_t fingerprint, duration ran) {
        costs->recordAborted(fingerprint, ran, systemNow());
    };
    return std::make_unique<connection_lease>(std::move(connection), isPrimary, std::move(hooks));
}

void service_router::onGateAnswer(const job_ptr &work, const target_id &target, bool toPrimary, gate_answer answer)
{
    {
        const std::lock_guard lock(m_mutex);
        m_submitted.erase(work->ticket);
    }
    if (answer.connection) {
        dispatch_result result;
        result.lease = makeLease(*work, target, toPrimary, std::move(answer.connection));
        result.term = work->term;
        result.readIndex = work->readIndex;
        finish(work, std::move(result));
        return;
    }
    if (answer.connectError == connect_error::None) {
        refuse(work, answer.refusal);
        return;
    }
    // The target could not be reached; nothing was sent, so another one may be tried.
    ++work->attempts;
    work->request.avoid = target;
    hold(work);
}

void service_router::askReadIndex(const job_ptr &work, const route &decision)
{
    m_monitor->readIndex(
        decision.indexFrom, work->request.deadline, [self = shared_from_this(), work](std::optional<position> at) {
            if (!at) {
                self->refuse(work, "the primary's position could not be confirmed before the deadline");
                return;
            }
            work->request.token = *at;
            work->request.historyKnown = true;
            work->readIndex = at;
            self->step(work);
        });
}

void service_router::hold(const job_ptr &work)
{
    bool refused = false;
    bool startsTick = false;
    {
        const std::lock_guard lock(m_mutex);
        refused = m_stopped || m_held.size() >= maxHeld;
        if (!refused) {
            m_held.emplace(work->ticket, work);
            startsTick = !std::exchange(m_ticking, true);
        }
    }
    if (refused) {
        refuse(work, "too many requests wait for a target");
        return;
    }
    if (startsTick) {
        scheduleTick();
    }
}

std::vector<service_router::job_ptr> service_router::takeHeld()
{
    std::vector<job_ptr> held;
    const std::lock_guard lock(m_mutex);
    held.reserve(m_held.size());
    for (auto &[ticket, work] : m_held) {
        held.push_back(std::move(work));
    }
    m_held.clear();
    // The order of arrival, so that a promotion's end does not favour late requests.
    std::sort(held.begin(), held.end(), [](const job_ptr &a, const job_ptr &b) { return a->ticket < b->ticket; });
    return held;
}

void service_router::scheduleTick()
{
    m_timer.expires_after(holdTick);
    m_timer.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        for (const auto &work : self->takeHeld()) {
            self->step(work);
        }
        {
            const std::lock_guard lock(self->m_mutex);
            self->m_ticking = !self->m_held.empty();
            if (!self->m_ticking) {
                return;
            }
        }
        self->scheduleTick();
    });
}

void service_router::onViewChanged()
{
    for (const auto &work : takeHeld()) {
        step(work);
    }
}

void service_router::cancel(std::uint64_t ticket)
{
    job_ptr held;
    std::optional<target_id> target;
    {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_held.find(ticket); found != m_held.end()) {
            held = std::move(found->second);
            m_held.erase(found);
        } else if (const auto submitted = m_submitted.find(ticket); submitted != m_submitted.end()) {
            target = submitted->second;
        }
    }
    if (held) {
        refuse(held, "cancelled");
        return;
    }
    if (!target) {
        return;
    }
    if (const auto destination = gate(*target)) {
        destination->cancel(ticket);
    }
}

void service_router::refuse(const job_ptr &work, const std::string &why)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts.refused;
    }
    routeLog().write(log_level::Info,
                     m_service.str() + " session " + std::to_string(work->request.session) + ' '
                         + std::string(statementClassNames.name(work->request.cls)) + " refused, " + why);
    dispatch_result result;
    result.refusal = {"ERROR", "57P03", "not run: " + why, {}, {}};
    result.readIndex = work->readIndex;
    finish(work, std::move(result));
}

void service_router::finish(const job_ptr &work, dispatch_result result)
{
    const auto done = std::exchange(work->done, nullptr);
    if (done) {
        done(std::move(result));
    }
}

void service_router::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    for (const auto &work : takeHeld()) {
        refuse(work, "the service was removed or the instance is shutting down");
    }
}

service_router_counts service_router::counts() const
{
    const std::lock_guard lock(m_mutex);
    auto counts = m_counts;
    counts.waiting = m_held.size();
    return counts;
}

const group_monitor &service_router::monitor() const
{
    return *m_monitor;
}

}
