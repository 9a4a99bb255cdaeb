#pragma once

#include "clock.h"
#include "position.h"

#include <deque>
#include <optional>

namespace crocusdeal
{

/**
 * Samples of a service's log position, each covering every commit that was acknowledged before a known time.
 *
 * A sample comes from an answer that proves that its target was the primary. Its time is when the request was sent:
 * every commit that was acknowledged before then is at or below the position.
 */
class position_samples
{
public:
    /** @p requestedAt is the time at which the request was sent. */
    void add(position at, time_point requestedAt);
    /**
     * The lowest sampled position that covers every commit acknowledged before @p bound; nothing if no sample is recent
     * enough.
     */
    std::optional<position> covering(time_point bound) const;
    struct sample {
        position at;
        time_point requestedAt;
    };

    std::optional<sample> newest() const;
    /** By how much the log has grown each millisecond, as far as the samples go back; 0 if they do not tell. */
    double growthPerMs() const;
    /**
     * Removes all samples. Samples of a target that may no longer be the primary stay valid; those of a service that is
     * no longer tracked do not.
     */
    void clear();

private:
    std::deque<sample> m_samples; ///< Ordered by requestedAt, oldest first.
};

}
