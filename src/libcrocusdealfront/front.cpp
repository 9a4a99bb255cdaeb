#include "front.h"

#include "listener.h"
#include "statementrun.h"
#include "systemclock.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace crocusdeal
{

namespace
{

// Another instance asks the primary before it answers, which takes 250 ms if the primary is silent.
constexpr duration instanceAnswerLimit{500};
constexpr duration housekeepingInterval{100};
constexpr duration isolationCheckDelay{10};
constexpr duration leftOutInterval{1000};
constexpr duration pauseCheckInterval{4000};
constexpr duration missingCheckInterval{500};
// The balancer needs two missed probes to notice; sessions that it still sends here are served.
constexpr duration idleCloseDelay{1200};
constexpr duration balancerTime{2200}; // The balancer probes once a second and acts on two misses.
constexpr duration shortestShutdown{2200};
constexpr duration quietTime{250}; // The last answers are on their way, and new sessions may be.
constexpr duration longestFleetWait{1000};
constexpr duration stallMargin{150};
constexpr std::size_t fewestJudgedServices = 3;

}

front::front(front_context &context, front_settings settings, metadata_store &store, promotion_authority &authority)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_store(store)
    , m_acceptor(context.io)
    , m_access(context, m_settings.instance, m_settings.dataCentre, m_settings.keyRevocationTime)
    , m_services(context, m_settings, store, authority)
{
}

std::string front::start()
{
    m_startedAt = systemNow();
    m_readiness =
        std::make_shared<http_server>(m_context.io, [this](const std::string &path) { return answerReadiness(path); });
    if (auto problem = m_readiness->listen(m_settings.readinessAddress); !problem.empty()) {
        return problem;
    }
    if (m_settings.metricsAddress) {
        m_metrics = std::make_shared<http_server>(m_context.io,
                                                  [this](const std::string &path) { return answerMetrics(path); });
        if (auto problem = m_metrics->listen(*m_settings.metricsAddress); !problem.empty()) {
            return problem;
        }
    }
    if (auto problem = listenForCallers(); !problem.empty()) {
        return problem;
    }
    if (auto problem = listenForInstances(); !problem.empty()) {
        return problem;
    }
    const fleet_member self{m_settings.instance, m_settings.dataCentre, {}, 0};
    m_budget = std::make_shared<operation_budget>(
        m_context, m_store, budget_surroundings{self, m_settings.rateLimitBound, m_relays});
    m_feed =
        std::make_shared<store_feed>(m_context, m_store, m_settings.configurationApplyTimeout, m_settings.drainTime);
    m_feed->onConfiguration = [this](const routing_configuration &configuration) { applyConfiguration(configuration); };
    m_feed->onConfigurationCurrent = [this](std::uint64_t version, time_point at) {
        m_access.recordReading(version, at);
    };
    m_feed->configurationWait = [this] { return m_access.watchWait(systemNow()); };
    m_access.askStore = [this] { m_feed->confirmConfiguration(); };
    m_access.isStoreAway = [this] { return m_feed->isStoreAway(); };
    m_feed->onTargets = [this](const target_update &update, time_point changedAfter) {
        m_services.applyTargets(update, changedAfter);
        keepPlannedServices();
    };
    m_feed->onLeases = [this](const promotion_lease_list_update &update, store_reading reading, time_point askedAt) {
        m_services.applyLeases(update, reading, askedAt);
    };
    beginReadingTargets();
    m_services.refreshTargets = [this](std::function<void(bool)> done) { m_feed->refreshTargets(std::move(done)); };
    beginReadingLeases();
    m_services.isStoreAway = [this] { return m_feed->isStoreAway(); };
    m_services.askInstances = [this](const service_id &service,
                                     std::function<void(const instance_survey::answers &)> done) {
        askInstances(service, std::move(done));
    };
    m_services.onMissed = [this] { watchIsolationSoon(); };
    m_services.servingByWorkspace = [this](const service_id &service) -> std::optional<int> {
        if (!m_configuration || !m_configuration->workspaces) {
            return std::nullopt;
        }
        return m_relays ? m_relays->servingCount(service) : 1;
    };
    m_services.isPlannedHere = [this](const service_id &service) { return m_relays && m_relays->isRelayedTo(service); };
    m_feed->start();
    housekeep();
    m_context.log.info("started")
        .field("caller_address", toString(m_settings.callerAddress))
        .field("data_centre", m_settings.dataCentre.str());
    return {};
}

std::string front::listenForCallers()
{
    auto problem = openListener(m_acceptor, m_settings.callerAddress);
    if (!problem.empty()) {
        return problem;
    }
    acceptConnections(
        m_acceptor, [self = shared_from_this()](asio::ip::tcp::socket socket) { self->addSession(std::move(socket)); });
    return {};
}

std::string front::listenForInstances()
{
    if (!m_settings.relayAddress) {
        return {};
    }
    std::random_device random;
    const fleet_member self{
        m_settings.instance, m_settings.dataCentre, *m_settings.relayAddress, std::uint64_t{random()} + 1};
    relay_surroundings surroundings;
    surroundings.self = self;
    surroundings.isLeaving = [this] { return m_shutdownAt != never; };
    surroundings.isIsolated = [this] { return m_isolatedSince != never; };
    surroundings.isStoreAway = [this] { return m_feed->isStoreAway(); };
    surroundings.reportConfiguration = [this] { return m_access.report(systemNow()); };
    surroundings.loads = [this] { return m_services.loads(); };
    surroundings.heardLoads = [this](const instance_id &from, const std::vector<reported_load> &loads) {
        m_services.recordLoads(from, loads);
    };
    surroundings.readLeases = [this](lease_reader::update_handler done) { m_leases->read(std::move(done)); };
    surroundings.listTargets = [this](const std::vector<service_id> &services) {
        auto answer = m_services.listedTargets(services);
        answer.isCurrent = m_feed->areTargetsCurrent(systemNow());
        return answer;
    };
    surroundings.recentStall = [this] { return recentStall(systemNow()); };
    surroundings.run = [this](const statement_order &order, const session_values &values, outcome_handler done) {
        return runHere(order, values, std::move(done));
    };
    surroundings.mayRestOnLostKey = [this](const caller_access &access) {
        return m_revocations.mayRestOnLostKey(access.workspace, access.decidedBy);
    };
    surroundings.describe = [this](const service_id &service, std::function<void(const instance_knowledge &)> done) {
        m_services.describe(service, std::move(done));
    };
    surroundings.grantBudget = [this](const budget_request &request, std::function<void(const budget_grant &)> done) {
        m_budget->serve(request, std::move(done));
    };
    m_relays = std::make_shared<relay_hub>(m_context, std::move(surroundings));
    if (auto problem = m_relays->listen(*m_settings.relayAddress); !problem.empty()) {
        return problem;
    }
    m_survey = std::make_shared<instance_survey>(m_context, self);
    m_fleet = std::make_shared<fleet_feed>(m_context, m_store, self);
    m_fleet->onMembers = [this](const std::vector<fleet_member> &members) {
        m_relays->setMembers(members);
        m_survey->setMembers(members);
        if (m_configuration) {
            m_services.refreshPolicies();
        }
        m_access.setMembers(members);
        m_budget->setMembers(members);
        keepPlannedServices();
    };
    m_relays->onPong = [this](const relay_pong &pong, time_point pingSentAt) { m_access.recordPong(pong, pingSentAt); };
    m_relays->onUnknownInstance = [this] { m_fleet->refreshSoon(); };
    m_fleet->start();
    return {};
}

void front::beginReadingLeases()
{
    m_leases = std::make_shared<lease_reader>(m_context);
    m_leases->readStore = [this](lease_reader::update_handler done) { m_feed->readLeases(std::move(done)); };
    m_leases->isStoreAway = [this] { return m_feed->isStoreAway(); };
    m_leases->onPeerAnswer = [this](const promotion_lease_list_update &update, time_point askedAt) {
        m_services.applyLeases(update, store_reading::Current, askedAt);
    };
    if (m_relays) {
        m_leases->links = [this] { return m_relays->storeLinks(); };
        m_leases->seekLinks = [this] { m_relays->seekStore(true); };
    }
    m_services.refreshLeases = [this](std::function<void()> done) { m_leases->refresh(std::move(done)); };
}

void front::beginReadingTargets()
{
    if (!m_relays) {
        return;
    }
    m_targets = std::make_shared<target_reader>(m_context);
    m_targets->isStoreAway = [this] { return m_feed->isStoreAway(); };
    m_targets->links = [this] { return m_relays->storeLinks(); };
    m_targets->services = [this] { return m_services.services(); };
    m_targets->onPeerAnswer =
        [this](const std::vector<service_id> &services, const target_answer &answer, time_point changedAfter) {
            // What the other instance knew when it answered may have been true only so long before.
            const auto age = longestTargetAge(m_settings.drainTime);
            m_services.applyPeerTargets(services, answer, changedAfter == never ? never : changedAfter - age);
        };
}

void front::addSession(asio::ip::tcp::socket socket)
{
    session_surroundings surroundings;
    surroundings.configuration = [this] { return m_configuration; };
    surroundings.accessValidUntil = [this] { return accessValidUntil(); };
    surroundings.prepare = [this](const service_id &service) {
        if (!m_relays || m_relays->servesHere(service)) {
            m_services.groupOf(service);
        }
    };
    surroundings.run = [this](const statement_order &order, const session_values &values, outcome_handler done) {
        return run(order, values, std::move(done));
    };
    surroundings.admit = [budget = m_budget](const workspace_id &workspace, admission_handler done) {
        budget->admit(workspace, std::move(done));
    };
    surroundings.leaving = [this] { return m_shutdown ? &*m_shutdown : nullptr; };
    surroundings.refund = [budget = m_budget](const workspace_id &workspace, time_point lapsesAt) {
        budget->refund(workspace, lapsesAt);
    };
    const auto session = std::make_shared<front_session>(
        m_context, std::make_shared<byte_stream>(std::move(socket)), std::move(surroundings));
    session->onEnded = [self = shared_from_this(), weak = std::weak_ptr(session)] {
        if (const auto ended = weak.lock()) {
            self->m_sessions.erase(ended);
        }
        self->m_lastSessionEndedAt = systemNow();
    };
    m_sessions.insert(session);
    session->start();
}

std::shared_ptr<running_statement> front::run(const statement_order &order,
                                              const session_values &values,
                                              outcome_handler done)
{
    const auto &service = order.route.service;
    const auto &workspace = order.access.workspace;
    if (!m_relays || (!m_relays->next(service, workspace, {}) && !m_relays->isSettling(service, workspace))) {
        return runHere(order, values, std::move(done));
    }
    relay_choice choice;
    choice.next = [relays = m_relays, workspace](const service_id &wanted, const std::set<instance_id> &avoid) {
        return relays->next(wanted, workspace, avoid);
    };
    choice.isSettling = [relays = m_relays, workspace](const service_id &wanted) {
        return relays->isSettling(wanted, workspace);
    };
    choice.runHere = [self = shared_from_this()](
                         const statement_order &again, const session_values &state, outcome_handler handler) {
        return self->runHere(again, state, std::move(handler));
    };
    const auto statement =
        std::make_shared<relayed_statement>(m_context, std::move(choice), order, values, std::move(done));
    statement->start();
    return statement;
}

std::shared_ptr<running_statement> front::runHere(const statement_order &order,
                                                  const session_values &values,
                                                  outcome_handler done)
{
    const auto group = m_services.groupOf(order.route.service);
    if (!group) {
        return nullptr;
    }
    const auto statement = std::make_shared<statement_run>(m_context, group, order, values, std::move(done));
    statement->start();
    return statement;
}

void front::askInstances(const service_id &service, std::function<void(const instance_survey::answers &)> done)
{
    if (!m_survey) {
        done({});
        return;
    }
    if (!m_fleet->isKnown()) {
        done({std::nullopt}); // There may be others.
        return;
    }
    m_survey->ask(service, instanceAnswerLimit, std::move(done));
}

void front::keepPlannedServices()
{
    if (m_relays && m_shutdownAt == never) {
        m_services.beginPlanned();
    }
}

void front::applyConfiguration(const routing_configuration &configuration)
{
    if (m_configuration && configuration.version <= m_configuration->version) {
        return;
    }
    m_context.log.info("configuration_in_force")
        .field("version", static_cast<std::int64_t>(configuration.version))
        .field("before", m_configuration ? static_cast<std::int64_t>(m_configuration->version) : 0)
        .field("routes", static_cast<std::int64_t>(configuration.routes.size()));
    for (const auto &problem : configuration.problems) {
        m_context.log.warn("configuration_part_ignored")
            .field("version", static_cast<std::int64_t>(configuration.version))
            .field("reason", problem);
    }
    const auto before = m_configuration;
    m_configuration = std::make_shared<const routing_configuration>(configuration);
    m_access.setInForce(configuration);
    m_context.metrics.setConfigurationVersion(configuration.version);
    m_budget->setConfiguration(*m_configuration);
    if (m_relays) {
        m_relays->setPolicies(m_configuration->services, m_configuration->workspaces.has_value());
    }
    m_services.setConfiguration(m_configuration);
    keepPlannedServices();
    takeAwayKeys(before);
}

void front::takeAwayKeys(const std::shared_ptr<const routing_configuration> &before)
{
    if (!before || !before->workspaces) {
        return;
    }
    const workspace_directory none;
    m_revocations.recordChange(*before->workspaces,
                               m_configuration->workspaces ? *m_configuration->workspaces : none,
                               m_configuration->version);
    const std::vector<std::shared_ptr<front_session>> sessions(m_sessions.begin(), m_sessions.end());
    for (const auto &session : sessions) {
        session->reviewAccess();
    }
}

void front::housekeep()
{
    const auto now = systemNow();
    const auto stall = recentStall(now);
    m_housekeptAt = now;
    if (m_relays) {
        m_relays->seekStore(m_leases->areLinksWanted(now));
        m_relays->tick(now, stall);
    }
    m_access.tick(systemNow());
    m_budget->tick(now);
    // While the store cannot be heard, entries that are missing may only have lapsed there.
    m_services.eraseExpired(now);
    m_services.watchSilence(now);
    watchIsolation(now);
    closeUnconfirmedSessions(now);
    m_services.pump(now);
    if (m_targets) {
        m_targets->tick(now);
    }
    if (now - m_leftOutToldAt >= leftOutInterval) {
        m_leftOutToldAt = now;
        updateMetrics();
        m_services.retireUnused(now);
        m_context.log.reportSuppressedLines();
    }
    if (now - m_missingCheckedAt >= missingCheckInterval) {
        m_missingCheckedAt = now;
        m_services.refreshLeasesWhereNeeded();
        m_services.checkMissingTargets();
    }
    if (now - m_pausesCheckedAt >= pauseCheckInterval) {
        m_pausesCheckedAt = now;
        m_services.checkPauses();
    }
    m_context.log.flush();
    m_context.deadlines.scheduleAfter(housekeepingInterval, [self = shared_from_this()] { self->housekeep(); });
}

void front::closeUnconfirmedSessions(time_point now)
{
    if (!m_access.isLapsed(now) || m_shutdownAt != never) {
        return;
    }
    const std::vector<std::shared_ptr<front_session>> sessions(m_sessions.begin(), m_sessions.end());
    for (const auto &session : sessions) {
        if (session->usesKey()) {
            session->closeIfIdle();
        }
    }
}

void front::watchIsolation(time_point now)
{
    const auto services = m_services.count();
    const auto cutOff = m_services.countCutOff(now);
    const bool areOthersSilent =
        areOtherDataCentresUnreachable(m_services.reachOfTargets(now), m_settings.dataCentre, now);
    // With few services the loss of their targets is as likely as that of the links to them.
    const bool areMostCutOff = cutOff * 2 > services && (!m_relays || services >= fewestJudgedServices);
    const bool areServersIsolated = m_relays && m_relays->areServersIsolated();
    const bool isIsolated = areOthersSilent || areMostCutOff || areServersIsolated;
    if (isIsolated != (m_isolatedSince != never)) {
        m_isolatedSince = isIsolated ? now : never;
        m_context.log.warn(isIsolated ? "targets_out_of_reach" : "targets_within_reach")
            .field("other_data_centres_silent", areOthersSilent ? 1 : 0)
            .field("services_cut_off", static_cast<std::int64_t>(cutOff))
            .field("services", static_cast<std::int64_t>(services))
            .field("servers_isolated", areServersIsolated ? 1 : 0);
        if (m_relays) {
            m_relays->announceState();
        }
    }
    if (m_isolatedSince == never || now - m_isolatedSince < balancerTime || m_shutdownAt != never) {
        return;
    }
    // Their callers connect again through an instance that the balancer still uses.
    const std::vector<std::shared_ptr<front_session>> sessions(m_sessions.begin(), m_sessions.end());
    for (const auto &session : sessions) {
        session->closeIfIdle();
    }
}

void front::updateMetrics()
{
    m_context.metrics.setQueued(static_cast<std::int64_t>(m_services.queuedStatements()));
    m_context.metrics.setTargetConnections(m_services.targetConnections());
    m_context.metrics.setLinesLeftOut(m_context.log.droppedLines());
}

duration front::recentStall(time_point now) const
{
    if (m_housekeptAt == never) {
        return {};
    }
    const auto beyond = now - m_housekeptAt - housekeepingInterval;
    return beyond > stallMargin ? beyond : duration{};
}

void front::watchIsolationSoon()
{
    if (std::exchange(m_isIsolationCheckPlanned, true)) {
        return;
    }
    m_context.deadlines.scheduleAfter(isolationCheckDelay, [self = shared_from_this()] {
        self->m_isIsolationCheckPlanned = false;
        self->watchIsolation(systemNow());
    });
}

bool front::isReady() const
{
    const bool isFleetKnown = !m_fleet || m_fleet->isKnown() || systemNow() - m_startedAt > longestFleetWait;
    return m_shutdownAt == never && m_configuration && m_services.areTargetsKnown() && isFleetKnown
        && m_isolatedSince == never && !m_access.isLapsed(systemNow()) && m_budget && m_budget->isReady(systemNow());
}

std::optional<time_point> front::accessValidUntil() const
{
    return m_access.validUntil();
}

http_response front::answerReadiness(const std::string &path) const
{
    if (path.substr(0, path.find('?')) != m_settings.readinessPath) {
        return {404, "unknown path\n", {}};
    }
    return isReady() ? http_response{200, "ready\n", {}} : http_response{503, "not ready\n", {}};
}

http_response front::answerMetrics(const std::string &path) const
{
    return path == "/metrics" ? http_response{200, m_context.metrics.render(), {}}
                              : http_response{404, "unknown path\n", {}};
}

void front::shutdown(std::function<void()> done)
{
    if (m_shutdownAt != never) {
        return;
    }
    m_shutdownAt = systemNow();
    m_shutdown.emplace(m_shutdownAt, m_settings.gracePeriod);
    m_whenShutDown = std::move(done);
    m_context.log.info("shutting_down").field("sessions", static_cast<std::int64_t>(m_sessions.size()));
    m_services.stopKeepers();
    if (m_relays) {
        m_relays->announceState();
        m_fleet->stop();
    }
    const auto self = shared_from_this();
    m_context.deadlines.scheduleAfter(idleCloseDelay, [self] { self->endSessions(); });
    m_context.deadlines.schedule(m_shutdown->answersDueAt(), [self] { self->expireWork(); });
    m_context.deadlines.schedule(m_shutdown->processEndsAt(), [self] { self->finishShutdown("grace is over"); });
}

void front::endSessions()
{
    const auto now = systemNow();
    const bool endsTransactions = m_shutdown->endsTransactions(now);
    if (!mayBeginAnything(now)) {
        stopListening();
    }
    const std::vector<std::shared_ptr<front_session>> sessions(m_sessions.begin(), m_sessions.end());
    for (const auto &session : sessions) {
        session->leave(endsTransactions);
    }
    if (m_relays && endsTransactions) {
        m_relays->endTransactions();
    }
    const bool isRelayDone = !m_relays || !m_relays->hasWork();
    const bool isQuiet = m_sessions.empty() && now - m_lastSessionEndedAt >= quietTime;
    if (isQuiet && isRelayDone && now - m_shutdownAt >= shortestShutdown) {
        finishShutdown("all sessions have ended");
        return;
    }
    constexpr duration again{50};
    m_context.deadlines.scheduleAfter(again, [self = shared_from_this()] { self->endSessions(); });
}

bool front::mayBeginAnything(time_point now) const
{
    return m_configuration
        && std::any_of(m_configuration->routes.begin(), m_configuration->routes.end(), [&](const auto &route) {
               return m_shutdown->mayBeginStatement(now, route.second.statementTimeout);
           });
}

void front::stopListening()
{
    if (!m_acceptor.is_open()) {
        return;
    }
    std::error_code ignored; // Nothing depends on how a listener closes.
    m_acceptor.close(ignored);
    m_context.log.info("listener_closed")
        .field("ms_after_stop", (systemNow() - m_shutdownAt).ms)
        .field("sessions", static_cast<std::int64_t>(m_sessions.size()));
}

void front::expireWork()
{
    stopListening();
    const std::vector<std::shared_ptr<front_session>> sessions(m_sessions.begin(), m_sessions.end());
    for (const auto &session : sessions) {
        session->expire();
    }
    if (m_relays) {
        m_relays->expire();
    }
}

void front::close()
{
    std::error_code ignored; // Nothing depends on how a listener closes.
    m_acceptor.close(ignored);
    // Some parts do not exist if start() has failed.
    if (m_readiness) {
        m_readiness->close();
    }
    if (m_metrics) {
        m_metrics->close();
    }
    if (m_feed) {
        m_feed->stop();
        m_leases->stop();
    }
    if (m_targets) {
        m_targets->stop();
    }
    if (m_budget) {
        m_budget->stop();
    }
    if (m_relays) {
        m_relays->close();
    }
    if (m_fleet) {
        m_fleet->stop();
    }
    const std::vector<std::shared_ptr<front_session>> sessions(m_sessions.begin(), m_sessions.end());
    for (const auto &session : sessions) {
        session->close();
    }
    m_services.close();
}

void front::finishShutdown(const char *why)
{
    const auto done = std::exchange(m_whenShutDown, nullptr);
    if (!done) {
        return;
    }
    for (const auto &session : m_sessions) {
        session->reportCut(m_shutdownAt);
    }
    m_context.log.info("stopped").field("why", why).field("sessions", static_cast<std::int64_t>(m_sessions.size()));
    m_context.log.flush();
    done();
}

}
