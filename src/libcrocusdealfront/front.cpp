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

constexpr duration housekeepingInterval{100};
constexpr duration isolationCheckDelay{10};
constexpr duration silenceLimit{220}; // A statement unanswered for so long is reason to ask for the target's status.
constexpr duration stallLimit{1000};
constexpr duration leftOutInterval{1000};
constexpr duration answeringTime{1000};
constexpr duration pauseCheckInterval{4000};
constexpr duration missingCheckInterval{500};
constexpr duration missingAnswerLimit{250};
constexpr int askedInDataCentre = 4; // Some may have crashed.
// The balancer needs two missed probes to notice; sessions that it still sends here are served.
constexpr duration idleCloseDelay{1200};
constexpr duration balancerTime{2200}; // The balancer probes once a second and acts on two misses.
constexpr duration shortestShutdown{2200};
constexpr duration quietTime{250}; // The last answers are on their way, and new sessions may be.
constexpr duration endMargin{300};
constexpr duration longestFleetWait{1000};
constexpr duration stallMargin{150};
constexpr std::size_t fewestJudgedServices = 3;

}

front::front(front_context &context, front_settings settings, metadata_store &store, promotion_authority &authority)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_store(store)
    , m_authority(authority)
    , m_acceptor(context.io)
    , m_directory(m_settings.drainTime)
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
    m_feed = std::make_shared<store_feed>(m_context, m_store, m_settings.configurationApplyTimeout);
    m_feed->onConfiguration = [this](const routing_configuration &configuration) { applyConfiguration(configuration); };
    m_feed->onTargets = [this](const target_news &news, time_point changedAfter) { applyTargets(news, changedAfter); };
    m_feed->onDuties = [this](const duty_list_news &news, time_point askedAt) { applyDuties(news, askedAt); };
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
    acceptNext();
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
    surroundings.recentStall = [this] { return recentStall(systemNow()); };
    surroundings.run = [this](const statement_order &order, const session_values &values, outcome_handler done) {
        return runHere(order, values, std::move(done));
    };
    m_relays = std::make_shared<relay_hub>(m_context, std::move(surroundings));
    if (auto problem = m_relays->listen(*m_settings.relayAddress); !problem.empty()) {
        return problem;
    }
    m_fleet = std::make_shared<fleet_feed>(m_context, m_store, self);
    m_fleet->onMembers = [this](const std::vector<fleet_member> &members) {
        m_relays->setMembers(members);
        keepPlannedServices();
    };
    m_relays->onUnknownInstance = [this] { m_fleet->refreshSoon(); };
    m_fleet->start();
    return {};
}

void front::acceptNext()
{
    m_acceptor.async_accept([self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
        if (!self->m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            self->addSession(std::move(socket));
        }
        self->acceptNext();
    });
}

