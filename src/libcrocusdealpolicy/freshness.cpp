#include "freshness.h"

namespace crocusdeal
{

namespace
{

constexpr duration minSpacing{50};
constexpr duration retention{10000};

}

void position_samples::add(position at, time_point askedAt)
{
    if (!m_samples.empty() && askedAt < m_samples.back().askedAt) {
        return;
    }
    // Replaces the newest sample while it is less than minSpacing after its predecessor, which bounds their number.
    if (m_samples.size() >= 2 && m_samples.back().askedAt - m_samples[m_samples.size() - 2].askedAt < minSpacing) {
        m_samples.pop_back();
    }
    m_samples.push_back({at, askedAt});
    while (askedAt - m_samples.front().askedAt > retention) {
        m_samples.pop_front();
    }
}

std::optional<position> position_samples::covering(time_point bound) const
{
    for (const auto &entry : m_samples) {
        if (entry.askedAt >= bound) {
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
