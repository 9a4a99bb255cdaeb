#pragma once

#include "clock.h"
#include "ratelimit.h"

#include <cstddef>
#include <deque>
#include <functional>

namespace crocusdeal
{

/** How the limit of a workspace is spent by all holders of its budget together. */
struct budget_terms {
    double perSecond = 0;
    double capacity = 0; ///< Operations that may lie in all buckets together.
    duration life; ///< Of operations that were given out, from when they were asked for.
};

/**
 * The terms by which a limit is kept: capacity + perSecond x (window + life) stays a reserve below the bound. Without
 * room for that the capacity is 0 and nothing is served.
 */
budget_terms budgetTerms(const rate_limit &limit, const rate_limit_bound &bound);

/** A part of a budget: fills at a fixed rate, and only here. It starts empty. */
class budget_bucket
{
public:
    /** What lies above a lower capacity is lost at once. */
    void setShare(double perSecond, double capacity, time_point now);
    double available(time_point now);
    /** Takes up to @p wanted; tells how much. */
    double take(double wanted, time_point now);
    /** When @p amount will be there, from now, if nothing is taken. */
    duration timeTo(double amount, time_point now);

private:
    void refill(time_point now);

    double m_perSecond = 0;
    double m_capacity = 0;
    double m_level = 0;
    time_point m_refilledAt = never;
};

/** What a holder answers. */
struct budget_answer {
    double granted = 0; ///< Operations.
    duration retryAfter; ///< When more is there, if less was granted than wanted.
};

using budget_answer_handler = std::function<void(const budget_answer &)>;

/** The part of one workspace's budget that this instance holds, and the requests that wait for it. */
class budget_part
{
public:
    /** Asks the holders of the other parts; the answer is handed to othersAnswered(). Null if there are none. */
    std::function<void(double wanted)> askOthers;

    void setShare(double perSecond, double capacity, time_point now);
    /**
     * Answers now, or when the other holders have. @p isFromHolder: of another part, which gets at most half of what is
     * here and never waits, so that two holders that are short do not wait for each other.
     */
    void serve(double wanted, bool isFromHolder, time_point now, budget_answer_handler done);
    /**
     * What came lapses with the requests that it was asked for, so that it goes to them only: put into the bucket it
     * would live for a second life.
     */
    void othersAnswered(double granted, time_point now);

    /** Nobody waits for it. */
    bool isIdle() const;

private:
    struct waiting_request {
        double wanted = 0;
        budget_answer_handler done;
    };

    budget_answer takeOwn(double wanted, time_point now);
    void askIfNeeded(time_point now);

    budget_bucket m_bucket;
    std::deque<waiting_request> m_waiting;
    std::size_t m_askedFor = 0; ///< So many of those that wait; 0 if nobody is asked.
    time_point m_vainAt = never; ///< When the other holders had nothing.
};

}
