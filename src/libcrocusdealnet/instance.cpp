#include "instance.h"

#include "adminresponder.h"
#include "adminserver.h"
#include "configurationjson.h"
#include "jsonsplit.h"
#include "objectwatcher.h"
#include "partlog.h"
#include "platformclient.h"
#include "systemclock.h"

#include <asio/post.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <random>
#include <set>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::size_t statementClassCount = static_cast<std::size_t>(statement_class::Invalid) + 1;
constexpr duration refreshPeriod{5000};
constexpr duration platformTimeout{5000};
constexpr duration shutdownLimit{30000};
constexpr duration limitTimeout{500};
constexpr std::chrono::milliseconds limitPeriod{100};
constexpr std::chrono::milliseconds tickPeriod{500};
constexpr std::chrono::milliseconds shutdownPoll{20};

const part_log &configLog()
{
    static const part_log log("config");
    return log;
}

const part_log &memberLog()
{
    static const part_log log("member");
    return log;
}

const part_log &limitLog()
{
    static const part_log log("queue");
    return log;
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return std::uint64_t{device()} << 32U | device();
}

log_level toLogLevel(control_log_level level)
{
    switch (level) {
    case control_log_level::Debug:
        return log_level::Debug;
    case control_log_level::Info:
        return log_level::Info;
    case control_log_level::Warning:
        return log_level::Warn;
    case control_log_level::Error:
        break;
    }
    return log_level::Error;
}

void writeControlLine(control_log_level level, const std::string &line)
{
    // The control plane's lines carry the prefix of their part already.
    const auto colon = line.find(": ");
    const bool isConfig = line.starts_with("config: ");
    const auto &log = isConfig ? configLog() : memberLog();
    log.write(toLogLevel(level), colon == std::string::npos ? line : line.substr(colon + 2));
}

std::vector<listed_instance> toListed(const std::vector<instance_entry> &entries)
{
    std::vector<listed_instance> listed;
    for (const auto &entry : entries) {
        if (!entry.controlAddress) {
            continue;
        }
        listed_instance item;
        item.description.id = entry.id;
        item.description.dataCentre = entry.dataCentre;
        item.description.callerAddress = entry.callerAddress ? toString(*entry.callerAddress) : std::string();
        item.description.controlAddress = toString(*entry.controlAddress);
        item.description.adminAddress = entry.adminAddress ? toString(*entry.adminAddress) : std::string();
        item.leaving = entry.state == instance_state::Leaving;
        listed.push_back(std::move(item));
    }
    return listed;
}

}

