#include "controlplane.h"

#include "controlnode.h"
#include "peertransport.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <mutex>
#include <utility>

namespace crocusdeal
{

namespace
{

using namespace literals;

constexpr std::chrono::milliseconds tickInterval{100};
constexpr duration localFactsInterval = 250_ms;
constexpr duration snapshotInterval = 1_s;
constexpr std::chrono::milliseconds transferTimeout{4'000};
/** More transfers at once would hold several megabytes and delay the probes behind them. */
constexpr std::size_t maxConfigurationTransfers = 8;
constexpr std::size_t maxTableTransfers = 8;

membership_settings membershipSettings(const control_plane_settings &settings)
{
    membership_settings result;
    result.self = settings.self;
    result.seeds = settings.seeds;
    return result;
}

}

class control_plane::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context &context, control_plane_settings settings, control_plane_hooks hooks)
        : m_strand(asio::make_strand(context))
        , m_timer(m_strand)
        , m_settings(std::move(settings))
        , m_hooks(std::move(hooks))
    {
    }

    std::optional<std::string> start();
    void stop();
    void leave();
    void setPlatformInstances(const std::vector<listed_instance> &instances);
    void setGroups(const std::vector<group_targets> &groups, const std::vector<group_id> &wanted);
    void offerConfiguration(std::uint64_t version, std::string text);
    void request(const instance_id &instance,
                 const std::string &bytes,
                 std::chrono::milliseconds timeout,
                 std::function<void(std::optional<std::string>)> done);
    control_health health() const;

    /** Runs @p action on the strand unless the control plane has stopped. */
    template<typename Action>
    void post(Action action)
    {
        asio::post(m_strand, [self = shared_from_this(), action = std::move(action)]() mutable {
            if (!self->m_stopped) {
                action(*self);
            }
        });
    }

    /** The node; only on the strand, or elsewhere under nodeMutex. */
    control_node &node()
    {
        return *m_node;
    }
    void run(control_actions actions);

    /** Guards the node: the strand writes it, other threads read the ownership of targets. */
    mutable std::mutex nodeMutex;
    mutable std::mutex snapshotMutex;
    members_snapshot snapshot = std::make_shared<const std::vector<member_info>>();
    control_health lastHealth;
    std::string boundAddress;
    std::atomic<std::uint64_t> version{0};
    std::atomic<bool> ready{false};
    std::atomic<bool> watches{false};

    template<typename Decision>
    void decide(Decision decision)
    {
        control_actions actions;
        {
            const std::lock_guard lock(nodeMutex);
            actions = decision(*m_node);
        }
        run(std::move(actions));
    }

    time_point now() const
    {
        return m_hooks.now();
    }

private:
    void scheduleTick();
    void tick();
    void pullTable(const std::string &address);
    void pullConfiguration(const pull_configuration &pull);
    void serve(peer_message_kind kind, const std::string &payload, const peer_transport::reply_function &reply);
    void serveConfiguration(const std::string &payload, const peer_transport::reply_function &reply);
    void serveTable(const peer_transport::reply_function &reply);
    void serveRequest(const std::string &payload, const peer_transport::reply_function &reply);
    void publishSnapshot();
    void applyConfiguration();
    void log(control_log_level level, const std::string &line) const;
    void logChange(const member_info &member) const;

    peer_transport::strand_type m_strand;
    asio::steady_timer m_timer;
    control_plane_settings m_settings;
    control_plane_hooks m_hooks;
    std::optional<control_node> m_node;
    std::shared_ptr<peer_transport> m_transport;
    time_point m_nextLocalFacts = never;
    time_point m_nextSnapshot = never;
    bool m_snapshotDue = true;
    bool m_stopped = false;
};

