#include "preemptionpolicy.h"

#include <algorithm>

namespace crocusdeal
{

bool isPreemptible(const preemption_traits &traits)
{
    return traits.isRead && !traits.inTransaction && !traits.isPinned && !traits.hasRequestKey && !traits.answerStarted
        && !traits.wasPreempted;
}

preemption_policy::preemption_policy(preemption_settings settings)
    : m_settings(settings)
    , m_budget(settings.budget)
{
}

bool preemption_policy::isOverrunning(duration ranFor, duration high) const
{
    return ranFor > std::max(m_settings.earliest, high * m_settings.highFactor);
}

void preemption_policy::onRequest(time_point now)
{
    m_budget.onRequest(now);
}

bool preemption_policy::tryPreempt(const preemption_traits &traits,
                                   const permit_pressure &pressure,
                                   int before,
                                   time_point now)
{
    // An owner that does not answer grants no permit for the second run either.
    const bool hasNoPermit = pressure.isDenied && pressure.longRunning > pressure.longPlaces;
    if (!isPreemptible(traits) || !hasNoPermit || before < pressure.longPlaces) {
        return false;
    }
    return m_budget.tryRetry(now);
}

}
