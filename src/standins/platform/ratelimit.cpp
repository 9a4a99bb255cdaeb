#include "ratelimit.h"

#include <algorithm>

namespace platform_standin
{

rate_limit::rate_limit(double perSecond)
    : m_perSecond(perSecond)
    , m_available(perSecond)
    , m_filled(clock::now())
{
}

bool rate_limit::take(clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    const std::chrono::duration<double> elapsed = now - m_filled;
    m_available = std::min(m_perSecond, m_available + elapsed.count() * m_perSecond);
    m_filled = now;
    if (m_available < 1) {
        return false;
    }
    m_available -= 1;
    return true;
}

}
