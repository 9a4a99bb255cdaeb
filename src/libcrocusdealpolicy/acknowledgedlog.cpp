#include "acknowledgedlog.h"

#include <algorithm>

namespace crocusdeal
{

void acknowledged_log::recordCommit(const position &at)
{
    m_committed = std::max(m_committed, at);
}

void acknowledged_log::recordPrimary(const target_id &primary,
                                     std::uint64_t term,
                                     const position &at,
                                     time_point askedAt)
{
    const bool isNewPrimary = m_primary != primary;
    const auto knownTerm = std::max(term, at.term);
    if (isNewPrimary && knownTerm < m_term) {
        return; // Late news of an earlier primary.
    }
    m_primary = primary;
    m_term = std::max(m_term, knownTerm);
    const bool hasEndedDoubt =
        std::erase_if(m_inDoubt, [askedAt](const auto &doubt) { return askedAt > doubt.second; }) > 0;
    if ((isNewPrimary || hasEndedDoubt || !m_covered) && askedAt > m_lostAt) {
        m_covered = at;
    }
}

void acknowledged_log::recordLostLog(const target_id &target, time_point now)
{
    if (target == m_primary) {
        return; // The others hold what it has acknowledged, and it may come back with its log.
    }
    m_lostAt = now;
    m_covered.reset();
    m_inDoubt.erase(target);
    m_seen.erase(target);
}

void acknowledged_log::recordLogInDoubt(const target_id &target, time_point now)
{
    if (target != m_primary) {
        m_inDoubt[target] = now;
    }
}

void acknowledged_log::recordLogKept(const target_id &target)
{
    m_inDoubt.erase(target);
}

const std::map<target_id, time_point> &acknowledged_log::logsInDoubt() const
{
    return m_inDoubt;
}

bool acknowledged_log::recordSeen(const target_id &target,
                                  std::uint64_t term,
                                  const position &at,
                                  time_point askedAt,
                                  time_point now)
{
    const auto found = m_seen.find(target);
    const bool isKnown = found != m_seen.end() && found->second.term == term; // A later term may cut a log back.
    if (isKnown && askedAt <= found->second.answeredAt) {
        return false; // Answers to questions that were under way together may come in any order.
    }
    const bool isShorter = isKnown && at < found->second.at;
    if (isShorter) {
        recordLostLog(target, now);
    }
    m_seen[target] = {term, at, now};
    return isShorter && target != m_primary;
}

bool acknowledged_log::isCovered(std::uint64_t newestTerm) const
{
    return m_covered && m_inDoubt.empty() && m_term >= newestTerm;
}

bool acknowledged_log::isEmpty() const
{
    return !m_primary && m_lostAt == never;
}

const position &acknowledged_log::committed() const
{
    return m_committed;
}

position acknowledged_log::required() const
{
    return m_covered ? std::max(m_committed, *m_covered) : m_committed;
}

}
