#include "adaptiveconcurrencylimit.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

constexpr double decreaseFactor = 0.5;
constexpr double increaseStep = 0.2; // In permits, per as many successful answers as there are permits.
constexpr duration initialBackoff{10};
constexpr duration maxBackoff{40};
constexpr int maxDoublings = 2;

}

adaptive_concurrency_limit::adaptive_concurrency_limit(int maximum)
    : m_maximum(maximum)
    , m_limit(maximum)
{
}

void adaptive_concurrency_limit::setMaximum(int maximum)
{
    const bool isAtMaximum = m_limit >= m_maximum;
    m_maximum = maximum;
    m_limit = isAtMaximum ? maximum : std::min(m_limit, static_cast<double>(maximum));
}

void adaptive_concurrency_limit::recordBusy(time_point sentAt, time_point now)
{
    const auto backoff =
        std::min(maxBackoff, initialBackoff * (std::int64_t{1} << std::min(m_consecutiveRefusals, maxDoublings)));
    ++m_consecutiveRefusals;
    m_backoffUntil = now + backoff;
    // A statement that was sent before the last decrease says nothing about the present limit.
    if (m_decreasedAt != never && sentAt < m_decreasedAt) {
        return;
    }
    m_decreasedAt = now;
    m_limit = std::max(1.0, m_limit * decreaseFactor);
}

void adaptive_concurrency_limit::recordSuccess()
{
    m_consecutiveRefusals = 0;
    m_limit = std::min(static_cast<double>(m_maximum), m_limit + increaseStep / m_limit);
}

int adaptive_concurrency_limit::permits() const
{
    return static_cast<int>(m_limit);
}

time_point adaptive_concurrency_limit::backoffUntil() const
{
    return m_backoffUntil;
}

}
