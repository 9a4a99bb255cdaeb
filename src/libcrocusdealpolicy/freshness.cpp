#include "freshness.h"

namespace crocusdeal
{

namespace
{

constexpr duration minSpacing{50};
constexpr duration retention{10000};
constexpr duration shortestGrowth{100}; // Over less time a single commit would count for too much.

}

void position_samples::add(position at, time_point requestedAt)
{
    if (!m_samples.empty() && requestedAt < m_samples.back().requestedAt) {
        return;
    }
    // Replaces the newest sample while it is less than minSpacing after its predecessor, which bounds their number.
    if (m_samples.size() >= 2
        && m_samples.back().requestedAt - m_samples[m_samples.size() - 2].requestedAt < minSpacing) {
        m_samples.pop_back();
    }
    m_samples.push_back({at, requestedAt});
    while (requestedAt - m_samples.front().requestedAt > retention) {
        m_samples.pop_front();
    }
}

std::optional<position> position_samples::covering(time_point bound) const
{
    for (const auto &entry : m_samples) {
        if (entry.requestedAt >= bound) {
            return entry.at;
        }
    }
    return std::nullopt;
}

std::optional<position_samples::sample> position_samples::newest() const
{
    return m_samples.empty() ? std::nullopt : std::optional(m_samples.back());
}

double position_samples::growthPerMs() const
{
    if (m_samples.empty()) {
        return 0;
    }
    const auto &first = m_samples.front();
    const auto &last = m_samples.back();
    const auto time = last.requestedAt - first.requestedAt;
    if (time < shortestGrowth || first.at.term != last.at.term || last.at <= first.at) {
        return 0;
    }
    return static_cast<double>(last.at.offset - first.at.offset) / static_cast<double>(time.ms);
}

void position_samples::clear()
{
    m_samples.clear();
}

}
