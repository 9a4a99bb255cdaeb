#include "groupruntime.h"

#include "partlog.h"
#include "systemclock.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration confirmTimeout{5000};
/** A target that did not answer this instance for longer counts as gone; its connections are given up. */
constexpr duration aliveLimit{3000};
// Twice the interval of probes to a primary: one that answers at all has told its new role by then.
constexpr duration replacedAliveLimit{500};
/** An instance probes the targets of a group that it used within this time, besides the probers by order. */
constexpr duration usedLimit{10000};
constexpr duration idleConnectionLimit{60000};
/** Demand falls by this share each 100 ms, so that a pause between requests gives no connection away. */
constexpr double demandDecay = 0.98;

const part_log &groupLog()
{
    static const part_log log("group");
    return log;
}

const part_log &targetLog()
{
    static const part_log log("target");
    return log;
}

log_level toLogLevel(group_log_level level)
{
    switch (level) {
    case group_log_level::Debug:
        return log_level::Debug;
    case group_log_level::Info:
        return log_level::Info;
    case group_log_level::Warning:
        break;
    }
    return log_level::Warn;
}

}

target_id fleetTargetId(const group_id &group, const target_id &target)
{
    return target_id(group.str() + '/' + target.str());
}

group_runtime::group_runtime(group_environment &environment, const group_configuration &group, confirm_mode confirm)
    : m_environment(environment)
    , m_id(group.group)
    , m_costs(std::make_shared<shared_costs>(statement_costs_settings{}))
    , m_usedAt(systemNow().ms)
    , m_usedSince(systemNow().ms)
{
    m_monitor = makeMonitor(group, confirm);
}

std::shared_ptr<group_monitor> group_runtime::makeMonitor(const group_configuration &group, confirm_mode confirm)
{
    group_monitor_settings settings;
    settings.group = group.group;
    settings.targets = group.targets;
    settings.self = m_environment.self;
    settings.user = m_environment.user;
    settings.database = group.group.str();
    settings.confirm = confirm;

    group_monitor_hooks hooks;
    hooks.now = systemNow;
    hooks.log = [](group_log_level level, const std::string &line) {
        // The monitor's lines carry the prefix of their part already.
        groupLog().write(toLogLevel(level), line.starts_with("group: ") ? line.substr(7) : line);
    };
    hooks.onViewChanged = [this](const group_view_ptr &view) { onViewChanged(view); };
    hooks.candidateRank = [this] { return m_environment.candidateRank(m_id); };
    hooks.isProber = [this](const target_id &target) {
        const bool used = systemNow().ms - m_usedAt.load(std::memory_order_relaxed) < usedLimit.ms;
        return used || m_environment.isProber(m_id, target);
    };
    hooks.onHint = [this](std::uint64_t term, const target_id &primary) { m_environment.onHint(m_id, term, primary); };
    hooks.onPrimaryRefused = [this] { m_environment.onSuspected(m_id); };
    hooks.onControlStatus = [this](const target_id &target, const target_status &status, time_point askedAt) {
        m_environment.limits->onTargetStatus(fleetTargetId(m_id, target), status.connections, askedAt);
    };
    hooks.requestsAt = [this](const target_id &target) {
        const auto gates = m_gates->get();
        const auto found = gates->find(target);
        return found == gates->end() ? 0 : found->second->load().queuedAndRunning;
    };
    return std::make_shared<group_monitor>(m_environment.io, std::move(settings), std::move(hooks));
}

void group_runtime::start()
{
    m_monitor->start();
}

void group_runtime::stop()
{
    std::map<service_id, service_entry> services;
    {
        const std::lock_guard lock(m_mutex);
        services.swap(m_services);
    }
    for (auto &[service, entry] : services) {
        entry.router->stop();
    }
    const auto gates = m_gates->get();
    for (const auto &[target, gate] : *gates) {
        gate->refuseAll(refuse_reason::ShuttingDown);
        gate->pool().closeIdle(systemNow() + duration{1});
    }
    m_monitor->stop();
}

