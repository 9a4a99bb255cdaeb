#pragma once

#include "clock.h"

namespace crocusdeal
{

/**
 * When reads are offered again to a replica that lacked the position of an earlier one.
 *
 * Answers a replica that stays behind for seconds: each read that it refuses costs its caller a round trip. The pauses
 * double, so that one that is behind for a moment is used again at once.
 */
class replica_lag
{
public:
    /** A read that was sent at @p sentAt was refused for its position. */
    void refused(time_point sentAt, time_point now);
    /** The replica held the position of a read. */
    void held();
    bool isLagging(time_point now) const;

private:
    int m_refusals = 0;
    time_point m_refusedAt = never;
    time_point m_until = never;
};

}
