#pragma once

#include "clock.h"

namespace crocusdeal
{

/**
 * How many statements an instance may have in flight at a target, by the target's refusals.
 *
 * Answers the load that all instances together put on one target: each goes back when the target refuses as busy and
 * grows slowly while it serves, so that work waits where it can be ordered and refused, not in the target.
 */
class admission_window
{
public:
    explicit admission_window(int most);

    void setMost(int most);
    /** The target refused a statement as busy that was sent at @p sentAt. */
    void refused(time_point sentAt, time_point now);
    void served();
    int permits() const;
    /** Until then nothing more is sent. */
    time_point heldUntil() const;

private:
    int m_most;
    double m_allowed;
    int m_refusals = 0; ///< In a row.
    time_point m_narrowedAt = never;
    time_point m_heldUntil = never;
};

}
