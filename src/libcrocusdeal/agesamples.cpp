#include "agesamples.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

// 256 samples 250 ms apart date a replica that lags by up to 64 s.
constexpr std::size_t maxSamples = 256;
constexpr duration spacing{250};

}

void age_samples::add(time_point askedAt, position at)
{
    if (!m_samples.empty() && askedAt <= m_samples.back().askedAt) {
        return;
    }
    const auto count = m_samples.size();
    const bool crowded =
        count >= 2 && !m_samples.back().frozen && m_samples.back().askedAt - m_samples[count - 2].askedAt < spacing;
    if (crowded) {
        m_samples.pop_back();
    }
    m_samples.push_back({askedAt, at});
    if (m_samples.size() > maxSamples) {
        m_samples.pop_front();
    }
}

void age_samples::freeze(time_point currentUntil)
{
    for (auto &entry : m_samples) {
        if (!entry.frozen) {
            entry.askedAt = std::min(entry.askedAt, currentUntil);
            entry.frozen = true;
        }
    }
}

time_point age_samples::includesUntil(position at, time_point currentUntil) const
{
    const auto newest =
        std::find_if(m_samples.rbegin(), m_samples.rend(), [at](const sample &entry) { return entry.at <= at; });
    if (newest == m_samples.rend()) {
        return never;
    }
    return newest->frozen ? newest->askedAt : std::min(newest->askedAt, currentUntil);
}

std::size_t age_samples::size() const
{
    return m_samples.size();
}

}