instance::instance(asio::io_context &io, daemon_settings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_registry(std::make_shared<session_registry>(randomSeed()))
    , m_statements(randomSeed())
    , m_sessions{io, m_registry, m_statements, nullptr, nullptr}
    , m_startup{m_sessions, nullptr, nullptr, nullptr}
    , m_groupEnvironment{io,
                         m_settings.instance,
                         m_settings.dataCentre,
                         m_settings.user,
                         nullptr,
                         nullptr,
                         nullptr,
                         nullptr,
                         nullptr,
                         nullptr}
    , m_timer(io)
    , m_limitTimer(io)
    , m_shutdownTimer(io)
{
    m_sessions.runBlocking = [this](const std::function<void()> &task) { asio::post(m_blocking, task); };
    std::array<latency_histogram *, statementClassCount> histograms{};
    for (std::size_t i = 0; i < histograms.size(); ++i) {
        const std::string name(statementClassNames.name(static_cast<statement_class>(i)));
        histograms[i] =
            &m_metrics.latency("crocusdeal_request_seconds", "Time from a request to its answer", {{"class", name}});
    }
    m_sessions.onAnswered = [histograms](statement_class cls, std::chrono::microseconds time) {
        histograms[static_cast<std::size_t>(cls)]->record(time);
    };
    m_startup.findService = [this](const std::string &database, pg_error &refusal) {
        return findService(database, refusal);
    };
    m_startup.isDraining = [this] {
        const std::lock_guard lock(m_mutex);
        return m_draining;
    };
}

instance::~instance()
{
    m_blocking.join();
}

std::optional<std::string> instance::start()
{
    if (auto problem = loadTls()) {
        return problem;
    }
    startControlPlane();
    startLimits();
    if (auto problem = m_control->start()) {
        return problem;
    }
    startPlatform();
    m_listener = std::make_shared<caller_listener>(m_startup, m_io);
    try {
        m_listener->listen(m_settings.callerAddress.host, m_settings.callerAddress.port);
    } catch (const std::system_error &error) {
        return "cannot listen on " + toString(m_settings.callerAddress) + ": " + error.what();
    }
    tick();
    tickLimits();
    return startAdmin();
}

std::optional<std::string> instance::loadTls()
{
    if (!m_settings.tls) {
        return std::nullopt;
    }
    auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    std::error_code error;
    context->use_certificate_chain_file(m_settings.tls->certificate, error);
    if (error) {
        return "cannot read the certificate " + m_settings.tls->certificate + ": " + error.message();
    }
    context->use_private_key_file(m_settings.tls->key, asio::ssl::context::pem, error);
    if (error) {
        return "cannot read the key " + m_settings.tls->key + ": " + error.message();
    }
    m_startup.tls = std::move(context);
    return std::nullopt;
}

void instance::startControlPlane()
{
    control_plane_settings settings;
    settings.self = {m_settings.instance,
                     m_settings.dataCentre,
                     toString(m_settings.advertised.caller),
                     toString(m_settings.advertised.control),
                     toString(m_settings.advertised.admin)};
    settings.listenAddress = toString(m_settings.controlAddress);
    for (const auto &peer : m_settings.peers) {
        settings.seeds.push_back(toString(peer));
    }
    settings.randomSeed = randomSeed();

    control_plane_hooks hooks;
    hooks.now = systemNow;
    hooks.log = writeControlLine;
    hooks.onMembersChanged = [this](const std::vector<member_info> &) { onMembersChanged(); };
    hooks.onConfiguration = [this](std::uint64_t version, const std::shared_ptr<const std::string> &text) {
        onConfiguration(version, *text);
    };
    hooks.localFacts = [this] { return localFacts(); };
    hooks.onFact = [this](const database_fact &fact, time_point notBefore) { onFact(fact, notBefore); };
    hooks.onRequest =
        [this](const instance_id &from, const std::string &bytes, const std::function<void(std::string)> &reply) {
            reply(m_groupEnvironment.limits->onMessages(from, bytes));
        };
    hooks.onPlatformNeeded = [this] { refreshInstances(); };
    m_control = control_plane::create(m_io, std::move(settings), std::move(hooks));

    m_groupEnvironment.candidateRank = [this](const group_id &group) { return m_control->candidateRank(group); };
    m_groupEnvironment.isProber = [this](const group_id &group, const target_id &target) {
        return m_control->isProber(group, target);
    };
    m_groupEnvironment.onOwnFact = [this](const group_id &group, const target_id &target, const target_status &status) {
        offerFact(group, target, status);
    };
    m_groupEnvironment.onHint = [this](const group_id &group, std::uint64_t term, const target_id &primary) {
        publishHint(group, term, primary);
    };
    m_groupEnvironment.onSuspected = [this](const group_id &group) { m_control->queryGroup(group); };
}

void instance::startLimits()
{
    limit_coordinator::hooks hooks;
    hooks.now = systemNow;
    hooks.send =
        [this](const instance_id &to, std::string bytes, std::function<void(std::optional<std::string>)> done) {
            m_control->request(to, std::move(bytes), limitTimeout, std::move(done));
        };
    hooks.log = [](const std::string &line) { limitLog().write(log_level::Info, line); };
    hooks.onChanged = [this](const target_id &key) {
        const auto slash = key.str().find('/');
        const auto known = groups();
        const auto found = known.find(group_id(key.str().substr(0, slash)));
        if (found != known.end()) {
            found->second->onLimitsChanged(target_id(key.str().substr(slash + 1)));
        }
    };
    hooks.onShapes = [this](const target_id &key, const std::vector<shared_shape> &shapes) {
        const auto known = groups();
        const auto found = known.find(group_id(key.str().substr(0, key.str().find('/'))));
        if (found != known.end()) {
            limitLog().write(log_level::Info,
                             key.str() + ": took over " + std::to_string(shapes.size())
                                 + " statement shapes from others");
            found->second->adoptShapes(shapes);
        }
    };
    // Wall clock time rises across restarts of the instance, which keeps nothing else.
    const auto started = std::chrono::system_clock::now().time_since_epoch();
    m_groupEnvironment.limits = std::make_shared<limit_coordinator>(
        m_settings.instance,
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(started).count()),
        std::move(hooks));
}

