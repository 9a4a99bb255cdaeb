#include "databasegroup.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace crocusdeal
{

namespace
{

// Probes without an answer before the primary is suspected; with one each 250 ms, the last falls near 1 s.
constexpr int probesForSuspicion = 3;

// A single refusal may be a database that is being restarted.
constexpr int refusalsForSuspicion = 2;

// Peers exchange what they heard about once a second.
constexpr int unknownPrimaryFactor = 3;

// Weight of the newest replay rate in the average.
constexpr double rateWeight = 0.25;

int roleRank(target_role role)
{
    // Within one term a database goes from fenced to replica to primary and never back.
    return role == target_role::Fenced ? 0 : role == target_role::Replica ? 1 : 2;
}

}

database_group::database_group(group_id group, std::vector<target_address> targets, group_policy policy)
    : m_group(std::move(group))
    , m_policy(policy)
{
    setTargets(std::move(targets));
}

void database_group::setTargets(std::vector<target_address> targets)
{
    std::map<target_id, member> members;
    for (const auto &target : targets) {
        auto &entry = members[target.id];
        const auto known = m_members.find(target.id);
        if (known != m_members.end()) {
            entry = known->second;
        }
        entry.view.address = target;
    }
    m_targets = std::move(targets);
    m_members = std::move(members);
    markLeaving();
}

void database_group::setDrained(std::set<target_id> drained)
{
    m_drained = std::move(drained);
    markLeaving();
}

void database_group::setHeld(std::optional<target_id> target)
{
    m_held = std::move(target);
    markLeaving();
}

void database_group::markLeaving()
{
    for (auto &[id, entry] : m_members) {
        entry.view.leaving = m_drained.contains(id) || m_held == id;
    }
}

database_group::member *database_group::findMember(const target_id &target)
{
    const auto found = m_members.find(target);
    return found == m_members.end() ? nullptr : &found->second;
}

bool database_group::observe(const target_id &target,
                             const target_status &status,
                             time_point askedAt,
                             time_point heardAt,
                             observation_source source)
{
    auto *entry = findMember(target);
    if (entry == nullptr) {
        return false;
    }
    const bool changed = take(*entry, status, askedAt, heardAt, source);
    entry->view.upstreamTerm = std::max(entry->view.upstreamTerm, status.term);
    return changed;
}

bool database_group::observe(const target_id &target,
                             const target_state &state,
                             time_point askedAt,
                             time_point heardAt,
                             observation_source source)
{
    auto *entry = findMember(target);
    if (entry == nullptr) {
        return false;
    }
    auto status = entry->view.status.value_or(target_status());
    status.term = state.term;
    status.role = state.role;
    status.at = state.at;
    return take(*entry, status, askedAt, heardAt, source);
}

bool database_group::take(member &entry,
                          const target_status &status,
                          time_point askedAt,
                          time_point heardAt,
                          observation_source source)
{
    const auto oldTerm = m_highestTerm;
    const auto oldPrimary = primary();
    const int oldRole = entry.view.status ? roleRank(entry.view.status->role) : -1;

    if (status.term > m_highestTerm) {
        raiseTerm(status.term);
        m_termSeenAt = heardAt;
    }
    if (source == observation_source::Own) {
        entry.view.ownHeardAt = std::max(entry.view.ownHeardAt, heardAt);
    }
    entry.unansweredProbes = 0;
    if (askedAt > entry.refusedSince) {
        entry.refusals = 0;
    }
    learnReplayRate(entry, status, heardAt);
    mergeStatus(entry, status, askedAt);
    entry.view.askedAt = std::max(entry.view.askedAt, askedAt);
    entry.view.heardAt = std::max(entry.view.heardAt, heardAt);
    if (status.role == target_role::Primary && status.term == m_highestTerm) {
        m_samples.add(askedAt, status.at);
    }
    return oldTerm != m_highestTerm || oldPrimary != primary() || oldRole != roleRank(entry.view.status->role);
}

void database_group::raiseTerm(std::uint64_t term)
{
    m_samples.freeze(currentUntil());
    m_highestTerm = term;
}

// Answers overtake each other. An answer to a query sent after everything known was heard replaces it. Otherwise the
// newer term counts, and within a term the furthest position and role: a database never gives up an acknowledged write
// that it once held, so an overstated position hides none.
void database_group::mergeStatus(member &entry, const target_status &status, time_point askedAt)
{
    auto &known = entry.view.status;
    if (!known || status.term > known->term) {
        known = status;
        return;
    }
    if (status.term < known->term) {
        return;
    }
    if (askedAt >= entry.view.heardAt) {
        known = status;
        return;
    }
    const auto furthest = std::max(known->at, status.at);
    if (roleRank(status.role) >= roleRank(known->role)) {
        *known = status;
    }
    known->at = furthest;
}

// Only a replica that had something to replay tells how fast it is.
void database_group::learnReplayRate(member &entry, const target_status &status, time_point heardAt)
{
    const auto primaryId = primary();
    const auto *source = primaryId ? find(*primaryId) : nullptr;
    const auto &before = entry.view.status;
    if (source == nullptr || !before || status.role != target_role::Replica || before->term != status.term) {
        return;
    }
    const auto elapsed = (heardAt - entry.view.heardAt).ms;
    const auto &ahead = source->status->at;
    if (elapsed <= 0 || ahead <= before->at || status.at < before->at || ahead.term != before->at.term) {
        return;
    }
    const auto backlog = ahead.offset - before->at.offset;
    const auto replayed = status.at.term == before->at.term ? status.at.offset - before->at.offset : backlog;
    const auto rate = static_cast<double>(std::min(replayed, backlog)) / static_cast<double>(elapsed);
    if (replayed >= backlog) {
        // It may have caught up long before this answer: the rate is a lower bound.
        entry.view.replayRate = std::max(entry.view.replayRate, rate);
    } else {
        entry.view.replayRate += (rate - entry.view.replayRate) * rateWeight;
    }
}

void database_group::noteProbe(const target_id &target, time_point now)
{
    if (auto *entry = findMember(target); entry != nullptr) {
        entry->probedAt = now;
        ++entry->unansweredProbes;
    }
}

void database_group::noteRefused(const target_id &target, time_point now)
{
    if (auto *entry = findMember(target); entry != nullptr && entry->refusals++ == 0) {
        entry->refusedSince = now;
    }
}

void database_group::tick(time_point now)
{
    if (now - m_lastTick > m_policy.pauseGap) {
        m_watchingSince = now;
        for (auto &[id, entry] : m_members) {
            entry.unansweredProbes = 0;
            entry.refusals = 0;
        }
    }
    m_lastTick = now;
}

const group_id &database_group::id() const
{
    return m_group;
}

const group_policy &database_group::policy() const
{
    return m_policy;
}

const std::vector<target_address> &database_group::targets() const
{
    return m_targets;
}

const std::set<target_id> &database_group::drained() const
{
    return m_drained;
}

std::uint64_t database_group::highestTerm() const
{
    return m_highestTerm;
}

std::size_t database_group::majority() const
{
    return m_targets.size() / 2 + 1;
}

std::optional<target_id> database_group::primary() const
{
    for (const auto &[id, entry] : m_members) {
        const auto &status = entry.view.status;
        if (status && status->term == m_highestTerm && status->role == target_role::Primary) {
            return id;
        }
    }
    return std::nullopt;
}

const target_view *database_group::find(const target_id &target) const
{
    const auto found = m_members.find(target);
    return found == m_members.end() || !found->second.view.status ? nullptr : &found->second.view;
}

// A newer term has a primary only once a majority granted it. A database that answers with a term up to the highest
// known one had not granted a newer one when it was asked. So a majority of such answers dates the highest term.
time_point database_group::currentUntil() const
{
    std::vector<time_point> asked;
    for (const auto &[id, entry] : m_members) {
        if (entry.view.status) {
            asked.push_back(entry.view.askedAt);
        }
    }
    const auto needed = m_policy.confirmCurrentTerm ? majority() : 1;
    if (asked.size() < needed) {
        return never;
    }
    std::sort(asked.begin(), asked.end(), std::greater<>());
    return asked[needed - 1];
}

time_point database_group::lastSignOfPrimary() const
{
    const auto id = primary();
    const auto sign = id ? find(*id)->askedAt : m_termSeenAt;
    return std::max(sign, m_watchingSince);
}

// A replica that follows another database shows that there is or was a primary. An instance that never heard of it may
// have started just now without a way to it; peers are given the time to report.
duration database_group::patience() const
{
    if (primary()) {
        return m_policy.suspicionAfter;
    }
    const bool follows = std::any_of(m_members.begin(), m_members.end(), [this](const auto &entry) {
        const auto &status = entry.second.view.status;
        return status && status->term == m_highestTerm && status->role == target_role::Replica
            && !status->following.empty();
    });
    return follows ? m_policy.suspicionAfter * unknownPrimaryFactor : m_policy.suspicionAfter;
}

const database_group::member *database_group::refusingPrimary() const
{
    const auto id = primary();
    if (!id) {
        return nullptr;
    }
    const auto &entry = m_members.at(*id);
    return entry.refusals >= refusalsForSuspicion ? &entry : nullptr;
}

time_point database_group::suspectedSince() const
{
    const auto silent = lastSignOfPrimary() + patience();
    const auto *refusing = refusingPrimary();
    return refusing == nullptr ? silent : std::min(silent, refusing->refusedSince + m_policy.refusedSuspicionAfter);
}

bool database_group::primarySuspected(time_point now) const
{
    if (m_watchingSince == never || now < suspectedSince()) {
        return false;
    }
    const auto id = primary();
    if (!id || refusingPrimary() != nullptr) {
        return true;
    }
    return m_members.at(*id).unansweredProbes >= probesForSuspicion;
}

bool database_group::reachesMajority(time_point now) const
{
    const auto reached = std::count_if(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return now - entry.second.view.ownHeardAt <= m_policy.unheardLimit;
    });
    return static_cast<std::size_t>(reached) >= majority();
}

group_view_ptr database_group::view(time_point now) const
{
    auto result = std::make_shared<group_view>();
    result->group = m_group;
    result->highestTerm = m_highestTerm;
    result->primary = primary();
    result->primarySuspected = primarySuspected(now);
    result->takenAt = now;
    result->currentUntil = currentUntil();
    for (const auto &target : m_targets) {
        auto entry = m_members.at(target.id).view;
        if (entry.status) {
            entry.includesUntil = m_samples.includesUntil(entry.status->at, result->currentUntil);
        }
        result->targets.push_back(std::move(entry));
    }
    return result;
}

}
