#pragma once

#include "clock.h"

namespace crocusdeal
{

/**
 * Adaptive limit on the statements that this instance has in flight at one target.
 *
 * Bounds the load that all instances together put on a target: each lowers its limit when the target answers busy and
 * raises it slowly while statements succeed. Excess work then waits in the instance, where it can be ordered by
 * priority and refused, and not in the target.
 */
class adaptive_concurrency_limit
{
public:
    explicit adaptive_concurrency_limit(int maximum);

    void setMaximum(int maximum);
    /** The target refused as busy a statement that was sent at @p sentAt. */
    void recordBusy(time_point sentAt, time_point now);
    void recordSuccess();
    int permits() const;
    /** No statement is sent before this time. */
    time_point backoffUntil() const;

private:
    int m_maximum;
    double m_limit;
    int m_consecutiveRefusals = 0;
    time_point m_decreasedAt = never;
    time_point m_backoffUntil = never;
};

}
