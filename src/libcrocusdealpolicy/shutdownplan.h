#pragma once

#include "clock.h"

namespace crocusdeal
{

/**
 * What an instance may still begin after it was told to end, and by when all of it has to be answered.
 *
 * Work ends by an event, the answer to the last statement that was begun; so nothing begins whose answer may come too
 * late.
 */
class shutdown_plan
{
public:
    /** @p gracePeriod is the time from @p beganAt until the process is killed. */
    shutdown_plan(time_point beganAt, duration gracePeriod);

    /** Whether a statement that is answered within @p bound may begin. */
    bool mayBeginStatement(time_point now, duration bound) const;
    /** Whether a transaction may begin, as all that are open are rolled back soon. */
    bool mayBeginTransaction(time_point now) const;
    /** Whether open transactions are to be rolled back, each as soon as no statement of it is under way. */
    bool endsTransactions(time_point now) const;
    /** What is still under way then is told at once how far it came. */
    time_point answersDueAt() const;
    /** The last answers have been sent by then. */
    time_point processEndsAt() const;

private:
    time_point m_beganAt;
    duration m_gracePeriod;
};

}