/** Returns the gates that are no longer used. */
gate_map group_runtime::updateGates(const group_configuration &group, const service_limits &limits)
{
    const auto before = m_gates->get();
    gate_map gates;
    for (const auto &address : group.targets) {
        const auto found = before->find(address.id);
        if (found != before->end() && found->second->pool().address() == address) {
            gates.emplace(address.id, found->second);
            continue;
        }
        gates.emplace(address.id, makeGate(address, limits));
    }
    gate_map retired;
    for (const auto &[target, gate] : *before) {
        if (!gates.contains(target) || gates.at(target) != gate) {
            retired.emplace(target, gate);
        }
    }
    m_gates->set(std::move(gates));
    return retired;
}

connection_pool_hooks group_runtime::makePoolHooks(const target_id &key) const
{
    const auto limits = m_environment.limits;
    connection_pool_hooks hooks;
    hooks.beginOpening = [limits, key] { return limits->beginOpening(key); };
    hooks.onEstablished = [limits, key] { limits->onEstablished(key); };
    hooks.onOpenFailed = [limits, key](bool refused) { limits->onOpenFailed(key, refused); };
    hooks.onClosed = [limits, key] { limits->onClosed(key); };
    hooks.log = [](const std::string &line) { targetLog().write(log_level::Warn, line); };
    return hooks;
}

std::shared_ptr<target_gate> group_runtime::makeGate(const target_address &address, const service_limits &limits)
{
    target_connection_settings settings;
    settings.address = address;
    settings.database = m_id.str();
    settings.user = m_environment.user;
    settings.applicationName = "crocusdeal-" + m_environment.self.str();
    const auto key = fleetTargetId(m_id, address.id);
    auto pool = std::make_shared<connection_pool>(m_environment.io, std::move(settings), makePoolHooks(key));
    auto gate = std::make_shared<target_gate>(
        m_environment.io, std::move(pool), m_costs, concurrency_limit_settings{limits.slots, 1});
    gate->setPermitHooks(
        {[coordinator = m_environment.limits, key] { return coordinator->isPermitDenied(key); },
         [coordinator = m_environment.limits, key](int demand) { coordinator->setLongDemand(key, demand); }});
    gate->setOnLongFinished([coordinator = m_environment.limits, key] { coordinator->onLongFinished(key); });
    return gate;
}

void group_runtime::updateDemand()
{
    m_costs->beat(systemNow());
    const auto controls = m_monitor->controlConnections();
    const auto shapes = m_costs->measured(systemNow());
    const auto gates = m_gates->get();
    for (const auto &[target, gate] : *gates) {
        gate->reclassify();
        gate->pool().expireWaits(systemNow());
        const auto counts = gate->pool().counts();
        const double used = counts.open - counts.idle + counts.waiting;
        auto &demand = m_demand[target];
        demand = std::max(used, demand * demandDecay);
        const auto key = fleetTargetId(m_id, target);
        m_environment.limits->setDemand(
            key, static_cast<int>(std::ceil(demand)), gate->longDemand(), gate->longRunning());
        m_environment.limits->setShapes(key, shapes);
        const auto control = controls.find(target);
        m_environment.limits->setControlConnections(key, control == controls.end() ? 0 : control->second);
    }
}

void group_runtime::adoptShapes(const std::vector<shared_shape> &shapes)
{
    m_costs->adopt(shapes, systemNow());
}

void group_runtime::onLimitsChanged(const target_id &target)
{
    const auto gates = m_gates->get();
    const auto found = gates->find(target);
    if (found == gates->end()) {
        return;
    }
    const auto key = fleetTargetId(m_id, target);
    found->second->setLongPlaces(m_environment.limits->longPlaces(key));
    found->second->pool().setExcess(m_environment.limits->excess(key));
    found->second->pool().openMore();
}

/** Starts waiting requests, so no lock may be held. */
void group_runtime::applyCapacity()
{
    service_limits limits;
    int instances = 1;
    {
        const std::lock_guard lock(m_mutex);
        limits = m_limits;
        instances = m_liveInstances;
    }
    const auto gates = m_gates->get();
    for (const auto &[target, gate] : *gates) {
        gate->setCapacity({limits.slots, instances});
    }
}

