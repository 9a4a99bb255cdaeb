#include "replicalag.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

constexpr duration firstPause{150};
constexpr duration longestPause{1200};
constexpr int longestDoubling = 3;

}

void replica_lag::refused(time_point sentAt, time_point now)
{
    // What was sent before the last refusal was known tells nothing new.
    if (m_refusedAt != never && sentAt < m_refusedAt) {
        return;
    }
    m_refusedAt = now;
    m_until = now + std::min(longestPause, firstPause * (std::int64_t{1} << std::min(m_refusals, longestDoubling)));
    ++m_refusals;
}

void replica_lag::held()
{
    m_refusals = 0;
    m_until = never;
}

bool replica_lag::isLagging(time_point now) const
{
    return now < m_until;
}

}
