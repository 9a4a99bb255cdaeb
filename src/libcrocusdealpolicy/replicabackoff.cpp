#include "replicabackoff.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

constexpr duration initialBackoff{150};
constexpr duration maxBackoff{1200};
constexpr int maxDoublings = 3;

}

void replica_backoff::recordLagging(time_point sentAt, time_point now)
{
    // A read that was sent before the last refusal arrived adds no information.
    if (m_lastRefusedAt != never && sentAt < m_lastRefusedAt) {
        return;
    }
    m_lastRefusedAt = now;
    m_backoffUntil =
        now + std::min(maxBackoff, initialBackoff * (std::int64_t{1} << std::min(m_consecutiveRefusals, maxDoublings)));
    ++m_consecutiveRefusals;
}

void replica_backoff::recordCaughtUp()
{
    m_consecutiveRefusals = 0;
    m_backoffUntil = never;
}

bool replica_backoff::isBackingOff(time_point now) const
{
    return now < m_backoffUntil;
}

}
