#include "concurrencylimit.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

constexpr int defaultStart = 4;
constexpr int defaultUpperBound = 64;
// Between the two ratios the limit stays: at 1.3 the target is about to queue, at 2 half of the time is waiting.
constexpr double increaseBelow = 1.3;
constexpr double decreaseAbove = 2.0;
// Statements that were sent before a decrease still show the old ratio.
constexpr duration decreaseInterval{50};

}

concurrency_limit::concurrency_limit(concurrency_limit_settings settings)
    : m_settings(settings)
    , m_limit(share())
{
}

int concurrency_limit::share() const
{
    if (!m_settings.slots) {
        return defaultStart;
    }
    const int instances = std::max(1, m_settings.instances);
    return std::min(std::max(1, (*m_settings.slots + instances - 1) / instances) + 1, upperBound());
}

double concurrency_limit::ratioAtShare() const
{
    if (!m_settings.slots) {
        return 1;
    }
    return std::max(1.0,
                    static_cast<double>(share() * std::max(1, m_settings.instances)) / std::max(1, *m_settings.slots));
}

int concurrency_limit::upperBound() const
{
    return m_settings.slots ? std::max(1, *m_settings.slots) + 1 : defaultUpperBound;
}

void concurrency_limit::onFinished(duration ran, double baselineMs, int running, time_point now)
{
    if (baselineMs <= 0) {
        return;
    }
    m_ratios[m_count++] = static_cast<double>(ran.ms) / std::max(1.0, baselineMs);
    m_limitReached = m_limitReached || running >= m_limit;
    if (m_count == windowSize) {
        decide(now);
    }
}

void concurrency_limit::decide(time_point now)
{
    // The baseline is a lower quartile, so that the lower quartile of the ratios is 1 without contention, however
    // widely the running times vary.
    const auto quartile = m_ratios.begin() + windowSize / 4;
    std::nth_element(m_ratios.begin(), quartile, m_ratios.end());
    const bool reached = m_limitReached;
    // Up to its share an instance gives way only to more than the shares of all instances explain. Or the instances
    // that happened to lower their limits first would stay behind the others.
    const double increase = m_limit < share() ? std::max(increaseBelow, ratioAtShare()) : increaseBelow;
    const double decreaseRatio = m_limit > share() ? decreaseAbove : decreaseAbove * ratioAtShare();
    m_count = 0;
    m_limitReached = false;
    if (*quartile > decreaseRatio) {
        decrease(now);
    } else if (*quartile < increase && reached) {
        m_limit = std::min(m_limit + 1, upperBound());
    }
}

void concurrency_limit::decrease(time_point now)
{
    if (now - m_decreasedAt < decreaseInterval) {
        return;
    }
    m_decreasedAt = now;
    m_limit = std::max(1, std::min(m_limit - 1, m_limit * 3 / 4));
}

void concurrency_limit::onRefused(time_point now)
{
    m_count = 0;
    m_limitReached = false;
    decrease(now);
}

void concurrency_limit::setCapacity(concurrency_limit_settings settings)
{
    if (settings.slots != m_settings.slots) {
        *this = concurrency_limit(settings);
        return;
    }
    m_settings = settings;
}

}
