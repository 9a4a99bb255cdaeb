#include "virtualfleet.h"

#include "peercodec.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

using namespace literals;

constexpr std::uint64_t udpHeaderBytes = 28;
constexpr duration tickInterval = 100_ms;
constexpr duration tcpRetransmit = 200_ms;
constexpr duration connectTimeout = 4_s;
/** What waits longer in a paused instance's socket buffer is dropped by the kernel. */
constexpr duration socketBufferTime = 1_s;

}

instance_id virtual_fleet::idOf(std::size_t index)
{
    return instance_id("instance-" + std::to_string(index));
}

data_centre_id virtual_fleet::dataCentreOf(std::size_t index) const
{
    return data_centre_id("dc-" + std::to_string(index % m_settings.dataCentres));
}

std::string virtual_fleet::addressOf(std::size_t index)
{
    return "10.1." + std::to_string(index / 250) + '.' + std::to_string(index % 250 + 1) + ":7400";
}

virtual_fleet::virtual_fleet(const virtual_fleet_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_bytesSentBy(settings.size)
{
    for (std::size_t i = 0; i < settings.size; ++i) {
        const auto host = addressOf(i).substr(0, addressOf(i).rfind(':'));
        m_descriptions.push_back(std::make_shared<const member_description>(
            member_description{idOf(i), dataCentreOf(i), host + ":5432", addressOf(i), host + ":7401"}));
        m_byAddress.emplace(addressOf(i), i);
    }
    m_instances.resize(settings.size);
    for (std::size_t i = 0; i < settings.size; ++i) {
        m_instances[i].node = makeNode(i);
        m_instances[i].clockOffset = duration{static_cast<std::int64_t>(m_random() % 1'000'000)};
        scheduleTick(i, duration{static_cast<std::int64_t>(m_random() % 100)});
    }
}

std::unique_ptr<control_node> virtual_fleet::makeNode(std::size_t index)
{
    membership_settings settings;
    settings.self = *m_descriptions[index];
    settings.seeds = {addressOf(0), addressOf(std::min<std::size_t>(1, m_settings.size - 1))};
    return std::make_unique<control_node>(settings, m_random());
}

void virtual_fleet::introduceAll()
{
    std::vector<member_fact> facts;
    for (const auto &description : m_descriptions) {
        facts.push_back({description->id, 0, member_state::Alive, description, 0});
    }
    for (std::size_t i = 0; i < size(); ++i) {
        m_instances[i].node->tableReceived(localTime(i), facts);
    }
}

time_point virtual_fleet::localTime(std::size_t index) const
{
    return m_time + m_instances[index].clockOffset;
}

time_point virtual_fleet::toFleetTime(std::size_t index, time_point local) const
{
    return local - m_instances[index].clockOffset;
}

void virtual_fleet::schedule(duration in, std::function<void()> action)
{
    m_events.push({m_time + in, m_order++, std::move(action)});
}

void virtual_fleet::scheduleTick(std::size_t index, duration in)
{
    schedule(in, [this, index, generation = m_instances[index].generation] {
        auto &ticking = m_instances[index];
        if (!ticking.up || ticking.generation != generation) {
            return;
        }
        if (m_time < ticking.pausedUntil) {
            scheduleTick(index, ticking.pausedUntil - m_time);
            return;
        }
        perform(index, ticking.node->tick(localTime(index)));
        scheduleTick(index, tickInterval);
    });
}

void virtual_fleet::run(duration span)
{
    const auto end = m_time + span;
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto next = m_events.top();
        m_events.pop();
        m_time = next.at;
        next.action();
    }
    m_time = end;
}

void virtual_fleet::perform(std::size_t index, const control_actions &actions)
{
    for (const auto &[address, datagram] : actions.datagrams) {
        send(index, address, datagram);
    }
    for (const auto &pull : actions.tablePulls) {
        pullTable(index, pull.address);
    }
    if (actions.configurationPull) {
        pullConfiguration(index, *actions.configurationPull);
    }
    if (actions.readPlatform) {
        readPlatform(index);
    }
    if (onChanged) {
        for (const auto &member : actions.changed) {
            onChanged(index, member);
        }
    }
    if (onApplied && actions.configurationApplied) {
        onApplied(index, m_instances[index].node->configuration().version());
    }
    if (onFact) {
        for (const auto &fact : actions.facts) {
            onFact(index, fact);
        }
    }
}

