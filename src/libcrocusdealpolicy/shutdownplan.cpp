#include "shutdownplan.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

constexpr duration answersDueMargin{300};
constexpr duration processEndMargin{150};
constexpr duration answerTime{100}; // From the limit of a statement to the answer that tells of it.
// Callers know that a longer statement which they send later may be cut off.
constexpr duration longStatementTime{3000};
constexpr int transactionShare = 2; // Of the grace.

}

shutdown_plan::shutdown_plan(time_point beganAt, duration gracePeriod)
    : m_beganAt(beganAt)
    , m_gracePeriod(gracePeriod)
{
}

bool shutdown_plan::mayBeginStatement(time_point now, duration bound) const
{
    // With a bound beyond the end, most statements are still answered long before it.
    const bool mayTakeLong = now - m_beganAt < std::min(longStatementTime, m_gracePeriod / transactionShare);
    return mayTakeLong || now + bound + answerTime <= answersDueAt();
}

bool shutdown_plan::mayBeginTransaction(time_point now) const
{
    return !endsTransactions(now);
}

bool shutdown_plan::endsTransactions(time_point now) const
{
    return now - m_beganAt >= m_gracePeriod / transactionShare;
}

time_point shutdown_plan::answersDueAt() const
{
    return m_beganAt + (m_gracePeriod - answersDueMargin);
}

time_point shutdown_plan::processEndsAt() const
{
    return m_beganAt + (m_gracePeriod - processEndMargin);
}

}
