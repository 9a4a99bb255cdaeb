#include "retrybudget.h"

#include <algorithm>

namespace crocusdeal
{

retry_budget::retry_budget(retry_budget_settings settings)
    : m_settings(settings)
    , m_tokens(settings.floorPerSecond)
{
}

void retry_budget::onRequest(time_point now)
{
    refill(now);
    m_tokens = std::min(m_settings.burst, m_tokens + m_settings.fraction);
}

bool retry_budget::tryRetry(time_point now)
{
    refill(now);
    // A fraction such as 0.1 is not exact in binary; ten times it must make one.
    if (m_tokens < 1 - 1e-9) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

/** The floor fills the bucket up to one second's worth only, so that idle time does not save up a burst. */
void retry_budget::refill(time_point now)
{
    if (m_refilledAt != never && now > m_refilledAt) {
        const auto elapsedMs = static_cast<double>((now - m_refilledAt).ms);
        const auto filled = m_tokens + m_settings.floorPerSecond * elapsedMs / 1000;
        m_tokens = std::max(m_tokens, std::min(filled, std::max(1.0, m_settings.floorPerSecond)));
    }
    m_refilledAt = std::max(m_refilledAt, now);
}

}