void instance::tickLimits()
{
    m_groupEnvironment.limits->setMembers(m_control->members());
    for (const auto &[id, group] : groups()) {
        group->updateDemand();
    }
    m_groupEnvironment.limits->tick();
    m_limitTimer.expires_after(limitPeriod);
    m_limitTimer.async_wait([weak = weak_from_this()](std::error_code error) {
        if (const auto self = weak.lock(); self && !error) {
            self->tickLimits();
        }
    });
}

void instance::setLimitTargets(const fleet_configuration &configuration)
{
    std::vector<target_limits> limits;
    for (const auto &group : configuration.groups()) {
        const auto *service = configuration.find(group.services.front());
        for (const auto &target : group.targets) {
            limits.push_back({fleetTargetId(group.group, target.id),
                              target.dataCentre,
                              service->limits.connections,
                              service->limits.slots});
        }
    }
    m_groupEnvironment.limits->setTargets(limits);
}

void instance::startPlatform()
{
    platform_client_options options;
    options.address = m_settings.platformAddress;
    options.caller = m_settings.instance.str();
    m_platform = std::make_unique<platform_client>(std::move(options));
}

std::optional<std::string> instance::startAdmin()
{
    m_responder = std::make_unique<admin_responder>(
        admin_sources{
            .isReady = [this] { return isReady(); },
            .report = [this] { return report(); },
            .findService = [this](const std::string &name, pg_error &refusal) { return findService(name, refusal); },
            .findGroup = [this](const group_id &id) { return findGroup(id); }},
        m_metrics);
    m_admin = std::make_unique<admin_server>(m_responder->hooks());
    if (!m_admin->start(m_settings.adminAddress.host, m_settings.adminAddress.port)) {
        return "cannot listen on " + toString(m_settings.adminAddress);
    }
    return std::nullopt;
}

instance_report instance::report() const
{
    instance_report report;
    report.instance = m_settings.instance;
    report.dataCentre = m_settings.dataCentre;
    report.ready = isReady();
    report.sessions = m_registry->size();
    report.members = m_control->members();
    report.control = m_control->health();
    for (const auto &[id, group] : groups()) {
        report.groups.emplace(id, group->report());
    }
    const std::lock_guard lock(m_mutex);
    report.configurationVersion = m_configurationVersion;
    report.draining = m_draining;
    return report;
}

void instance::scheduleTick()
{
    m_timer.expires_after(tickPeriod);
    m_timer.async_wait([weak = weak_from_this()](std::error_code error) {
        if (const auto self = weak.lock(); self && !error) {
            self->tick();
        }
    });
}

void instance::tick()
{
    watchPlatform();
    if (systemNow() >= m_nextRefresh) {
        m_nextRefresh = systemNow() + refreshPeriod;
        refreshInstances();
        for (const auto &[id, group] : groups()) {
            group->closeIdleConnections();
        }
    }
    onMembersChanged();
    scheduleTick();
}

