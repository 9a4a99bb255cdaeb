#include "configurationevidence.h"

#include <algorithm>
#include <iterator>

namespace crocusdeal
{

namespace
{

// A version that was set and replaced before this instance could read it says nothing that a later one does not.
constexpr std::size_t mostStatements = 8;
// Clocks of machines differ a little in speed, and a statement travels to its target after it was let through.
constexpr int marginShare = 5; // Of the revocation time.
constexpr duration longestWatchWait{1500};
constexpr std::size_t mostRanks = 8; // Beyond, evidence would be old before the last one asks.

}

void configuration_evidence::setInForce(std::uint64_t version)
{
    m_inForce = std::max(m_inForce, version);
    m_newestKnown = std::max(m_newestKnown, version);
}

void configuration_evidence::recordReading(std::uint64_t version, time_point at)
{
    record(version, at);
}

void configuration_evidence::recordReport(const reported_configuration &report, time_point questionSentAt)
{
    // The answer was sent after the question, so this is not later than the time that the other instance means.
    const auto at = questionSentAt - std::max(report.age, duration{});
    record(report.version, at);
    if (report.version <= m_inForce) {
        m_reportedAt = std::max(m_reportedAt, at);
    }
}

void configuration_evidence::record(std::uint64_t version, time_point at)
{
    m_newestKnown = std::max(m_newestKnown, version);
    const auto next = m_statements.lower_bound(version);
    const bool isKnown = next != m_statements.end() && next->first == version && next->second >= at;
    const bool isOutdone = next != m_statements.begin() && std::prev(next)->second >= at;
    if (isKnown || isOutdone) {
        return;
    }
    auto last = next;
    while (last != m_statements.end() && last->second <= at) {
        ++last;
    }
    m_statements.erase(next, last);
    m_statements.emplace(version, at);
    if (m_statements.size() > mostStatements) {
        m_statements.erase(m_statements.begin());
    }
}

time_point configuration_evidence::currentAt() const
{
    const auto beyond = m_statements.upper_bound(m_inForce);
    return beyond == m_statements.begin() ? never : std::prev(beyond)->second;
}

time_point configuration_evidence::reportedAt() const
{
    return m_reportedAt;
}

std::uint64_t configuration_evidence::newestKnown() const
{
    return m_newestKnown;
}

std::optional<reported_configuration> configuration_evidence::report(time_point now) const
{
    if (m_statements.empty()) {
        return std::nullopt;
    }
    const auto &[version, at] = *m_statements.rbegin();
    return reported_configuration{version, now - at};
}

evidence_times evidenceTimes(duration revocationTime, std::size_t rank)
{
    evidence_times times;
    times.validFor = revocationTime - revocationTime / marginShare;
    times.watchWait = std::min(longestWatchWait, times.validFor * 3 / 8);
    const auto waiting = static_cast<std::int64_t>(std::min(rank, mostRanks));
    times.staleAfter = times.validFor * 11 / 20 + times.validFor / 40 * waiting;
    return times;
}

}
