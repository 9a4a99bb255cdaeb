#include "replicabackoff.h"

#include <algorithm>
#include <cmath>

namespace crocusdeal
{

namespace
{

constexpr duration initialBackoff{150};
constexpr duration maxBackoff{1200};
constexpr duration maxBackoffByLag{5000};
constexpr double drawShare = 0.25; // Of the backoff, at random on top.
constexpr double reportedFactor = 1.3; // Of the backoff after a refusal that another instance met.
constexpr int maxDoublings = 3;

}

namespace
{

duration scaled(duration time, double factor)
{
    return {std::llround(static_cast<double>(time.ms) * factor)};
}

}

duration replica_backoff::backoffAfter(int refusals, duration behindBy) const
{
    const auto doubled = initialBackoff * (std::int64_t{1} << std::min(refusals, maxDoublings));
    return std::max(std::min(maxBackoff, doubled), std::min(maxBackoffByLag, behindBy));
}

void replica_backoff::recordLagging(time_point sentAt, time_point now, duration behindBy, double draw)
{
    // A read that was sent before the last refusal arrived adds no information.
    if (m_lastRefusedAt != never && sentAt < m_lastRefusedAt) {
        return;
    }
    m_lastRefusedAt = now;
    const auto backoff = backoffAfter(m_consecutiveRefusals, behindBy);
    m_backoffUntil = now + scaled(backoff, 1 + draw * drawShare);
    ++m_consecutiveRefusals;
}

void replica_backoff::recordReported(time_point refusedAt, duration behindBy, double draw)
{
    if (refusedAt <= std::max({m_lastRefusedAt, m_lastReportedAt, m_caughtUpAt})) {
        return;
    }
    m_lastReportedAt = refusedAt;
    const bool isNews = !isBackingOff(refusedAt);
    const int refusals = isNews ? m_consecutiveRefusals : std::max(0, m_consecutiveRefusals - 1);
    const auto backoff = backoffAfter(refusals, behindBy);
    m_backoffUntil = std::max(m_backoffUntil, refusedAt + scaled(backoff, reportedFactor + draw * drawShare));
    m_consecutiveRefusals += isNews ? 1 : 0;
}

void replica_backoff::recordCaughtUp(time_point now)
{
    m_consecutiveRefusals = 0;
    m_backoffUntil = never;
    m_caughtUpAt = std::max(m_caughtUpAt, now);
}

bool replica_backoff::isBackingOff(time_point now) const
{
    return now < m_backoffUntil;
}

time_point replica_backoff::lastRefusedAt() const
{
    return m_lastRefusedAt > m_caughtUpAt ? m_lastRefusedAt : never;
}

}
