#pragma once

#include "clock.h"

namespace crocusdeal
{

/**
 * Backoff for sending reads to a replica that refused one because its log was behind the position that the read needs.
 *
 * Each read that a lagging replica refuses costs its caller a round trip, and a replica can lag for seconds. The
 * backoff starts short, so that a replica that lags only briefly is soon used again, and doubles with each refusal.
 */
class replica_backoff
{
public:
    /** The replica refused as lagging a read that was sent at @p sentAt. */
    void recordLagging(time_point sentAt, time_point now);
    /** The replica's log held the position that a read needed; ends the backoff. */
    void recordCaughtUp();
    bool isBackingOff(time_point now) const;

private:
    int m_consecutiveRefusals = 0;
    time_point m_lastRefusedAt = never;
    time_point m_backoffUntil = never;
};

}