std::optional<std::string> control_plane::implementation::start()
{
    peer_transport::hooks hooks;
    const std::weak_ptr<implementation> weak = weak_from_this();
    hooks.onDatagram = [weak](const peer_datagram &datagram, const std::string &source) {
        if (const auto self = weak.lock()) {
            self->decide([&](control_node &node) { return node.receive(self->now(), datagram, source); });
        }
    };
    hooks.onMessage =
        [weak](peer_message_kind kind, const std::string &payload, const peer_transport::reply_function &reply) {
            if (const auto self = weak.lock()) {
                self->serve(kind, payload, reply);
            }
        };
    m_transport = std::make_shared<peer_transport>(m_strand, std::move(hooks));
    const bool isAdvertised = m_settings.listenAddress.empty();
    if (auto error = m_transport->open(isAdvertised ? m_settings.self.controlAddress : m_settings.listenAddress)) {
        return error;
    }
    boundAddress = m_transport->localAddress();
    if (isAdvertised) {
        m_settings.self.controlAddress = boundAddress;
    }
    m_node.emplace(membershipSettings(m_settings), m_settings.randomSeed);
    publishSnapshot();
    post([](implementation &self) {
        self.m_transport->start();
        self.tick();
    });
    return std::nullopt;
}

void control_plane::implementation::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        if (!std::exchange(self->m_stopped, true)) {
            self->m_timer.cancel();
            if (self->m_transport) {
                self->m_transport->stop();
            }
        }
    });
}

void control_plane::implementation::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([weak = weak_from_this()](std::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_stopped) {
            self->tick();
        }
    });
}

void control_plane::implementation::tick()
{
    const auto time = now();
    if (m_hooks.localFacts && time >= m_nextLocalFacts) {
        m_nextLocalFacts = time + localFactsInterval;
        const auto facts = m_hooks.localFacts();
        const std::lock_guard lock(nodeMutex);
        m_node->observe(time, facts);
    }
    decide([time](control_node &node) { return node.tick(time); });
    if (m_snapshotDue || time >= m_nextSnapshot) {
        m_snapshotDue = false;
        m_nextSnapshot = time + snapshotInterval;
        publishSnapshot();
    }
    scheduleTick();
}

void control_plane::implementation::run(control_actions actions)
{
    for (const auto &[address, datagram] : actions.datagrams) {
        m_transport->send(address, datagram);
    }
    for (const auto &pull : actions.tablePulls) {
        pullTable(pull.address);
    }
    if (actions.configurationPull) {
        pullConfiguration(*actions.configurationPull);
    }
    if (!actions.changed.empty()) {
        m_snapshotDue = true;
        for (const auto &member : actions.changed) {
            logChange(member);
        }
        publishSnapshot();
        if (m_hooks.onMembersChanged) {
            m_hooks.onMembersChanged(actions.changed);
        }
    }
    if (actions.configurationApplied) {
        applyConfiguration();
    }
    ready = m_node->configuration().isReady();
    watches = m_node->ownership().shouldWatchPlatform();
    for (const auto &news : actions.facts) {
        if (m_hooks.onFact) {
            m_hooks.onFact(news.fact, news.notBefore);
        }
    }
    if (actions.readPlatform) {
        log(control_log_level::Warning, "config: no peer answers for a newer version, reading the platform");
        if (m_hooks.onPlatformNeeded) {
            m_hooks.onPlatformNeeded();
        }
    }
}

void control_plane::implementation::applyConfiguration()
{
    const auto &configuration = m_node->configuration();
    version = configuration.version();
    log(control_log_level::Info, "config: version " + std::to_string(configuration.version()) + " in force");
    if (m_hooks.onConfiguration) {
        m_hooks.onConfiguration(configuration.version(), configuration.text());
    }
}

void control_plane::implementation::pullTable(const std::string &address)
{
    const auto done = [weak = weak_from_this()](const std::optional<std::string> &response) {
        const auto self = weak.lock();
        const auto facts = response ? decodeTable(*response) : std::nullopt;
        if (self && !self->m_stopped && facts) {
            self->decide([&](control_node &node) { return node.tableReceived(self->now(), *facts); });
        }
    };
    m_transport->call(address, peer_message_kind::Table, {}, transferTimeout, done);
}