void group_runtime::update(const group_configuration &group, const std::vector<service_configuration> &services)
{
    std::set<target_id> drained;
    std::vector<service_entry> removed;
    gate_map retired;
    {
        const std::lock_guard lock(m_mutex);
        std::map<service_id, service_entry> next;
        for (const auto &configuration : services) {
            drained.insert(configuration.drained.begin(), configuration.drained.end());
            m_limits = configuration.limits;
            const auto found = m_services.find(configuration.service);
            if (found != m_services.end() && found->second.configuration == configuration) {
                next.emplace(configuration.service, std::move(found->second));
            } else if (found != m_services.end()) {
                auto entry = makeService(configuration);
                entry.router = found->second.router;
                entry.hooks = makeHooks(configuration, entry.router);
                next.emplace(configuration.service, std::move(entry));
            } else {
                next.emplace(configuration.service, makeService(configuration));
            }
        }
        for (auto &[service, entry] : m_services) {
            if (entry.router && !next.contains(service)) {
                removed.push_back(std::move(entry));
            }
        }
        m_services.swap(next);
        retired = updateGates(group, m_limits);
    }
    for (const auto &[target, gate] : retired) {
        gate->refuseAll(refuse_reason::ShuttingDown);
        gate->pool().setExcess(gate->pool().counts().open);
    }
    applyCapacity();
    for (const auto &entry : removed) {
        entry.router->stop();
    }
    m_monitor->updateTargets(group.targets);
    m_monitor->setDrained(std::move(drained));
    const bool confirmsAll = std::all_of(services.begin(), services.end(), [](const service_configuration &service) {
        return service.writes.confirm == confirm_mode::Primary;
    });
    m_monitor->setConfirmMode(confirmsAll ? confirm_mode::Primary : confirm_mode::Replica);
}

void group_runtime::setLiveInstances(int count)
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_liveInstances, std::max(1, count)) == std::max(1, count)) {
            return;
        }
    }
    applyCapacity();
}

group_runtime::service_entry group_runtime::makeService(const service_configuration &configuration)
{
    router_settings settings;
    settings.ownDataCentre = m_environment.dataCentre;
    service_entry entry;
    entry.configuration = configuration;
    entry.router = std::make_shared<service_router>(
        m_environment.io, configuration.service, settings, m_monitor, m_gates, m_costs);
    entry.hooks = makeHooks(configuration, entry.router);
    return entry;
}

bool group_runtime::mayRetry()
{
    const std::lock_guard lock(m_retryMutex);
    return m_retries.tryRetry(systemNow());
}

void group_runtime::countRequest()
{
    const std::lock_guard lock(m_retryMutex);
    m_retries.onRequest(systemNow());
}

std::shared_ptr<const service_hooks> group_runtime::makeHooks(const service_configuration &configuration,
                                                              const std::shared_ptr<service_router> &router)
{
    auto hooks = std::make_shared<service_hooks>();
    hooks->group = m_id;
    const auto self = shared_from_this();
    hooks->dispatch = [self, router](const dispatch_request &request, service_hooks::dispatch_handler done) {
        self->noteUse();
        if (!request.avoid && !request.wasPreempted) {
            self->countRequest();
        }
        return router->dispatch(request, std::move(done));
    };
    hooks->explain = [router](const dispatch_request &request) { return router->explain(request); };
    hooks->cancel = [router](std::uint64_t ticket) { router->cancel(ticket); };
    hooks->confirmWrite = [self](position at, const std::function<void(confirm_outcome)> &done) {
        self->m_monitor->confirmWrite(at, systemNow() + confirmTimeout, [done](confirm_result result) {
            done(result == confirm_result::Confirmed ? confirm_outcome::Confirmed : confirm_outcome::Unknown);
        });
    };
    hooks->observe = [self](const target_id &target, std::string_view state, time_point askedAt) {
        self->observe(target, state, askedAt);
    };
    hooks->isTargetAlive = [self](const target_id &target) { return self->isAlive(target); };
    hooks->mayRetry = [self] { return self->mayRetry(); };
    hooks->allowedStaleness = [reads =
                                   configuration.reads](const statement_info &statement) -> std::optional<duration> {
        if (!reads.staleTables.empty() && statement.tablesComplete && !statement.tables.empty()) {
            duration least{std::numeric_limits<std::int64_t>::max()};
            for (const auto &table : statement.tables) {
                const auto found = reads.staleTables.find(table);
                least = std::min(least, found == reads.staleTables.end() ? reads.maxStaleness : found->second);
            }
            return least;
        }
        return reads.maxStaleness;
    };
    hooks->queueDeadline = [deadline = configuration.queue.deadline] { return deadline; };
    return hooks;
}

