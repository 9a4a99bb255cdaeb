#pragma once

#include "clock.h"

namespace crocusdeal
{

/** Settings of a retry budget. */
struct retry_budget_settings {
    double fraction = 0.1; ///< Retries for each live request.
    double floorPerSecond = 1; ///< Retries allowed without live traffic.
    double burst = 50; ///< Retries that may be saved up.
};

/**
 * Caps retries at a fraction of live traffic, so that retries cannot multiply the load of a failure.
 *
 * A token bucket that each live request fills by the fraction and each retry empties by one. Sources: the retry budgets
 * of Finagle (Twitter, 2016) and "Addressing Cascading Failures" in Site Reliability Engineering (Beyer et al. 2016).
 */
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings = {});

    /** A request arrived from a caller; retries do not count. */
    void onRequest(time_point now);

    /** Takes one retry from the budget; false if there is none. */
    bool tryRetry(time_point now);

private:
    void refill(time_point now);

    retry_budget_settings m_settings;
    double m_tokens;
    time_point m_refilledAt = never;
};

}
