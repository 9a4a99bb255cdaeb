#include "freshness.h"

namespace crocusdeal
{

namespace
{

constexpr duration minSpacing{50};
constexpr duration retention{10000};

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

void position_samples::clear()
{
    m_samples.clear();
}

}