bool virtual_fleet::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

duration virtual_fleet::delay()
{
    return {std::uniform_int_distribution<std::int64_t>(m_settings.minDelay.ms, m_settings.maxDelay.ms)(m_random)};
}

duration virtual_fleet::exchangeDelay()
{
    // Connection set-up and the exchange take two round trips.
    auto total = delay() + delay() + delay() + delay();
    while (chance(m_settings.loss)) {
        total = total + tcpRetransmit;
    }
    return total;
}

std::optional<std::size_t> virtual_fleet::indexOf(const std::string &address) const
{
    const auto found = m_byAddress.find(address);
    return found == m_byAddress.end() ? std::nullopt : std::optional(found->second);
}

bool virtual_fleet::canReach(std::size_t from, std::size_t to) const
{
    const auto &a = m_instances[from];
    const auto &b = m_instances[to];
    return a.up && b.up && a.side == b.side;
}

void virtual_fleet::send(std::size_t from, const std::string &address, const peer_datagram &datagram)
{
    const auto bytes = std::make_shared<const std::string>(encodeDatagram(datagram));
    ++m_traffic.datagrams[static_cast<std::size_t>(datagram.kind)];
    m_traffic.datagramBytes += bytes->size() + udpHeaderBytes;
    m_bytesSentBy[from] += bytes->size() + udpHeaderBytes;
    const auto to = indexOf(address);
    if (!to || !canReach(from, *to) || chance(m_settings.loss)) {
        return;
    }
    const int copies = chance(m_settings.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        schedule(delay(), [this, from, to = *to, bytes] { deliver(from, to, bytes); });
    }
}

void virtual_fleet::deliver(std::size_t from, std::size_t to, const std::shared_ptr<const std::string> &bytes)
{
    const auto &receiver = m_instances[to];
    if (!receiver.up) {
        return;
    }
    if (m_time < receiver.pausedUntil) {
        const auto wait = receiver.pausedUntil - m_time;
        if (wait <= socketBufferTime) {
            schedule(wait, [this, from, to, bytes] { deliver(from, to, bytes); });
        }
        return;
    }
    if (const auto datagram = decodeDatagram(*bytes)) {
        perform(to, m_instances[to].node->receive(localTime(to), *datagram, addressOf(from)));
    }
}

void virtual_fleet::pullTable(std::size_t from, const std::string &address)
{
    const auto to = indexOf(address);
    if (!to || !canReach(from, *to)) {
        return;
    }
    ++m_traffic.tablePulls;
    const auto bytes = std::make_shared<const std::string>(encodeTable(m_instances[*to].node->members().table()));
    m_traffic.tableBytes += bytes->size();
    schedule(exchangeDelay(), [this, from, bytes, generation = m_instances[from].generation] {
        auto &puller = m_instances[from];
        if (!puller.up || puller.generation != generation) {
            return;
        }
        auto facts = decodeTable(*bytes);
        // Descriptions are shared between the instances, or 3,000 tables of 3,000 members would not fit into memory.
        for (auto &fact : *facts) {
            const auto known = fact.description ? indexOf(fact.description->controlAddress) : std::nullopt;
            if (known && *m_descriptions[*known] == *fact.description) {
                fact.description = m_descriptions[*known];
            }
        }
        perform(from, puller.node->tableReceived(localTime(from), *facts));
    });
}

