#pragma once

#include "clock.h"
#include "position.h"

namespace crocusdeal
{

/** How far the log of a replica has probably come, from the last position that it was seen to hold. */
class replica_progress
{
public:
    /** Its log held @p held when it answered at @p at. */
    void recordHeld(position held, time_point at);
    /** It refused a read that needed @p required, when it held @p held. */
    void recordRefused(position required, position held, time_point at);
    /** Another instance says so; it counts until this one hears the target itself. */
    void recordReported(position held, time_point at);
    /** The target has started again. */
    void forget();

    /** The highest position that it was seen to hold. */
    position held() const;
    position heldWhenRefused() const;
    /**
     * Whether it holds @p required by now if it follows a log that grows by @p growthPerMs, or nothing speaks against
     * it: it was not heard for long, and has not refused a read lately.
     */
    bool probablyHolds(position required, time_point now, double growthPerMs) const;
    /** Whether a replica that refuses reads holds @p required all the same; it may follow more slowly. */
    bool holdsWhileLagging(position required, time_point now, double growthPerMs) const;
    /** Whether @p held, seen at @p at, would have been enough for the read that it refused last. */
    bool isCaughtUp(position held, time_point at, double growthPerMs) const;

private:
    bool hasGrownTo(position required, time_point now, double growthPerMs) const;

    position m_held;
    time_point m_heldAt = never;
    position m_reported;
    time_point m_reportedAt = never;
    position m_refused;
    position m_heldWhenRefused;
    time_point m_refusedAt = never;
};

/** By how much time @p held is behind @p required in a log that grows by @p growthPerMs; 0 if that is not known. */
duration timeBehind(position held, position required, double growthPerMs);

}
