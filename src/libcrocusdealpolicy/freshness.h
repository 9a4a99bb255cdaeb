#pragma once

#include "clock.h"
#include "position.h"

#include <deque>
#include <optional>

namespace crocusdeal
{

/**
 * Positions of a service's log that cover every commit acknowledged before a known time.
 *
 * A sample is taken from an answer that proves that its target held the lead, and counts from the time the question was
 * sent: commits that were acknowledged before that time are at or below the position.
 */
class position_samples
{
public:
    /** @p askedAt is the time the question was sent. */
    void add(position at, time_point askedAt);
    /**
     * The lowest known position that covers every commit acknowledged before @p bound; nothing if no sample is young
     * enough.
     */
    std::optional<position> covering(time_point bound) const;
    /** Samples of a target that may have lost the lead meanwhile stay true; those of a forgotten service do not. */
    void clear();

private:
    struct sample {
        position at;
        time_point askedAt;
    };

    std::deque<sample> m_samples; ///< By the time they were asked, oldest first.
};

}