void control_plane::implementation::pullConfiguration(const pull_configuration &pull)
{
    const auto done = [weak = weak_from_this(), from = pull.from](const std::optional<std::string> &response) {
        const auto self = weak.lock();
        if (!self || self->m_stopped) {
            return;
        }
        const auto reply = response ? decodeConfigurationReply(*response) : std::nullopt;
        self->decide([&](control_node &node) { return node.configurationPulled(self->now(), from, reply); });
    };
    m_transport->call(
        pull.address, peer_message_kind::Configuration, encodeHeldVersions(pull.heldVersions), transferTimeout, done);
}

void control_plane::implementation::serve(peer_message_kind kind,
                                          const std::string &payload,
                                          const peer_transport::reply_function &reply)
{
    switch (kind) {
    case peer_message_kind::Table:
        serveTable(reply);
        break;
    case peer_message_kind::Configuration:
        serveConfiguration(payload, reply);
        break;
    case peer_message_kind::Request:
        serveRequest(payload, reply);
        break;
    }
}

void control_plane::implementation::serveTable(const peer_transport::reply_function &reply)
{
    // The puller asks another member a second later.
    const bool busy = m_transport->inboundCount(peer_message_kind::Table) > maxTableTransfers;
    reply(busy ? std::nullopt : std::optional(encodeTable(m_node->members().table())));
}

void control_plane::implementation::serveConfiguration(const std::string &payload,
                                                       const peer_transport::reply_function &reply)
{
    const auto held = decodeHeldVersions(payload);
    if (!held) {
        reply(std::nullopt);
        return;
    }
    if (m_transport->inboundCount(peer_message_kind::Configuration) > maxConfigurationTransfers) {
        configuration_reply busy;
        busy.busy = true;
        reply(encodeConfigurationReply(busy));
        return;
    }
    reply(encodeConfigurationReply(m_node->configuration().answer(*held)));
}

void control_plane::implementation::serveRequest(const std::string &payload,
                                                 const peer_transport::reply_function &reply)
{
    auto request = decodeRequest(payload);
    if (!request || !m_hooks.onRequest) {
        reply(std::nullopt);
        return;
    }
    m_hooks.onRequest(
        request->from, std::move(request->bytes), [reply](std::string response) { reply(std::move(response)); });
}

void control_plane::implementation::publishSnapshot()
{
    auto members = std::make_shared<const std::vector<member_info>>(m_node->members().members());
    auto current = health();
    const std::lock_guard lock(snapshotMutex);
    snapshot = std::move(members);
    lastHealth = std::move(current);
}

control_health control_plane::implementation::health() const
{
    control_health health;
    const auto &counters = m_transport->counters();
    for (std::size_t i = 0; i < counters.datagramsOut.size(); ++i) {
        health.datagrams.push_back({datagramKindNames.name(static_cast<datagram_kind>(i)),
                                    counters.datagramsOut[i],
                                    counters.datagramBytesOut[i],
                                    counters.datagramsIn[i],
                                    counters.datagramBytesIn[i]});
    }
    for (std::size_t i = 0; i < counters.framesOut.size(); ++i) {
        health.frames.push_back({peerMessageKindNames.name(static_cast<peer_message_kind>(i)),
                                 counters.framesOut[i],
                                 counters.frameBytesOut[i],
                                 counters.framesIn[i],
                                 counters.frameBytesIn[i]});
    }
    health.malformed = counters.malformed;
    health.sendErrors = counters.sendErrors;
    health.refusedConnections = counters.refusedConnections;
    health.timeouts = counters.timeouts;
    health.healthScore = m_node->members().healthScore();
    health.liveMembers = m_node->members().fleetSize();
    health.configuration = m_node->configuration().counters();
    return health;
}

void control_plane::implementation::leave()
{
    post([](implementation &self) { self.decide([&](control_node &node) { return node.leave(); }); });
}

void control_plane::implementation::request(const instance_id &instance,
                                            const std::string &bytes,
                                            std::chrono::milliseconds timeout,
                                            std::function<void(std::optional<std::string>)> done)
{
    const auto *member = m_node->members().known().find(instance);
    if (member == nullptr) {
        done(std::nullopt);
        return;
    }
    m_transport->call(member->info.description->controlAddress,
                      peer_message_kind::Request,
                      encodeRequest({m_settings.self.id, bytes}),
                      timeout,
                      std::move(done));
}