void virtual_fleet::pullConfiguration(std::size_t from, const pull_configuration &pull)
{
    const auto to = indexOf(pull.address);
    const auto finish = [this, from, peer = pull.from, generation = m_instances[from].generation](
                            const std::optional<configuration_reply> &reply) {
        auto &puller = m_instances[from];
        if (puller.up && puller.generation == generation) {
            perform(from, puller.node->configurationPulled(localTime(from), peer, reply));
        }
    };
    if (!to || !canReach(from, *to) || m_time < m_instances[*to].pausedUntil) {
        schedule(connectTimeout, [finish] { finish(std::nullopt); });
        return;
    }
    ++m_traffic.configurationPulls;
    const auto request = encodeHeldVersions(pull.heldVersions);
    const auto answer = m_instances[*to].node->configuration().answer(*decodeHeldVersions(request));
    const auto response = std::make_shared<const std::string>(encodeConfigurationReply(answer));
    m_traffic.configurationBytes += request.size() + response->size();
    schedule(exchangeDelay(), [finish, response] { finish(decodeConfigurationReply(*response)); });
}

void virtual_fleet::readPlatform(std::size_t index)
{
    ++m_traffic.platformReads;
    if (!m_platformUp || m_platformVersion == 0) {
        return;
    }
    m_traffic.platformBytes += m_platformText.size();
    schedule(delay() + delay(), [this, index, version = m_platformVersion, text = m_platformText] {
        if (m_instances[index].up) {
            perform(index, m_instances[index].node->offerConfiguration(localTime(index), version, text));
        }
    });
}

void virtual_fleet::publish(std::uint64_t version, const std::string &text)
{
    m_platformVersion = version;
    m_platformText = text;
    for (std::size_t i = 0; m_platformUp && i < size(); ++i) {
        if (m_instances[i].up && m_instances[i].node->ownership().shouldWatchPlatform()) {
            readPlatform(i);
        }
    }
}

void virtual_fleet::setPlatformUp(bool up)
{
    m_platformUp = up;
}

void virtual_fleet::setLoss(double loss)
{
    m_settings.loss = loss;
}

void virtual_fleet::stop(std::size_t index)
{
    m_instances[index].up = false;
    ++m_instances[index].generation;
}

void virtual_fleet::restart(std::size_t index)
{
    auto &starting = m_instances[index];
    ++starting.generation;
    starting.up = true;
    starting.pausedUntil = never;
    starting.node = makeNode(index);
    scheduleTick(index, tickInterval);
}

void virtual_fleet::pause(std::size_t index, duration span)
{
    m_instances[index].pausedUntil = m_time + span;
}

void virtual_fleet::cut(const std::function<int(std::size_t)> &side)
{
    for (std::size_t i = 0; i < size(); ++i) {
        m_instances[i].side = side(i);
    }
}

void virtual_fleet::heal()
{
    cut([](std::size_t) { return 0; });
}

void virtual_fleet::leave(std::size_t index)
{
    perform(index, m_instances[index].node->leave());
}

std::vector<listed_instance> virtual_fleet::listOfAll() const
{
    std::vector<listed_instance> list;
    for (const auto &description : m_descriptions) {
        list.push_back({*description, false});
    }
    return list;
}

void virtual_fleet::listInstances(const std::vector<listed_instance> &instances)
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (m_instances[i].up) {
            perform(i, m_instances[i].node->setPlatformInstances(instances));
        }
    }
}

std::size_t virtual_fleet::countAt(std::uint64_t version) const
{
    const auto count = std::count_if(m_instances.begin(), m_instances.end(), [version](const instance &one) {
        return one.up && one.node->configuration().version() == version;
    });
    return static_cast<std::size_t>(count);
}

std::size_t virtual_fleet::countUp() const
{
    const auto count =
        std::count_if(m_instances.begin(), m_instances.end(), [](const instance &one) { return one.up; });
    return static_cast<std::size_t>(count);
}

double virtual_fleet::visibleShare() const
{
    double seen = 0;
    for (const auto &one : m_instances) {
        seen += one.up ? static_cast<double>(std::min(one.node->members().fleetSize(), countUp())) : 0;
    }
    return seen / static_cast<double>(countUp()) / static_cast<double>(countUp());
}

bool virtual_fleet::agrees() const
{
    std::uint32_t digest = 0;
    bool first = true;
    for (const auto &one : m_instances) {
        if (!one.up) {
            continue;
        }
        const auto &members = one.node->members();
        if (members.fleetSize() != countUp() || (!first && members.digest() != digest)) {
            return false;
        }
        digest = members.digest();
        first = false;
    }
    return true;
}

}
