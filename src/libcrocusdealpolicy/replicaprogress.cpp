#include "replicaprogress.h"

#include <algorithm>
#include <cmath>

namespace crocusdeal
{

namespace
{

constexpr duration longestProjection{1000}; // The lag of a replica that was not heard for longer may have changed.
constexpr duration refusalTime{5000}; // For so long a refusal speaks against it.
constexpr duration longestBehind{60000};
constexpr double progressWhileLagging = 0.5; // Of the growth of the primary's log.

position grown(position from, duration time, double growthPerMs)
{
    const double offsets = std::max(0.0, static_cast<double>(time.ms) * growthPerMs);
    return {from.term, from.offset + static_cast<std::uint64_t>(offsets)};
}

}

void replica_progress::recordHeld(position held, time_point at)
{
    if (held >= m_held) {
        m_held = held;
        m_heldAt = at;
    }
}

void replica_progress::recordReported(position held, time_point at)
{
    m_reported = held;
    m_reportedAt = at;
}

void replica_progress::recordRefused(position required, position held, time_point at)
{
    m_refused = required;
    m_heldWhenRefused = held;
    m_refusedAt = at;
}

void replica_progress::forget()
{
    *this = {};
}

position replica_progress::held() const
{
    return m_held;
}

position replica_progress::heldWhenRefused() const
{
    return m_heldWhenRefused;
}

bool replica_progress::hasGrownTo(position required, time_point now, double growthPerMs) const
{
    if (m_held >= required) {
        return true;
    }
    const bool isReportNewer = m_reportedAt > m_heldAt;
    const auto from = isReportNewer ? m_reported : m_held;
    const auto seenAt = isReportNewer ? m_reportedAt : m_heldAt;
    const bool isComparable = seenAt != never && from.term == required.term;
    return isComparable && grown(from, now - seenAt, growthPerMs) >= required;
}

bool replica_progress::probablyHolds(position required, time_point now, double growthPerMs) const
{
    const bool isUnheard = m_heldAt == never || now - m_heldAt > longestProjection;
    const bool hasRefused = m_refusedAt != never && now - m_refusedAt <= refusalTime;
    return (isUnheard && !hasRefused) || hasGrownTo(required, now, growthPerMs);
}

bool replica_progress::holdsWhileLagging(position required, time_point now, double growthPerMs) const
{
    return hasGrownTo(required, now, growthPerMs * progressWhileLagging);
}

bool replica_progress::isCaughtUp(position held, time_point at, double growthPerMs) const
{
    return m_refusedAt == never || held >= grown(m_refused, at - m_refusedAt, growthPerMs);
}

duration timeBehind(position held, position required, double growthPerMs)
{
    if (held.term != required.term || held.offset >= required.offset || growthPerMs <= 0) {
        return {0};
    }
    const double ms = static_cast<double>(required.offset - held.offset) / growthPerMs;
    return {std::lround(std::min(ms, static_cast<double>(longestBehind.ms)))};
}

}