/** Only the instances that the fleet chose hold a watch, so that the platform's load does not grow with the fleet. */
void instance::watchPlatform()
{
    const bool wanted = m_control->shouldWatchPlatform();
    if (wanted == (m_watcher != nullptr)) {
        return;
    }
    if (!wanted) {
        configLog().write(log_level::Info, "another instance holds the platform watch");
        m_watcher.reset();
        return;
    }
    configLog().write(log_level::Info, "this instance holds the platform watch of its data centre");
    m_watcher = std::make_unique<object_watcher>(
        *m_platform, object_key{std::string(configurationKind), std::string(configurationName)});
    m_watcher->start(
        m_control->configurationVersion(),
        [this](const platform_object &object) { m_control->offerConfiguration(object.version, object.value); },
        [](const platform_failure &failure) {
            configLog().write(log_level::Warn, "platform watch failed, " + toString(failure));
        });
}

void instance::refreshInstances()
{
    m_platform->instances(platformTimeout, [this](const platform_result<std::vector<instance_entry>> &result) {
        if (!result.failure.detail.empty()) {
            configLog().write(log_level::Warn, "list of instances: " + toString(result.failure));
        }
        if (result.value) {
            std::set<instance_id> listed;
            for (const auto &entry : *result.value) {
                listed.insert(entry.id);
            }
            m_groupEnvironment.limits->setListed(std::move(listed));
            m_control->setPlatformInstances(toListed(*result.value));
        }
    });
}

void instance::onMembersChanged()
{
    const auto members = m_control->members();
    int live = 0;
    for (const auto &member : *members) {
        live += member.isLive() ? 1 : 0;
    }
    for (const auto &[id, group] : groups()) {
        group->setLiveInstances(live);
    }
}

void instance::onConfiguration(std::uint64_t version, const std::string &text)
{
    const auto parsed = parseFleetConfiguration(text, version);
    if (!parsed.value) {
        std::string problems;
        for (const auto &problem : parsed.problems) {
            problems += "; " + toString(problem);
        }
        configLog().write(log_level::Error, "version " + std::to_string(version) + " cannot be applied" + problems);
        return;
    }
    apply(*parsed.value);
    configLog().write(log_level::Info,
                      "version " + std::to_string(version) + " in force, "
                          + std::to_string(parsed.value->services.size()) + " services");
}

void instance::apply(const fleet_configuration &configuration)
{
    const auto configured = configuration.groups();
    group_map next;
    std::vector<std::shared_ptr<group_runtime>> started;
    group_map before = groups();
    for (const auto &group : configured) {
        const auto found = before.find(group.group);
        if (found != before.end()) {
            next.emplace(group.group, found->second);
            continue;
        }
        const auto *service = configuration.find(group.services.front());
        auto runtime = std::make_shared<group_runtime>(m_groupEnvironment, group, service->writes.confirm);
        started.push_back(runtime);
        next.emplace(group.group, std::move(runtime));
    }
    std::vector<group_targets> targets;
    std::vector<group_id> wanted;
    std::map<service_id, group_id> services;
    for (const auto &group : configured) {
        std::vector<service_configuration> members;
        for (const auto &service : group.services) {
            members.push_back(*configuration.find(service));
            services.emplace(service, group.group);
        }
        next.at(group.group)->update(group, members);
        targets.push_back({group.group, group.targets});
        wanted.push_back(group.group);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_groups = next;
        m_services = std::move(services);
        m_configurationVersion = configuration.version;
    }
    for (const auto &runtime : started) {
        runtime->start();
    }
    for (const auto &[id, runtime] : before) {
        if (!next.contains(id)) {
            runtime->stop();
        }
    }
    setLimitTargets(configuration);
    m_control->setGroups(std::move(targets), std::move(wanted));
}

void instance::onFact(const database_fact &fact, time_point notBefore)
{
    const auto known = groups();
    const auto found = known.find(fact.group);
    if (found != known.end()) {
        found->second->monitor().observePeer(
            fact.target, {fact.status.term, fact.status.role, fact.status.at}, notBefore);
    }
}

