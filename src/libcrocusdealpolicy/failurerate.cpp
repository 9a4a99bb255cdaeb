#include "failurerate.h"

#include <cmath>

namespace crocusdeal
{

namespace
{

constexpr double weight = 0.2;
constexpr double halfLifeMs = 2000; // The decay makes sure that an avoided target is tried again.

}

void failure_rate::record(bool isFailure, time_point now)
{
    m_rate = at(now) * (1 - weight) + (isFailure ? weight : 0);
    m_recordedAt = now;
}

double failure_rate::at(time_point now) const
{
    if (m_recordedAt == never) {
        return 0;
    }
    return m_rate * std::exp2(-static_cast<double>((now - m_recordedAt).ms) / halfLifeMs);
}

}
