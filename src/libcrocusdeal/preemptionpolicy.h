#pragma once

#include "clock.h"
#include "retrybudget.h"

namespace crocusdeal
{

/** What decides whether a running request may be cancelled and run again without the caller noticing. */
struct preemption_traits {
    bool isRead = false;
    bool inTransaction = false; ///< The request is a part of an open transaction or opens one.
    bool isPinned = false; ///< The session owns its connection.
    bool hasRequestKey = false;
    bool answerStarted = false; ///< A byte of the answer has gone to the caller.
    bool wasPreempted = false;
};

/** Whether a request with @p traits may be cancelled and run again. */
bool isPreemptible(const preemption_traits &traits);

/** The long statements of this instance on one target, and the permits for them. */
struct permit_pressure {
    int longRunning = 0; ///< Statements that count as long, those that were found to be long while running included.
    int longPlaces = 0; ///< Permits held.
    bool isDenied = false; ///< The owner of the permits has answered that no further one is free.
};

/** Settings of a preemption policy. */
struct preemption_settings {
    duration earliest{50}; ///< No statement counts as overrunning before.
    int highFactor = 2; ///< An overrunning statement took longer than this many times its shape's high.
    /** A preemption wastes the slot time used until then, so it is allowed far more rarely than a retry. */
    retry_budget_settings budget{0.005, 0.02, 3};
};

/**
 * Decides when a read that runs unexpectedly long on one target gives its slot back to short work.
 *
 * A statement that overruns asks for a permit like other long work and goes on if it gets one, so that a single one
 * costs nothing. Only without a permit is it cancelled, to run again under one. On a target that is slow as a whole all
 * statements overrun; there the budget bounds what is lost.
 */
class preemption_policy
{
public:
    explicit preemption_policy(preemption_settings settings = {});

    /** Whether a statement that has run for @p ranFor took much longer than its shape's @p high allows. */
    bool isOverrunning(duration ranFor, duration high) const;

    /** A request for the target arrived from a caller; repeated ones do not count. */
    void onRequest(time_point now);

    /**
     * Whether to cancel an overrunning statement; takes it from the budget.
     *
     * @p before is the number of the instance's long statements on the target that started earlier: the oldest ones go
     * on under the permits held.
     */
    bool tryPreempt(const preemption_traits &traits, const permit_pressure &pressure, int before, time_point now);

private:
    preemption_settings m_settings;
    retry_budget m_budget;
};

}
