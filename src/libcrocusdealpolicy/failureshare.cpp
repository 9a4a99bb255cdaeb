#include "failureshare.h"

#include <cmath>

namespace crocusdeal
{

namespace
{

constexpr double weight = 0.2;
constexpr double halfLifeMs = 2000; // A target that was avoided is tried again after a while.

}

void failure_share::record(bool isFailure, time_point now)
{
    m_share = at(now) * (1 - weight) + (isFailure ? weight : 0);
    m_recordedAt = now;
}

double failure_share::at(time_point now) const
{
    if (m_recordedAt == never) {
        return 0;
    }
    return m_share * std::exp2(-static_cast<double>((now - m_recordedAt).ms) / halfLifeMs);
}

}