void group_runtime::observe(const target_id &target, std::string_view state, time_point askedAt)
{
    const auto parsed = parseTargetState(state);
    if (!parsed) {
        targetLog().write(log_level::Warn, target.str() + " reported a malformed group_state");
        return;
    }
    m_monitor->observe(target, *parsed, askedAt);
}

void group_runtime::noteUse()
{
    const auto now = systemNow().ms;
    if (now - m_usedAt.exchange(now, std::memory_order_relaxed) >= usedLimit.ms) {
        m_usedSince.store(now, std::memory_order_relaxed);
    }
}

// What peers hear does not count: a partition may leave the target to them and its connections here without an answer.
// This instance probes the target itself while the group is in use, and a statement that waits is a use.
bool group_runtime::isAlive(const target_id &target)
{
    noteUse();
    const auto view = m_monitor->view();
    const auto *known = view->find(target);
    if (known == nullptr) {
        return false;
    }
    const time_point usedSince{m_usedSince.load(std::memory_order_relaxed)};
    const auto silence = systemNow() - std::max(known->ownHeardAt, usedSince);
    // A silent primary that was replaced can neither confirm a write nor serve a read as the primary, so nothing is
    // gained by waiting longer for it.
    const bool isReplaced =
        known->status && known->status->role == target_role::Primary && known->status->term < view->highestTerm;
    return silence < (isReplaced ? replacedAliveLimit : aliveLimit);
}

void group_runtime::onViewChanged(const group_view_ptr &view)
{
    std::vector<std::shared_ptr<service_router>> routers;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[service, entry] : m_services) {
            routers.push_back(entry.router);
        }
    }
    for (const auto &router : routers) {
        router->onViewChanged();
    }
    for (const auto &target : view->targets) {
        if (target.status) {
            m_environment.onOwnFact(m_id, target.address.id, *target.status);
        }
    }
    if (view->primarySuspected && !m_suspected.exchange(true)) {
        m_environment.onSuspected(m_id);
    }
    if (!view->primarySuspected) {
        m_suspected = false;
    }
}

std::shared_ptr<const service_hooks> group_runtime::find(const service_id &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second.hooks;
}

group_monitor &group_runtime::monitor()
{
    return *m_monitor;
}

const group_id &group_runtime::id() const
{
    return m_id;
}

group_report group_runtime::report() const
{
    group_report report;
    report.view = m_monitor->view();
    const auto gates = m_gates->get();
    for (const auto &target : report.view->targets) {
        target_report entry;
        entry.view = target;
        if (const auto found = gates->find(target.address.id); found != gates->end()) {
            entry.connections = found->second->pool().counts();
            entry.share = m_environment.limits->allowance(fleetTargetId(m_id, target.address.id));
            entry.longPlaces = m_environment.limits->longPlaces(fleetTargetId(m_id, target.address.id));
            entry.waiting = found->second->waiting();
            entry.running = found->second->running();
            entry.limit = found->second->limit();
        }
        report.targets.push_back(std::move(entry));
    }
    const std::lock_guard lock(m_mutex);
    for (const auto &[service, entry] : m_services) {
        report.services.emplace(service, entry.router->counts());
    }
    return report;
}

void group_runtime::closeIdleConnections()
{
    const auto gates = m_gates->get();
    for (const auto &[target, gate] : *gates) {
        gate->pool().closeIdle(systemNow() - idleConnectionLimit);
    }
}

}
