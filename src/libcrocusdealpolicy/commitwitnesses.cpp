#include "commitwitnesses.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

// A command that got no answer is carried out up to 12 s later, and takes effect within one more second.
constexpr duration longestUnrecordedCommand{15000};
// A target that has started again is listed by then, in a new incarnation.
constexpr duration longestListingDelay{700};

}

void commit_witnesses::setTargets(const std::vector<listed_target> &targets, time_point now)
{
    std::map<target_id, witness_state> present;
    for (const auto &target : targets) {
        const auto known = m_targets.find(target.id);
        if (known != m_targets.end() && known->second.incarnation == target.incarnation) {
            present.emplace(target.id, known->second);
            continue;
        }
        witness_state added;
        added.incarnation = target.incarnation;
        added.listedAt = target.listedAt;
        added.isNewSinceCommand = m_unrecordedCommandAt != never;
        present.emplace(target.id, added);
    }
    m_targets = std::move(present);
    coverTargets(now);
}

void commit_witnesses::recordLease(const std::optional<promotion_lease_record> &record,
                                   std::uint64_t revision,
                                   time_point now)
{
    if (revision < m_leaseRevision) {
        return;
    }
    m_leaseRevision = revision;
    m_coveredRevision = revision;
    if (record && record->purpose == promotion_lease_purpose::Promotion) {
        // The list that a command relies on is read after its claim.
        m_coveredRevision = record->openSince == 0 ? record->revision : record->openSince.value_or(0);
    }
    coverTargets(now);
}

void commit_witnesses::coverTargets(time_point now)
{
    for (auto &[id, state] : m_targets) {
        if (state.coveredAt == never && state.listedAt <= m_coveredRevision) {
            state.coveredAt = now;
        }
    }
}

void commit_witnesses::recordUnrecordedCommand(time_point now)
{
    m_unrecordedCommandAt = now;
}

bool commit_witnesses::isWitness(const target_id &target,
                                 time_point reconnectedAt,
                                 time_point sentAt,
                                 time_point now) const
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || found->second.coveredAt == never || sentAt < found->second.coveredAt) {
        return false;
    }
    const auto &state = found->second;
    const bool mayCommandBeOpen = state.isNewSinceCommand && sentAt - m_unrecordedCommandAt < longestUnrecordedCommand;
    const bool mayHaveRestarted = reconnectedAt != never && now - reconnectedAt < longestListingDelay;
    return !mayCommandBeOpen && !mayHaveRestarted;
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
    text += state.coveredAt == never ? ", not covered"
                                     : ", covered " + std::to_string((now - state.coveredAt).ms) + " ms ago";
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
