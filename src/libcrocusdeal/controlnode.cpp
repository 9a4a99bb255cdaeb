#include "controlnode.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace crocusdeal
{

namespace
{

using namespace literals;

/** Hashes of wanted groups in a probe; 4 bytes each. */
constexpr std::size_t maxWantedPerProbe = 24;
/** Two queries a second cost about 1 KB/s of the 9 KB/s. */
constexpr duration queryInterval = 500_ms;
/** Fresher facts of a wanted group are not asked for again. */
constexpr duration freshBound = 1_s;
/** Tables of members are compared and repaired, news of primaries are not, so they are repeated more often. */
constexpr int newsFactor = 2;
/** Candidates beyond these ranks start 1.5 s after the first and can ask then. */
constexpr int ranksInterested = 3;

}

control_node::control_node(const membership_settings &settings, std::uint64_t randomSeed)
    : m_membership(settings, randomSeed)
    , m_ownership(settings.self)
    , m_configuration(randomSeed + 1)
{
    m_ownership.memberChanged(m_membership.self());
}

control_actions control_node::take(membership_actions from)
{
    control_actions actions;
    actions.datagrams = std::move(from.datagrams);
    actions.tablePulls = std::move(from.pulls);
    for (auto &member : from.changed) {
        m_ownership.memberChanged(member);
        if (!member.isLive()) {
            m_configuration.memberGone(member.id());
        }
        m_interestChanged = true;
        actions.changed.push_back(std::move(member));
    }
    decorate(actions.datagrams);
    return actions;
}

void control_node::take(configuration_actions from, control_actions &actions)
{
    if (from.applied) {
        actions.configurationApplied = true;
        m_membership.setConfigurationVersion(m_configuration.version());
        m_membership.spreadSoon();
    }
    if (from.pull) {
        actions.configurationPull = std::move(from.pull);
    }
    actions.readPlatform = actions.readPlatform || from.readPlatform;
}

/** Adds what does not belong to membership: wanted groups to probes and changes of primary to all datagrams. */
void control_node::decorate(std::vector<send_datagram> &datagrams)
{
    for (auto &[address, datagram] : datagrams) {
        if (datagram.kind == datagram_kind::Probe) {
            datagram.wantedGroups = wantedFrom(datagram.to);
        }
        const auto room = maxFactsPerDatagram - std::min(maxFactsPerDatagram, datagram.databases.size());
        auto news = m_facts.takeNews(room, newsFactor * factTransmissions(m_membership.fleetSize()));
        std::move(news.begin(), news.end(), std::back_inserter(datagram.databases));
    }
}

control_actions control_node::tick(time_point now)
{
    auto actions = take(m_membership.tick(now));
    take(m_configuration.tick(now), actions);
    if (m_facts.takeFreshNews()) {
        m_membership.spreadSoon();
    }
    refreshWanted();
    queryOldest(now, actions);
    return actions;
}

control_actions control_node::receive(time_point now, const peer_datagram &datagram, const std::string &source)
{
    auto fromMembership = m_membership.receive(now, datagram, source);
    const auto probeSentAt = fromMembership.answeredProbeSentAt;
    if (datagram.kind == datagram_kind::Probe) {
        for (auto &[address, answer] : fromMembership.datagrams) {
            if (answer.kind == datagram_kind::Ack && answer.sequence == datagram.sequence) {
                answer.databases = m_facts.answer(now, datagram.wantedGroups, maxFactsPerDatagram);
            }
        }
    }
    auto actions = take(std::move(fromMembership));
    for (const auto &fact : datagram.databases) {
        if (auto news = m_facts.receive(fact, probeSentAt)) {
            actions.facts.push_back(std::move(*news));
        }
    }
    if (const auto *sender = m_membership.known().find(datagram.from)) {
        const auto &address = sender->info.description->controlAddress;
        take(m_configuration.heard(now, datagram.from, address, datagram.configurationVersion), actions);
    }
    return actions;
}

control_actions control_node::tableReceived(time_point now, const std::vector<member_fact> &facts)
{
    return take(m_membership.tableReceived(now, facts));
}

control_actions control_node::setPlatformInstances(const std::vector<listed_instance> &instances)
{
    return take(m_membership.setPlatformInstances(instances));
}

control_actions control_node::leave()
{
    return take(m_membership.leave());
}

control_actions control_node::offerConfiguration(time_point now, std::uint64_t version, std::string text)
{
    control_actions actions;
    take(m_configuration.offer(now, version, std::move(text)), actions);
    return actions;
}

control_actions control_node::configurationPulled(time_point now,
                                                  const instance_id &peer,
                                                  const std::optional<configuration_reply> &reply)
{
    control_actions actions;
    take(m_configuration.pullFinished(now, peer, reply), actions);
    return actions;
}

void control_node::setGroups(const std::vector<group_targets> &groups, const std::vector<group_id> &wanted)
{
    m_ownership.setGroups(groups);
    m_wanted = wanted;
    m_interestChanged = true;
    std::vector<group_id> names;
    names.reserve(groups.size());
    for (const auto &group : groups) {
        names.push_back(group.group);
    }
    m_facts.keepOnly(names);
}

void control_node::observe(time_point now, const std::vector<database_fact> &facts)
{
    for (const auto &fact : facts) {
        m_facts.observe(now, fact);
    }
}

void control_node::refreshWanted()
{
    if (!std::exchange(m_interestChanged, false)) {
        return;
    }
    std::unordered_set<group_id> interest(m_wanted.begin(), m_wanted.end());
    for (const auto &group : m_ownership.candidateGroups()) {
        if (m_ownership.candidateRank(group) < ranksInterested) {
            interest.insert(group);
        }
    }
    m_interest.assign(interest.begin(), interest.end());
    m_targets.clear();
    for (const auto &group : m_interest) {
        if (const auto *configured = m_ownership.find(group)) {
            for (const auto &target : configured->targets) {
                m_targets.push_back({group, target.id, never});
            }
        }
    }
}

std::vector<std::uint32_t> control_node::wantedFrom(const instance_id &peer)
{
    std::vector<std::uint32_t> hashes;
    const auto add = [&hashes](const group_id &group) {
        const auto hash = groupHash(group);
        if (hashes.size() < maxWantedPerProbe && std::find(hashes.begin(), hashes.end(), hash) == hashes.end()) {
            hashes.push_back(hash);
        }
    };
    for (const auto &wanted : m_targets) {
        const auto probers = m_ownership.probers(wanted.group, wanted.target);
        if (std::find(probers.begin(), probers.end(), peer) != probers.end()) {
            add(wanted.group);
        }
    }
    // The rest of the room goes round the other groups: the peer may know them from its own traffic.
    for (std::size_t i = 0; i < std::min(m_interest.size(), maxWantedPerProbe); ++i) {
        add(m_interest[m_nextInterest++ % m_interest.size()]);
    }
    return hashes;
}

void control_node::queryOldest(time_point now, control_actions &actions)
{
    if (now < m_nextQuery || m_targets.empty()) {
        return;
    }
    m_nextQuery = now + queryInterval;
    const auto lastKnown = [this](const wanted_target &wanted) {
        const auto fact = m_facts.find(wanted.group, wanted.target);
        return std::max(wanted.askedAt, fact ? fact->notBefore : never);
    };
    const auto oldest = std::min_element(
        m_targets.begin(), m_targets.end(), [&](const auto &a, const auto &b) { return lastKnown(a) < lastKnown(b); });
    if (now - lastKnown(*oldest) < freshBound) {
        return;
    }
    oldest->askedAt = now;
    for (const auto &prober : m_ownership.probers(oldest->group, oldest->target)) {
        if (prober != m_membership.self().id()) {
            query(now, prober, actions);
            return;
        }
    }
}

void control_node::query(time_point now, const instance_id &prober, control_actions &actions)
{
    append(take(m_membership.query(now, prober)), actions);
}

void control_node::append(control_actions from, control_actions &to)
{
    std::move(from.datagrams.begin(), from.datagrams.end(), std::back_inserter(to.datagrams));
    std::move(from.changed.begin(), from.changed.end(), std::back_inserter(to.changed));
}

control_actions control_node::queryGroup(time_point now, const group_id &group)
{
    control_actions actions;
    const auto *configured = m_ownership.find(group);
    if (configured == nullptr) {
        return actions;
    }
    std::vector<instance_id> asked;
    for (const auto &target : configured->targets) {
        for (const auto &prober : m_ownership.probers(group, target.id)) {
            if (prober == m_membership.self().id() || std::find(asked.begin(), asked.end(), prober) != asked.end()) {
                continue;
            }
            asked.push_back(prober);
            query(now, prober, actions);
        }
    }
    return actions;
}

const membership &control_node::members() const
{
    return m_membership;
}

const target_ownership &control_node::ownership() const
{
    return m_ownership;
}

const fact_store &control_node::facts() const
{
    return m_facts;
}

const configuration_spread &control_node::configuration() const
{
    return m_configuration;
}

}
