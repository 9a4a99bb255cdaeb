#pragma once

#include "clock.h"
#include "position.h"

#include <cstddef>
#include <deque>

namespace crocusdeal
{

/**
 * Samples (t, p) of the primary: every write acknowledged before t has a position up to p.
 *
 * A sample is only true up to the time before which no newer term had a primary, since a primary that was replaced
 * does not know the writes of its successor. That time grows with the answers of the other databases.
 */
class age_samples
{
public:
    /** A primary answered a query sent at @p askedAt with @p at. */
    void add(time_point askedAt, position at);

    /** The term rose: the samples so far stay true up to @p currentUntil only. */
    void freeze(time_point currentUntil);

    /** Data up to @p at includes every write acknowledged before the returned time. */
    time_point includesUntil(position at, time_point currentUntil) const;

    std::size_t size() const;

private:
    struct sample {
        time_point askedAt;
        position at;
        bool frozen = false;
    };

    std::deque<sample> m_samples;
};

}
