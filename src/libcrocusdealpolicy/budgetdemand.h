#pragma once

#include "clock.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace crocusdeal
{

/** Whether an operation may begin. */
struct admission {
    bool isAdmitted = false;
    time_point lapsesAt = never; ///< Of the operation's budget, if it is not begun after all.
    duration retryAfter; ///< If it was refused.
    bool isOverLimit = false; ///< Else no holder of the budget has answered.
};

using admission_handler = std::function<void(const admission &)>;

/** The budget of one workspace that this instance has been given and has not used, and the operations that wait. */
class budget_demand
{
public:
    /** Asks a holder; its answer goes to answered(), or the loss to unanswered(). */
    std::function<void(double wanted, time_point askedAt)> ask;

    /** @p done may be called at once. */
    void admit(time_point now, admission_handler done);
    /** An admitted operation was not begun. */
    void refund(time_point lapsesAt, time_point now);
    /** What was asked for at @p askedAt lapses @p life later, whenever the answer comes. */
    void answered(double wanted,
                  double granted,
                  time_point askedAt,
                  duration life,
                  duration retryAfter,
                  time_point now);
    /** No holder has answered. */
    void unanswered(double wanted, time_point now);
    /** Refuses what has waited too long, and drops what has lapsed. */
    void tick(time_point now);

    std::size_t waiting() const;
    double available(time_point now);
    /** Operations that have lapsed since the last call. */
    double takeLapsed();

private:
    struct lot {
        double amount = 0;
        time_point lapsesAt;
    };
    struct waiting_operation {
        time_point since;
        admission_handler done;
    };

    void dropLapsed(time_point now);
    void measure(time_point now);
    /** Operations to hold in stock, by the rate at which they come; 0 if few come. */
    double ahead(time_point now) const;
    /** Takes one operation; nothing if there is less. */
    std::optional<time_point> takeOne(time_point now);
    void admitWaiting(time_point now);
    void askIfNeeded(time_point now);
    void refuse(std::size_t count, const admission &refusal);

    std::deque<lot> m_lots; ///< By the time at which they lapse.
    std::deque<waiting_operation> m_waiting;
    double m_asked = 0; ///< Of requests that are not answered yet.
    double m_lapsed = 0;
    double m_perSecond = 0; ///< Measured.
    time_point m_measuredAt = never;
    time_point m_shortUntil = never; ///< The holder has nothing to store ahead.
};

}
