#include "admissionwindow.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

constexpr double narrowing = 0.5;
constexpr double growth = 0.2; // Of a permit, for as many answers as there are permits.
constexpr duration firstHold{10};
constexpr duration longestHold{40};
constexpr int longestDoubling = 2;

}

admission_window::admission_window(int most)
    : m_most(most)
    , m_allowed(most)
{
}

void admission_window::setMost(int most)
{
    const bool isWide = m_allowed >= m_most;
    m_most = most;
    m_allowed = isWide ? most : std::min(m_allowed, static_cast<double>(most));
}

void admission_window::refused(time_point sentAt, time_point now)
{
    const auto hold = std::min(longestHold, firstHold * (std::int64_t{1} << std::min(m_refusals, longestDoubling)));
    ++m_refusals;
    m_heldUntil = now + hold;
    // What was sent before the last narrowing tells nothing of the present width.
    if (m_narrowedAt != never && sentAt < m_narrowedAt) {
        return;
    }
    m_narrowedAt = now;
    m_allowed = std::max(1.0, m_allowed * narrowing);
}

void admission_window::served()
{
    m_refusals = 0;
    m_allowed = std::min(static_cast<double>(m_most), m_allowed + growth / m_allowed);
}

int admission_window::permits() const
{
    return static_cast<int>(m_allowed);
}

time_point admission_window::heldUntil() const
{
    return m_heldUntil;
}

}
