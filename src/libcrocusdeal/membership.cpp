#include "membership.h"

#include <algorithm>

#include <cmath>
#include <utility>

namespace crocusdeal
{

namespace
{

using namespace literals;

constexpr int indirectProbes = 3;
/** A relay gives up before the requester's round ends, so that its Nack still counts. */
constexpr duration relayTimeout = 400_ms;
/** Below this a scheduling delay of a second on a small fleet would already kill a member. */
constexpr duration minSuspicion = 3_s;
/** Enough for the members that one side of a short cut missed, without filling the queue after a long one. */
constexpr std::size_t maxSpreadPerPull = 20;
constexpr duration unjudgedLifetime = 10_s;
constexpr duration purgeInterval = 60_s;
/** At 20% loss a fleet of 3,000 has some 2,000 suspects at a time, too many to visit at every tick. */
constexpr duration suspicionCheckInterval = 250_ms;
constexpr duration announcementSpacing = 1_s;

}

membership::membership(membership_settings settings, std::uint64_t randomSeed)
    : m_settings(std::move(settings))
    , m_selfDescription(std::make_shared<const member_description>(m_settings.self))
    , m_random(randomSeed)
    , m_order(m_settings.self.dataCentre)
    , m_healing(m_settings.self, m_settings.seeds, m_settings.healingInterval)
{
    m_queue.add(m_settings.self.id.str(), selfFact());
    m_sequence = static_cast<std::uint32_t>(m_random());
}

membership_actions membership::tick(time_point now)
{
    membership_actions actions;
    if (m_lastTick != never && now - m_lastTick > m_settings.pauseBound) {
        resumeAfterPause(now);
    }
    m_lastTick = now;
    pullTables(now, actions);
    if (m_probe && !m_probe->answered && !m_probe->relayed && now >= m_probe->directDeadline) {
        requestIndirectProbes(actions);
    }
    if (m_probe && now >= m_probe->deadline) {
        finishProbe(now, actions);
    }
    if (!m_probe && now >= m_nextProbe) {
        startProbe(now, actions);
    }
    expireRelays(now, actions);
    expireSuspicions(now, actions);
    healPartitions(now, actions);
    sendGossip(actions);
    if (now >= m_nextPurge) {
        m_nextPurge = now + purgeInterval;
        m_table.purge(now, m_settings.retention);
        std::erase_if(m_unjudged, [now](const auto &entry) { return now - entry.second > unjudgedLifetime; });
    }
    return actions;
}

/** Silence during a pause says nothing of others, and the table may have missed whole dissemination periods. */
void membership::resumeAfterPause(time_point now)
{
    m_probe.reset();
    m_relays.clear();
    m_table.restartSuspicions(now);
    m_health.paused();
    m_pulls.request(now);
}

void membership::startProbe(time_point now, membership_actions &actions)
{
    m_nextProbe = now + m_settings.probeInterval;
    const auto isProbed = [this](const instance_id &id) {
        const auto *member = m_table.find(id);
        return member != nullptr && member->info.isLive();
    };
    const auto target = m_order.next(isProbed, m_random);
    if (!target) {
        return;
    }
    probe started;
    started.sequence = ++m_sequence;
    started.target = target;
    started.sentAt = now;
    started.directDeadline = now + m_settings.directTimeout * m_health.multiplier();
    started.deadline = now + m_settings.probeInterval * m_health.multiplier();
    m_probe = started;
    // A suspected member hears of the suspicion from each probe, so that it can refute at once (Lifeguard).
    const bool suspected = m_table.suspects().contains(target->id);
    const auto told = suspected ? m_table.fact(target->id, false) : std::nullopt;
    actions.datagrams.push_back(
        {target->controlAddress, makeDatagram(datagram_kind::Probe, started.sequence, target->id, told)});
}

void membership::requestIndirectProbes(membership_actions &actions)
{
    m_probe->relayed = true;
    std::vector<instance_id> asked;
    // Random draws may repeat or hit members that are gone, so a few more than needed are made.
    for (int draw = 0; draw < 4 * indirectProbes && m_probe->relays < indirectProbes; ++draw) {
        const auto relayMember = m_order.any(m_random);
        if (!relayMember) {
            return;
        }
        const auto *known = m_table.find(relayMember->id);
        const bool usable = known != nullptr && known->info.state == member_state::Alive
            && relayMember->id != m_probe->target->id
            && std::find(asked.begin(), asked.end(), relayMember->id) == asked.end();
        if (!usable) {
            continue;
        }
        asked.push_back(relayMember->id);
        ++m_probe->relays;
        auto request = makeDatagram(datagram_kind::ProbeRequest, m_probe->sequence, relayMember->id);
        request.subject = m_probe->target->id;
        request.subjectAddress = m_probe->target->controlAddress;
        actions.datagrams.push_back({relayMember->controlAddress, std::move(request)});
    }
}

void membership::finishProbe(time_point now, membership_actions &actions)
{
    const auto finished = *std::exchange(m_probe, std::nullopt);
    if (finished.answered) {
        return;
    }
    m_health.probeFailed(finished.relays);
    const auto *member = m_table.find(finished.target->id);
    if (member != nullptr && member->info.state == member_state::Alive) {
        changeState(now, finished.target->id, member_state::Suspect, actions);
        // Told at once, the member can refute before the suspicion has spread far.
        sendUnjudgedProbe(finished.target->id, finished.target->controlAddress, now, actions);
    }
}

void membership::expireSuspicions(time_point now, membership_actions &actions)
{
    if (m_table.suspects().empty() || now < m_nextSuspicionCheck) {
        return;
    }
    m_nextSuspicionCheck = now + suspicionCheckInterval;
    const auto timeout = suspicionTimeout();
    for (const auto &id : m_verifier.due(now, m_table.suspects(), timeout, fleetSize(), m_random)) {
        sendUnjudgedProbe(id, m_table.find(id)->info.description->controlAddress, now, actions);
    }
    std::vector<instance_id> expired;
    for (const auto &[id, since] : m_table.suspects()) {
        if (now - since >= timeout) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        changeState(now, id, member_state::Dead, actions);
    }
}

void membership::expireRelays(time_point now, membership_actions &actions)
{
    for (const auto &expired : m_relays.expired(now)) {
        auto nack = makeDatagram(datagram_kind::Nack, expired.sequence, expired.requester);
        nack.subject = expired.subject;
        actions.datagrams.push_back({expired.requesterAddress, std::move(nack)});
    }
}

void membership::healPartitions(time_point now, membership_actions &actions)
{
    if (const auto silent = m_healing.next(now, m_table, m_random)) {
        sendUnjudgedProbe(silent->id, silent->address, now, actions);
    }
}

void membership::sendUnjudgedProbe(const instance_id &to,
                                   const std::string &address,
                                   time_point now,
                                   membership_actions &actions)
{
    const auto sequence = ++m_sequence;
    m_unjudged.emplace(sequence, now);
    actions.datagrams.push_back({address, makeDatagram(datagram_kind::Probe, sequence, to, m_table.fact(to, false))});
}

void membership::spreadSoon()
{
    m_gossipRounds = gossipRounds;
}

void membership::sendGossip(membership_actions &actions)
{
    if (m_gossipRounds == 0) {
        return;
    }
    --m_gossipRounds;
    for (int i = 0; i < gossipFanOut; ++i) {
        const auto member = m_order.any(m_random);
        const auto *known = member ? m_table.find(member->id) : nullptr;
        if (known != nullptr && known->info.isLive()) {
            actions.datagrams.push_back({member->controlAddress, makeDatagram(datagram_kind::Gossip, 0, member->id)});
        }
    }
}

void membership::pullTables(time_point now, membership_actions &actions)
{
    if (m_pulls.isRequestDue(now)) {
        const auto address = anyOtherAddress();
        if (!address.empty()) {
            m_pulls.requested(now);
            actions.pulls.push_back({address});
        }
        return;
    }
    if (auto peer = m_pulls.divergedPeer(now, fleetSize(), m_table.records().size(), m_random)) {
        actions.pulls.push_back({std::move(*peer)});
    }
}

membership_actions membership::receive(time_point now, const peer_datagram &datagram, const std::string &source)
{
    membership_actions actions;
    const bool forOther = !datagram.to.empty() && datagram.to != m_settings.self.id;
    if (forOther || datagram.from == m_settings.self.id || datagram.from.empty()) {
        return actions;
    }
    m_table.heardFrom(now, datagram);
    m_pulls.noteDigest(datagram.tableDigest == digest(), source);
    hearHeader(now, datagram, source, actions);
    for (const auto &fact : datagram.members) {
        merge(now, fact, actions);
    }
    if (datagram.needsDescription && now >= m_nextAnnouncement) {
        m_nextAnnouncement = now + announcementSpacing;
        announceSelf(actions);
    }
    switch (datagram.kind) {
    case datagram_kind::Probe:
        answerProbe(datagram, source, actions);
        break;
    case datagram_kind::Ack:
        takeAck(now, datagram, actions);
        break;
    case datagram_kind::Nack:
        takeNack(datagram);
        break;
    case datagram_kind::ProbeRequest:
        startRelay(now, datagram, source, actions);
        break;
    case datagram_kind::Gossip:
        break;
    }
    return actions;
}

/** A higher incarnation in the header refutes a suspicion even if the fact itself was lost on its way here. */
void membership::hearHeader(time_point now,
                            const peer_datagram &datagram,
                            const std::string &source,
                            membership_actions &actions)
{
    const auto *sender = m_table.find(datagram.from);
    if (sender == nullptr || sender->info.state == member_state::Alive
        || datagram.fromIncarnation <= sender->info.incarnation) {
        return;
    }
    // From another address the sender may have another description, which only a fact can state.
    if (source == sender->info.description->controlAddress) {
        merge(now, {datagram.from, datagram.fromIncarnation, datagram.fromState, nullptr, 0}, actions);
    }
}

bool membership::mustTellSender(const peer_datagram &datagram) const
{
    const auto *sender = m_table.find(datagram.from);
    if (sender == nullptr) {
        return false;
    }
    const auto &known = sender->info;
    if (datagram.fromIncarnation < known.incarnation || known.state == member_state::Suspect
        || known.state == member_state::Dead) {
        return true;
    }
    return std::any_of(datagram.members.begin(), datagram.members.end(), [&](const member_fact &fact) {
        return fact.about == datagram.from && fact.description && fact.incarnation == known.incarnation
            && *fact.description != *known.description;
    });
}

void membership::answerProbe(const peer_datagram &datagram, const std::string &source, membership_actions &actions)
{
    const auto told = mustTellSender(datagram) ? m_table.fact(datagram.from, true) : std::nullopt;
    auto ack = makeDatagram(datagram_kind::Ack, datagram.sequence, datagram.from, told);
    const auto *sender = m_table.find(datagram.from);
    ack.needsDescription = sender == nullptr || sender->info.incarnation < datagram.fromIncarnation;
    actions.datagrams.push_back({source, std::move(ack)});
}

void membership::takeAck(time_point now, const peer_datagram &datagram, membership_actions &actions)
{
    const bool direct = datagram.subject.empty();
    if (m_probe && datagram.sequence == m_probe->sequence) {
        const auto &answerer = direct ? datagram.from : datagram.subject;
        if (answerer != m_probe->target->id || m_probe->answered) {
            return;
        }
        m_probe->answered = true;
        m_health.probeAnswered();
        if (direct) {
            actions.answeredProbeSentAt = m_probe->sentAt;
        }
        return;
    }
    if (const auto relayed = m_relays.answered(datagram.sequence, datagram.from)) {
        auto ack = makeDatagram(datagram_kind::Ack, relayed->sequence, relayed->requester);
        ack.subject = relayed->subject;
        actions.datagrams.push_back({relayed->requesterAddress, std::move(ack)});
        return;
    }
    if (const auto unjudged = m_unjudged.find(datagram.sequence); unjudged != m_unjudged.end()) {
        if (now - unjudged->second <= unjudgedLifetime) {
            actions.answeredProbeSentAt = unjudged->second;
        }
        m_unjudged.erase(unjudged);
    }
}

void membership::takeNack(const peer_datagram &datagram)
{
    if (m_probe && datagram.sequence == m_probe->sequence && m_probe->relays > 0) {
        --m_probe->relays;
    }
}

void membership::startRelay(time_point now,
                            const peer_datagram &datagram,
                            const std::string &source,
                            membership_actions &actions)
{
    if (datagram.subject.empty() || datagram.subjectAddress.empty()) {
        return;
    }
    const auto sequence = ++m_sequence;
    m_relays.start(sequence, {datagram.from, source, datagram.sequence, datagram.subject, now + relayTimeout});
    actions.datagrams.push_back(
        {datagram.subjectAddress, makeDatagram(datagram_kind::Probe, sequence, datagram.subject)});
}

membership_actions membership::tableReceived(time_point now, const std::vector<member_fact> &facts)
{
    membership_actions actions;
    m_pulls.received(now, facts.size());
    spreadMissing(facts);
    for (const auto &fact : facts) {
        if (fact.about == m_settings.self.id) {
            hearAboutSelf(fact, actions);
            continue;
        }
        // Not queued again: the peer's facts have been spread, and a whole table would fill the queue.
        const auto result = m_table.merge(now, fact);
        takeIntoOrder(result, fact);
        if (isNews(result)) {
            reportChange(fact.about, actions);
        }
    }
    return actions;
}

/** Spreads what the peer's table lacks: the push half of an exchange of tables. */
void membership::spreadMissing(const std::vector<member_fact> &facts)
{
    const auto lacked = m_table.lackedBy(facts, m_settings.self.id, m_incarnation);
    if (lacked.self) {
        m_queue.add(m_settings.self.id.str(), selfFact());
    }
    const auto count = std::min(lacked.members.size(), maxSpreadPerPull);
    std::for_each_n(lacked.members.begin(), count, [this](const instance_id &id) { spread(id); });
}

membership_actions membership::setPlatformInstances(const std::vector<listed_instance> &instances)
{
    membership_actions actions;
    std::unordered_map<instance_id, member_state> before;
    for (const auto &[id, member] : m_table.records()) {
        before.emplace(id, m_table.effectiveState(member));
    }
    std::unordered_set<instance_id> leaving;
    for (const auto &listed : instances) {
        if (listed.leaving) {
            leaving.insert(listed.description.id);
        }
    }
    m_healing.setListed(instances);
    m_table.setListedLeaving(std::move(leaving));
    for (const auto &[id, state] : before) {
        if (m_table.effectiveState(*m_table.find(id)) != state) {
            reportChange(id, actions);
        }
    }
    if (m_table.liveCount() == 0) {
        m_healing.trySoon();
    }
    return actions;
}

membership_actions membership::leave()
{
    membership_actions actions;
    ++m_incarnation;
    m_selfState = member_state::Leaving;
    announceSelf(actions);
    return actions;
}

void membership::merge(time_point now, const member_fact &fact, membership_actions &actions)
{
    if (fact.about == m_settings.self.id) {
        hearAboutSelf(fact, actions);
        return;
    }
    const auto result = m_table.merge(now, fact);
    if (!isNews(result)) {
        const auto *known = m_table.find(fact.about);
        const bool refuted = known != nullptr && known->info.state == member_state::Alive
            && fact.state != member_state::Alive && fact.incarnation < known->info.incarnation;
        // The sender missed the refutation; it is repeated, since its spread may have ended.
        if (refuted && !m_queue.contains(fact.about.str())) {
            spread(fact.about);
        }
        return;
    }
    takeIntoOrder(result, fact);
    spread(fact.about);
    reportChange(fact.about, actions);
}

void membership::takeIntoOrder(merge_result result, const member_fact &fact)
{
    if (result == merge_result::Added) {
        m_order.insert(fact.description, m_random);
    } else if (result == merge_result::Revived) {
        m_order.restore(m_table.find(fact.about)->info.description, m_random);
    }
}

void membership::hearAboutSelf(const member_fact &fact, membership_actions &actions)
{
    const bool redescribed = fact.description && *fact.description != *m_selfDescription;
    const bool wrong = fact.state != m_selfState || redescribed;
    if (fact.incarnation < m_incarnation || (fact.incarnation == m_incarnation && !wrong)) {
        return;
    }
    if (fact.state == member_state::Suspect || fact.state == member_state::Dead) {
        m_health.refuted();
    }
    m_incarnation = fact.incarnation + 1;
    announceSelf(actions);
}

void membership::announceSelf(membership_actions &actions)
{
    m_queue.add(m_settings.self.id.str(), selfFact());
    spreadSoon();
    actions.changed.push_back(self());
}

void membership::changeState(time_point now, const instance_id &id, member_state state, membership_actions &actions)
{
    if (m_table.setState(now, id, state)) {
        spread(id);
        reportChange(id, actions);
    }
}

void membership::spread(const instance_id &id)
{
    // Only a live member is worth introducing to those that do not know it.
    const bool described = m_table.find(id)->info.state == member_state::Alive;
    m_queue.add(id.str(), *m_table.fact(id, described));
}

void membership::reportChange(const instance_id &id, membership_actions &actions) const
{
    actions.changed.push_back(m_table.effectiveInfo(*m_table.find(id)));
}

peer_datagram membership::makeDatagram(datagram_kind kind,
                                       std::uint32_t sequence,
                                       const instance_id &to,
                                       const std::optional<member_fact> &first)
{
    peer_datagram datagram;
    datagram.kind = kind;
    datagram.sequence = sequence;
    datagram.from = m_settings.self.id;
    datagram.fromIncarnation = m_incarnation;
    datagram.fromState = m_selfState;
    datagram.to = to;
    datagram.configurationVersion = m_configurationVersion;
    datagram.tableDigest = digest();
    datagram.health = static_cast<std::uint8_t>(m_health.score());
    datagram.members = m_queue.take(maxFactsPerDatagram - (first ? 1 : 0), factTransmissions(fleetSize()));
    if (first) {
        datagram.members.insert(datagram.members.begin(), *first);
    }
    return datagram;
}

member_fact membership::selfFact() const
{
    return {m_settings.self.id, m_incarnation, m_selfState, m_selfDescription, m_configurationVersion};
}

std::string membership::anyOtherAddress()
{
    for (int draw = 0; draw < indirectProbes; ++draw) {
        const auto member = m_order.any(m_random);
        const auto *known = member ? m_table.find(member->id) : nullptr;
        if (known != nullptr && known->info.isLive()) {
            return member->controlAddress;
        }
    }
    const auto candidates = m_healing.candidates(m_table);
    return candidates.empty() ? std::string() : candidates[m_random() % candidates.size()].address;
}

membership_actions membership::query(time_point now, const instance_id &id)
{
    membership_actions actions;
    if (const auto *member = m_table.find(id)) {
        sendUnjudgedProbe(id, member->info.description->controlAddress, now, actions);
    }
    return actions;
}

std::vector<member_fact> membership::table() const
{
    std::vector<member_fact> facts;
    facts.reserve(m_table.records().size() + 1);
    facts.push_back(selfFact());
    for (const auto &[id, member] : m_table.records()) {
        facts.push_back(*m_table.fact(id, true));
    }
    return facts;
}

std::vector<member_info> membership::members() const
{
    std::vector<member_info> all;
    all.reserve(m_table.records().size() + 1);
    all.push_back(self());
    for (const auto &[id, member] : m_table.records()) {
        all.push_back(m_table.effectiveInfo(member));
    }
    return all;
}

member_info membership::self() const
{
    return {m_selfDescription,
            m_incarnation,
            m_selfState,
            m_configurationVersion,
            static_cast<std::uint8_t>(m_health.score())};
}

std::size_t membership::fleetSize() const
{
    return m_table.liveCount() + 1;
}

duration membership::suspicionTimeout() const
{
    const auto doublings = std::log2(static_cast<double>(fleetSize()));
    const auto scaled = static_cast<double>(m_settings.suspicionPerDoubling.ms) * doublings;
    const auto timeout = std::max(minSuspicion, duration{static_cast<std::int64_t>(scaled)});
    return timeout * m_health.multiplier();
}

std::uint32_t membership::digest() const
{
    const auto own = m_selfState == member_state::Alive ? member_table::digestOf(m_settings.self.id, m_incarnation)
                                                        : std::uint32_t{0};
    return m_table.digest() ^ own;
}

}