void front::addSession(asio::ip::tcp::socket socket)
{
    session_surroundings surroundings;
    surroundings.configuration = [this] { return m_configuration; };
    surroundings.prepare = [this](const service_id &service) {
        if (!m_relays || m_relays->servesHere(service)) {
            groupOf(service);
        }
    };
    surroundings.run = [this](const statement_order &order, const session_values &values, outcome_handler done) {
        return run(order, values, std::move(done));
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
    if (!m_relays || (!m_relays->next(service, {}) && !m_relays->isSettling(service))) {
        return runHere(order, values, std::move(done));
    }
    relay_choice choice;
    choice.next = [relays = m_relays](const service_id &wanted, const std::set<instance_id> &avoid) {
        return relays->next(wanted, avoid);
    };
    choice.isSettling = [relays = m_relays](const service_id &wanted) { return relays->isSettling(wanted); };
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
    const auto group = groupOf(order.route.service);
    if (!group) {
        return nullptr;
    }
    const auto statement = std::make_shared<statement_run>(m_context, group, order, values, std::move(done));
    statement->start();
    return statement;
}

bool front::isPlannedHere(const service_id &service)
{
    return m_relays && m_relays->isRelayedTo(service);
}

void front::keepPlannedServices()
{
    if (!m_relays || !m_configuration || !m_areTargetsKnown || m_shutdownAt != never) {
        return;
    }
    for (const auto &[service, policy] : m_configuration->services) {
        if (isPlannedHere(service)) {
            groupOf(service);
        }
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
    m_configuration = std::make_shared<const routing_configuration>(configuration);
    m_context.metrics.setConfigurationVersion(configuration.version);
    if (m_relays) {
        m_relays->setPolicies(m_configuration->services);
        keepPlannedServices();
    }
    for (const auto &[service, group] : m_groups) {
        const auto policy = m_configuration->services.find(service);
        if (policy != m_configuration->services.end()) {
            group->setPolicy(policy->second);
        }
    }
}

std::shared_ptr<service_group> front::beginToServe(const service_id &service, const service_policy &policy)
{
    auto group = std::make_shared<service_group>(m_context, service, m_settings.dataCentre, m_directory);
    m_groups[service] = group;
    group->setPolicy(policy);
    group->adoptClaimedLeader();
    auto keeper = std::make_shared<leader_keeper>(
        m_context, group, m_directory, m_store, m_authority, m_settings.instance.str(), m_settings.dataCentre);
    keeper->refreshDirectory = [this](std::function<void(bool)> done) { m_feed->refreshTargets(std::move(done)); };
    keeper->isStoreAway = [this] { return m_feed->isStoreAway(); };
    keeper->onMissed = [this] { watchIsolationSoon(); };
    keeper->isAnswering = [this](const data_centre_id &dataCentre) { return isAnswering(dataCentre); };
    m_keepers[service] = keeper;
    keeper->start();
    if (m_areDutiesKnown) {
        tellDuty(service, *keeper);
    }
    m_context.log.info("service_begun")
        .field("service", service.str())
        .field("targets", static_cast<std::int64_t>(group->targets().size()))
        .field("primary", group->leader() ? group->leader()->str() : "none")
        .field("services", static_cast<std::int64_t>(m_groups.size()));
    return group;
}

void front::retireUnusedServices(time_point now)
{
    for (auto it = m_groups.begin(); it != m_groups.end();) {
        const auto &[service, group] = *it;
        const auto keeper = m_keepers.at(service);
        const bool isWanted = isPlannedHere(service) || now - group->lastUsedAt() < m_settings.serviceIdleTimeout;
        if (group->isInUse() || isWanted || !keeper->isIdle()) {
            ++it;
            continue;
        }
        m_context.log.info("service_retired")
            .field("service", service.str())
            .field("unused_ms", (now - group->lastUsedAt()).ms);
        keeper->stop();
        m_keepers.erase(service);
        group->retire();
        it = m_groups.erase(it);
    }
}

void front::applyTargets(const target_news &news, time_point changedAfter)
{
    const directory_update_time at{systemNow(), changedAfter};
    if (news.isComplete) {
        m_directory.replaceAll(news.entries, at);
        m_areTargetsKnown = true;
        keepPlannedServices();
    }
    for (const auto &entry : news.entries) {
        const auto *known = m_directory.find(entry.id);
        const bool isChanged = known == nullptr || known->entry != entry || known->removedAt;
        m_directory.put(entry, at);
        if (isChanged || news.isComplete) {
            m_context.log.info("target_known")
                .field("target", entry.id.str())
                .field("service", entry.service.str())
                .field("address", toString(entry.address))
                .field("state", entry.isDraining ? "draining" : "ready")
                .field("claims", entry.claimsPrimary ? "primary" : "replica")
                .field("revision", static_cast<std::int64_t>(news.revision));
        }
    }
    for (const auto &id : news.removed) {
        m_context.log.info("target_entry_removed").field("target", id.str());
        m_directory.markRemoved(id, at);
    }
    if (news.isComplete || !news.entries.empty() || !news.removed.empty()) {
        refreshGroups();
    }
}

void front::applyDuties(const duty_list_news &news, time_point askedAt)
{
    m_areDutiesKnown = true;
    m_dutiesAskedAt = askedAt;
    for (const auto &entry : news.entries) {
        m_duties[entry.service] = {entry.holder, entry.revision, entry.purpose};
    }
    for (const auto &[service, keeper] : m_keepers) {
        tellDuty(service, *keeper);
    }
}

void front::tellDuty(const service_id &service, leader_keeper &keeper) const
{
    const auto found = m_duties.find(service);
    keeper.dutyKnown(found == m_duties.end() ? std::nullopt : std::optional(found->second), m_dutiesAskedAt);
}

void front::refreshGroups()
{
    for (const auto &[service, group] : m_groups) {
        group->refreshTargets();
        m_keepers.at(service)->directoryChanged();
    }
}

std::shared_ptr<service_group> front::groupOf(const service_id &service)
{
    const auto found = m_groups.find(service);
    if (found != m_groups.end()) {
        return found->second;
    }
    if (!m_configuration) {
        return nullptr;
    }
    const auto policy = m_configuration->services.find(service);
    return policy == m_configuration->services.end() ? nullptr : beginToServe(service, policy->second);
}

void front::checkMissingTargets()
{
    std::vector<target_id> gone;
    for (const auto &[service, group] : m_groups) {
        for (const auto &[id, pool] : group->targets()) {
            const auto *known = m_directory.find(id);
            if (known == nullptr || !known->removedAt) {
                continue;
            }
            if (m_keepers.at(service)->isKnownGone(id)) {
                gone.push_back(id);
                continue;
            }
            pool->control(control_statement::Status, 0, missingAnswerLimit, [](const control_reply &) {});
            if (!isAnswering(known->entry.dataCentre)) {
                askIn(known->entry.dataCentre);
            }
        }
    }
    for (const auto &id : gone) {
        m_context.log.info("target_gone").field("target", id.str());
        m_directory.eraseDeparted(id);
    }
    if (!gone.empty()) {
        refreshGroups();
    }
}

void front::askIn(const data_centre_id &dataCentre)
{
    int asked = 0;
    for (const auto &[service, group] : m_groups) {
        for (const auto &[id, pool] : group->targets()) {
            const auto *known = m_directory.find(id);
            const bool isPresent = known != nullptr && !known->removedAt;
            if (isPresent && known->entry.dataCentre == dataCentre && !pool->isSilent(systemNow())) {
                pool->control(control_statement::Status, 0, missingAnswerLimit, [](const control_reply &) {});
                ++asked;
            }
            if (asked == askedInDataCentre) {
                return;
            }
        }
    }
}

void front::housekeep()
{
    const auto now = systemNow();
    const auto stall = recentStall(now);
    m_housekeptAt = now;
    if (m_relays) {
        m_relays->tick(now, stall);
    }
    // While the store cannot be heard, entries that are missing may only have lapsed there.
    if (!m_directory.eraseExpired(now).empty()) {
        refreshGroups();
    }
    watchSilence(now);
    watchIsolation(now);
    for (const auto &[service, group] : m_groups) {
        for (const auto &[id, pool] : group->targets()) {
            pool->closeUnused(now);
        }
        group->pump();
    }
    if (now - m_leftOutToldAt >= leftOutInterval) {
        m_leftOutToldAt = now;
        updateMetrics();
        retireUnusedServices(now);
        m_context.log.reportSuppressedLines();
    }
    if (now - m_missingCheckedAt >= missingCheckInterval) {
        m_missingCheckedAt = now;
        checkMissingTargets();
    }
    if (now - m_pausesCheckedAt >= pauseCheckInterval) {
        m_pausesCheckedAt = now;
        for (const auto &[service, keeper] : m_keepers) {
            keeper->checkPauses();
        }
    }
    m_context.log.flush();
    m_context.deadlines.scheduleAfter(housekeepingInterval, [self = shared_from_this()] { self->housekeep(); });
}

duration front::recentStall(time_point now) const
{
    if (m_housekeptAt == never) {
        return {};
    }
    const auto beyond = now - m_housekeptAt - housekeepingInterval;
    return beyond > stallMargin ? beyond : duration{};
}

bool front::isAnswering(const data_centre_id &dataCentre) const
{
    const auto now = systemNow();
    for (const auto &[service, group] : m_groups) {
        for (const auto &[id, pool] : group->targets()) {
            if (pool->entry().dataCentre == dataCentre && now - pool->lastAnswerAt() < answeringTime) {
                return true;
            }
        }
    }
    return false;
}

void front::watchSilence(time_point now)
{
    for (const auto &[service, group] : m_groups) {
        const auto &leader = group->leader();
        const auto found = leader ? group->targets().find(*leader) : group->targets().end();
        if (found == group->targets().end()) {
            continue;
        }
        const auto silentSince = found->second->silentSince();
        if (silentSince != never && now - silentSince > silenceLimit && found->second->lastAnswerAt() < silentSince) {
            group->noteTrouble("a statement is not answered");
        }
        const auto openSince = group->oldestOpenWrite();
        if (openSince != never && now - openSince > stallLimit) {
            group->noteTrouble("a write is not acknowledged");
        }
    }
}

std::vector<target_reachability> front::reachOfTargets(time_point now) const
{
    std::vector<target_reachability> targets;
    for (const auto &[service, group] : m_groups) {
        for (const auto &[id, pool] : group->targets()) {
            const bool isWithoutAnswer = pool->isSilent(now) || pool->unreachableSince() != never;
            targets.push_back({pool->entry().dataCentre, isWithoutAnswer, pool->lastAnswerAt()});
        }
    }
    return targets;
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

void front::watchIsolation(time_point now)
{
    const auto cutOff = std::count_if(
        m_keepers.begin(), m_keepers.end(), [&](const auto &entry) { return entry.second->isCutOff(now); });
    const bool areOthersSilent = areOtherDataCentresUnreachable(reachOfTargets(now), m_settings.dataCentre, now);
    // With few services the loss of their targets is as likely as that of the links to them.
    const bool isMostCutOff = static_cast<std::size_t>(cutOff) * 2 > m_keepers.size();
    const bool areMostCutOff = isMostCutOff && (!m_relays || m_keepers.size() >= fewestJudgedServices);
    const bool areServersIsolated = m_relays && m_relays->areServersIsolated();
    const bool isIsolated = areOthersSilent || areMostCutOff || areServersIsolated;
    if (isIsolated != (m_isolatedSince != never)) {
        m_isolatedSince = isIsolated ? now : never;
        m_context.log.warn(isIsolated ? "targets_out_of_reach" : "targets_within_reach")
            .field("other_data_centres_silent", areOthersSilent ? 1 : 0)
            .field("services_cut_off", static_cast<std::int64_t>(cutOff))
            .field("services", static_cast<std::int64_t>(m_keepers.size()))
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

bool front::isReady() const
{
    const bool isFleetKnown = !m_fleet || m_fleet->isKnown() || systemNow() - m_startedAt > longestFleetWait;
    return m_shutdownAt == never && m_configuration && m_areTargetsKnown && isFleetKnown && m_isolatedSince == never;
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

void front::updateMetrics()
{
    std::size_t queued = 0;
    int connections = 0;
    for (const auto &[service, group] : m_groups) {
        queued += group->queued();
        for (const auto &[id, pool] : group->targets()) {
            connections += pool->connections();
        }
    }
    m_context.metrics.setQueued(static_cast<std::int64_t>(queued));
    m_context.metrics.setTargetConnections(connections);
    m_context.metrics.setLinesLeftOut(m_context.log.droppedLines());
}

void front::shutdown(std::function<void()> done)
{
    if (m_shutdownAt != never) {
        return;
    }
    m_shutdownAt = systemNow();
    m_whenShutDown = std::move(done);
    m_context.log.info("shutting_down").field("sessions", static_cast<std::int64_t>(m_sessions.size()));
    for (const auto &[service, keeper] : m_keepers) {
        keeper->stop();
    }
    if (m_relays) {
        m_relays->announceState();
        m_fleet->stop();
    }
    const auto self = shared_from_this();
    m_context.deadlines.scheduleAfter(idleCloseDelay, [self] { self->closeIdleSessions(); });
    m_context.deadlines.scheduleAfter(m_settings.gracePeriod / 2, [self] { self->endTransactions(); });
    m_context.deadlines.scheduleAfter(m_settings.gracePeriod - endMargin,
                                      [self] { self->finishShutdown("grace is over"); });
}

void front::closeIdleSessions()
{
    const std::vector<std::shared_ptr<front_session>> sessions(m_sessions.begin(), m_sessions.end());
    for (const auto &session : sessions) {
        session->closeIfIdle();
    }
    const auto now = systemNow();
    const bool isRelayDone = !m_relays || !m_relays->hasWork();
    const bool isQuiet = m_sessions.empty() && now - m_lastSessionEndedAt >= quietTime;
    if (isQuiet && isRelayDone && now - m_shutdownAt >= shortestShutdown) {
        finishShutdown("all sessions have ended");
        return;
    }
    constexpr duration again{50};
    m_context.deadlines.scheduleAfter(again, [self = shared_from_this()] { self->closeIdleSessions(); });
}

void front::endTransactions()
{
    const std::vector<std::shared_ptr<front_session>> sessions(m_sessions.begin(), m_sessions.end());
    for (const auto &session : sessions) {
        session->abortTransaction("shutdown");
    }
    if (m_relays) {
        m_relays->endTransactions();
    }
}

void front::close()
{
    std::error_code ignored; // Nothing depends on how a listener closes.
    m_acceptor.close(ignored);
    m_readiness->close();
    if (m_metrics) {
        m_metrics->close();
    }
    m_feed->stop();
    if (m_relays) {
        m_fleet->stop();
        m_relays->close();
    }
    const std::vector<std::shared_ptr<front_session>> sessions(m_sessions.begin(), m_sessions.end());
    for (const auto &session : sessions) {
        session->close();
    }
    for (const auto &[service, keeper] : m_keepers) {
        keeper->stop();
    }
    for (const auto &[service, group] : m_groups) {
        for (const auto &[id, pool] : group->targets()) {
            pool->close();
        }
    }
}

void front::finishShutdown(const char *why)
{
    const auto done = std::exchange(m_whenShutDown, nullptr);
    if (!done) {
        return;
    }
    m_context.log.info("stopped").field("why", why).field("sessions", static_cast<std::int64_t>(m_sessions.size()));
    m_context.log.flush();
    done();
}

}
