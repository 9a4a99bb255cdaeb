#pragma once

#include "clock.h"

namespace crocusdeal
{

/**
 * Backoff for sending reads to a replica that refused one because its log was behind the position that the read needs.
 *
 * Each read that a lagging replica refuses costs its caller a round trip, and a replica can lag for seconds. The
 * backoff starts short, so that a replica that lags only briefly is soon used again, and doubles with each refusal. One
 * that is behind by seconds is left alone for about as long.
 */
class replica_backoff
{
public:
    /**
     * The replica refused as lagging a read that was sent at @p sentAt, since its log was behind by @p behindBy, if
     * known. @p draw is a random number from 0 to 1, so that not all instances ask it again at the same time.
     */
    void recordLagging(time_point sentAt, time_point now, duration behindBy = {0}, double draw = 0);
    /** It refused a read of another instance at @p refusedAt, which then is the one to ask it again first. */
    void recordReported(time_point refusedAt, duration behindBy, double draw);
    /** The replica's log held the position that a read needed; ends the backoff. */
    void recordCaughtUp(time_point now = never);
    bool isBackingOff(time_point now) const;
    /** When it last refused a read of this instance; never without one, or if it has caught up since. */
    time_point lastRefusedAt() const;

private:
    duration backoffAfter(int refusals, duration behindBy) const;

    int m_consecutiveRefusals = 0;
    time_point m_lastRefusedAt = never;
    time_point m_lastReportedAt = never; ///< A refusal of a read of another instance.
    time_point m_caughtUpAt = never;
    time_point m_backoffUntil = never;
};

}