std::vector<database_fact> instance::localFacts() const
{
    std::vector<database_fact> facts;
    for (const auto &[id, group] : groups()) {
        for (const auto &fact : group->monitor().facts()) {
            // Counts and upstreams are not gossiped: only the ledger's owner and the repair need them, at first hand.
            const target_status status{fact.state.term, fact.state.role, fact.state.at, 0, 0, {}};
            facts.push_back({id, fact.target, status, fact.age});
        }
    }
    return facts;
}

void instance::offerFact(const group_id &group, const target_id &target, const target_status &status)
{
    m_control->offerFact({group, target, status, std::nullopt});
}

void instance::publishHint(const group_id &group, std::uint64_t term, const target_id &primary)
{
    const object_key key{"group", group.str()};
    m_platform->get(key, platformTimeout, [this, key, term, primary](const platform_result<platform_object> &result) {
        if (!result.value) {
            return;
        }
        std::string problem = "object expected";
        std::optional<nlohmann::json> value(nlohmann::json::object());
        if (result.value->version != 0) {
            value = parseLimited(result.value->value, json_limits{}, problem);
        }
        if (!value || !value->is_object()) {
            configLog().write(log_level::Warn, "hint of group " + key.name + " left as it is: " + problem);
            return;
        }
        const auto known = value->find("term");
        if (known != value->end() && known->is_number_unsigned() && known->get<std::uint64_t>() >= term) {
            return;
        }
        (*value)["term"] = term;
        (*value)["primary"] = primary.str();
        m_platform->put(key, result.value->version, value->dump(), platformTimeout, [](const put_result &) {});
    });
}

std::shared_ptr<const service_hooks> instance::findService(const std::string &database, pg_error &refusal) const
{
    std::shared_ptr<group_runtime> group;
    {
        const std::lock_guard lock(m_mutex);
        if (m_configurationVersion == 0) {
            refusal = {"FATAL", "57P03", "no configuration is in force yet", {}, {}};
            return nullptr;
        }
        const auto found = m_services.find(service_id(database));
        if (found == m_services.end()) {
            refusal = {"FATAL", "3D000", "service \"" + database + "\" does not exist", {}, {}};
            return nullptr;
        }
        group = m_groups.at(found->second);
    }
    return group->find(service_id(database));
}

instance::group_map instance::groups() const
{
    const std::lock_guard lock(m_mutex);
    return m_groups;
}

std::shared_ptr<group_runtime> instance::findGroup(const group_id &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_groups.find(id);
    return found == m_groups.end() ? nullptr : found->second;
}

bool instance::isReady() const
{
    const std::lock_guard lock(m_mutex);
    return !m_draining && m_configurationVersion > 0 && m_control->isReady() && m_groupEnvironment.limits->isReady();
}

void instance::shutdown(std::function<void()> done)
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_draining, true)) {
            return;
        }
    }
    m_control->leave();
    m_registry->forEach([](caller_session &session) { session.drain(); });
    closeSessions(std::move(done), systemNow() + shutdownLimit);
}

void instance::closeSessions(std::function<void()> done, time_point limit)
{
    if (m_registry->size() == 0) {
        stopAll();
        done();
        return;
    }
    if (systemNow() >= limit) {
        m_registry->forEach([](caller_session &session) { session.abort(); });
    }
    m_shutdownTimer.expires_after(shutdownPoll);
    m_shutdownTimer.async_wait([self = shared_from_this(), done = std::move(done), limit](std::error_code error) {
        if (!error) {
            self->closeSessions(done, limit);
        }
    });
}

void instance::stopAll()
{
    m_admin->stop();
    m_listener->stop();
    m_timer.cancel();
    m_limitTimer.cancel();
    m_watcher.reset();
    for (const auto &[id, group] : groups()) {
        group->stop();
    }
    m_control->stop();
}

}