void control_plane::implementation::log(control_log_level level, const std::string &line) const
{
    if (m_hooks.log) {
        m_hooks.log(level, line);
    }
}

void control_plane::implementation::logChange(const member_info &member) const
{
    log(control_log_level::Info,
        "member: " + member.id().str() + " is " + std::string(memberStateNames.name(member.state)) + ", incarnation "
            + std::to_string(member.incarnation));
}

std::shared_ptr<control_plane> control_plane::create(asio::io_context &context,
                                                     control_plane_settings settings,
                                                     control_plane_hooks hooks)
{
    auto core = std::make_shared<implementation>(context, std::move(settings), std::move(hooks));
    return std::shared_ptr<control_plane>(new control_plane(std::move(core)));
}

control_plane::control_plane(std::shared_ptr<implementation> core)
    : m_implementation(std::move(core))
{
}

control_plane::~control_plane()
{
    stop();
}

std::optional<std::string> control_plane::start()
{
    return m_implementation->start();
}

void control_plane::stop()
{
    m_implementation->stop();
}

void control_plane::leave()
{
    m_implementation->leave();
}

control_plane::members_snapshot control_plane::members() const
{
    const std::lock_guard lock(m_implementation->snapshotMutex);
    return m_implementation->snapshot;
}

std::string control_plane::controlAddress() const
{
    return m_implementation->boundAddress;
}

void control_plane::setPlatformInstances(std::vector<listed_instance> instances)
{
    m_implementation->post([instances = std::move(instances)](implementation &self) {
        self.decide([&](control_node &node) { return node.setPlatformInstances(instances); });
    });
}

void control_plane::setGroups(std::vector<group_targets> groups, std::vector<group_id> wanted)
{
    m_implementation->post([groups = std::move(groups), wanted = std::move(wanted)](implementation &self) {
        const std::lock_guard lock(self.nodeMutex);
        self.node().setGroups(groups, wanted);
    });
}

void control_plane::offerConfiguration(std::uint64_t version, std::string text)
{
    m_implementation->post([version, text = std::move(text)](implementation &self) {
        self.decide([&](control_node &node) { return node.offerConfiguration(self.now(), version, text); });
    });
}

void control_plane::offerFact(database_fact fact)
{
    m_implementation->post([fact = std::move(fact)](implementation &self) {
        const std::lock_guard lock(self.nodeMutex);
        self.node().observe(self.now(), {fact});
    });
}

void control_plane::queryGroup(group_id group)
{
    m_implementation->post([group = std::move(group)](implementation &self) {
        self.decide([&](control_node &node) { return node.queryGroup(self.now(), group); });
    });
}

bool control_plane::shouldWatchPlatform() const
{
    return m_implementation->watches;
}

std::uint64_t control_plane::configurationVersion() const
{
    return m_implementation->version;
}

bool control_plane::isReady() const
{
    return m_implementation->ready;
}

std::vector<instance_id> control_plane::probers(const group_id &group, const target_id &target) const
{
    const std::lock_guard lock(m_implementation->nodeMutex);
    return m_implementation->node().ownership().probers(group, target);
}

bool control_plane::isProber(const group_id &group, const target_id &target) const
{
    const std::lock_guard lock(m_implementation->nodeMutex);
    return m_implementation->node().ownership().isProber(group, target);
}

int control_plane::candidateRank(const group_id &group) const
{
    const std::lock_guard lock(m_implementation->nodeMutex);
    return m_implementation->node().ownership().candidateRank(group);
}

void control_plane::request(instance_id instance,
                            std::string bytes,
                            duration timeout,
                            std::function<void(std::optional<std::string>)> done)
{
    const std::chrono::milliseconds limit(timeout.ms);
    const auto self = m_implementation;
    self->post([instance = std::move(instance), bytes = std::move(bytes), limit, done = std::move(done)](
                   implementation &on) { on.request(instance, bytes, limit, done); });
}

control_health control_plane::health() const
{
    const std::lock_guard lock(m_implementation->snapshotMutex);
    return m_implementation->lastHealth;
}

}
