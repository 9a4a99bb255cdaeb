#pragma once

#include "clock.h"

namespace crocusdeal
{

/** Exponentially weighted failure rate of a target's answers; decays towards 0 while no answer comes. */
class failure_rate
{
public:
    void record(bool isFailure, time_point now);
    /** The rate at time @p now, from 0 to 1. */
    double at(time_point now) const;

private:
    double m_rate = 0;
    time_point m_recordedAt = never;
};

}
