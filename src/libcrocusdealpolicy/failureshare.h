#pragma once

#include "clock.h"

namespace crocusdeal
{

/** The share of a target's answers that were failures, the latest counting most, and fading while none comes. */
class failure_share
{
public:
    void record(bool isFailure, time_point now);
    /** 0 to 1. */
    double at(time_point now) const;

private:
    double m_share = 0;
    time_point m_recordedAt = never;
};

}
