#include "commitwitnesses.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

// A command that got no answer is carried out up to 12 s later, and takes effect within one more second.
constexpr duration longestUnrecordedCommand{15000};
constexpr std::size_t mostTrustedSpans = 8; // Older connections count as opened later, which only delays a proof.

bool mayCommandBeOpen(const std::optional<promotion_lease_record> &record)
{
    return record && record->purpose == promotion_lease_purpose::Promotion;
}

}

void commit_witnesses::setTargets(const std::vector<listed_target> &targets, time_point now)
{
    std::map<target_id, witness_state> present;
    for (const auto &target : targets) {
        const auto known = m_targets.find(target.id);
        const bool isSame = known != m_targets.end() && known->second.incarnation == target.incarnation
            && known->second.listedAt == target.listedAt;
        if (isSame) {
            present.emplace(target.id, known->second).first->second.mayProveCommits = target.mayProveCommits;
            continue;
        }
        witness_state added;
        added.incarnation = target.incarnation;
        added.listedAt = target.listedAt;
        added.mayProveCommits = target.mayProveCommits;
        added.isNewSinceCommand = m_unrecordedCommandAt != never;
        present.emplace(target.id, added);
    }
    m_targets = std::move(present);
    coverTargets(now);
}

void commit_witnesses::recordLease(const std::optional<promotion_lease_record> &record,
                                   std::uint64_t revision,
                                   time_point currentSince,
                                   time_point now)
{
    if (revision < m_leaseRevision) {
        return;
    }
    m_leaseRevision = revision;
    m_coveredRevision = revision;
    m_named.clear();
    recordQuietLease(record, currentSince, now);
    if (mayCommandBeOpen(record)) {
        m_named = record->targets.value_or(std::vector<target_id>());
        // The list that a command relies on is read after its claim.
        m_coveredRevision = record->openSince == 0 ? record->revision : record->openSince.value_or(0);
    }
    coverTargets(now);
}

void commit_witnesses::recordQuietLease(const std::optional<promotion_lease_record> &record,
                                        time_point currentSince,
                                        time_point now)
{
    if (mayCommandBeOpen(record)) {
        m_quietSince = never;
        return;
    }
    // The same record again: nothing was claimed in between.
    if (m_quietSince == never || record != m_quietRecord) {
        m_quietSince = now;
        m_quietRecord = record;
    }
    if (currentSince == never) {
        return;
    }
    if (!m_trusted.empty() && m_trusted.back().since == m_quietSince) {
        m_trusted.back().openedUntil = std::max(m_trusted.back().openedUntil, currentSince);
        return;
    }
    m_trusted.push_back({currentSince, m_quietSince});
    if (m_trusted.size() > mostTrustedSpans) {
        m_trusted.erase(m_trusted.begin());
    }
}

bool commit_witnesses::isTrusted(time_point connectedAt, time_point sentAt) const
{
    return std::any_of(m_trusted.begin(), m_trusted.end(), [&](const trusted_connections &span) {
        return connectedAt <= span.openedUntil && sentAt >= span.since;
    });
}

void commit_witnesses::coverTargets(time_point now)
{
    for (auto &[id, state] : m_targets) {
        if (state.coveredAt == never && state.listedAt <= m_coveredRevision) {
            state.coveredAt = now;
        }
    }
}

const std::vector<target_id> &commit_witnesses::namedTargets() const
{
    return m_named;
}

bool commit_witnesses::isNamed(const target_id &target) const
{
    return std::find(m_named.begin(), m_named.end(), target) != m_named.end();
}

void commit_witnesses::recordUnrecordedCommand(time_point now)
{
    if (m_unrecordedCommandAt == never || now - m_unrecordedCommandAt >= longestUnrecordedCommand) {
        m_unrecordedSince = now;
    }
    m_unrecordedCommandAt = now;
}

bool commit_witnesses::isWitness(const target_id &target, time_point connectedAt, time_point sentAt) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && found->second.mayProveCommits && isKeeper(target, connectedAt, sentAt);
}

bool commit_witnesses::isKeeper(const target_id &target, time_point connectedAt, time_point sentAt) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || found->second.coveredAt == never || sentAt < found->second.coveredAt) {
        return false;
    }
    const auto &state = found->second;
    const bool isNewSinceCommand = state.isNewSinceCommand || connectedAt > m_unrecordedSince;
    const bool isOverlooked = m_unrecordedCommandAt != never && isNewSinceCommand
        && sentAt - m_unrecordedCommandAt < longestUnrecordedCommand;
    return !isOverlooked && isTrusted(connectedAt, sentAt);
}

bool commit_witnesses::isLeaseWantedFor(time_point connectedAt) const
{
    const bool isTrusted = !m_trusted.empty() && connectedAt <= m_trusted.back().openedUntil;
    return m_quietSince != never && !isTrusted;
}

std::string commit_witnesses::describe(const target_id &target, time_point now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return "not listed";
    }
    const auto &state = found->second;
    std::string text =
        "incarnation " + std::to_string(state.incarnation) + " listed at " + std::to_string(state.listedAt);
    text += ", lease known at " + std::to_string(m_leaseRevision);
    text += ", covered up to " + std::to_string(m_coveredRevision);
    text += state.mayProveCommits ? "" : ", entry missing";
    text += state.coveredAt == never ? ", not covered"
                                     : ", covered " + std::to_string((now - state.coveredAt).ms) + " ms ago";
    for (const auto &named : m_named) {
        text += ", ordered " + named.str();
    }
    text += m_trusted.empty()
        ? ", no connection trusted"
        : ", trusted if open for " + std::to_string((now - m_trusted.back().openedUntil).ms) + " ms";
    if (m_unrecordedCommandAt != never) {
        text += ", unrecorded command " + std::to_string((now - m_unrecordedCommandAt).ms) + " ms ago";
    }
    return text;
}

bool commit_witnesses::isLeaseWanted() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &target) {
        return target.second.coveredAt == never && target.second.listedAt > m_leaseRevision;
    });
}

bool holdsCommit(const position &log, const position &commit)
{
    return log.term == commit.term && log.offset >= commit.offset;
}

}
