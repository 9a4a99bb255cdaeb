#pragma once

#include "clock.h"

namespace crocusdeal
{

/** Bounds of the delays between attempts. */
struct backoff_settings {
    duration first{100};
    duration longest{5000};
};

/**
 * Exponential backoff with jitter.
 *
 * Each delay lies between half of the current bound and the bound, which doubles with each failure.
 */
class backoff
{
public:
    explicit backoff(backoff_settings settings);

    /** The delay before the next attempt; @p random lies within [0, 1). */
    duration next(double random);
    /** Starts again with the first delay. */
    void reset();

private:
    backoff_settings m_settings;
    duration m_bound;
};

}
