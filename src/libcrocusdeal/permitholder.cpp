#include "permitholder.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

// A request without an answer is repeated after several round trips between data centres, then ever more slowly: only
// the answer to the last request is taken in, and a distant owner needs more time to answer it.
constexpr duration retryInterval{50};
constexpr int maxRetryDoublings = 4;
// A holder whose demand is not met asks again, because the owner only answers requests.
constexpr duration waitingInterval{20};
// Three attempts to renew before a permit becomes unusable.
constexpr int renewalsPerPeriod = 3;

}

permit_holder::permit_holder(target_id target, instance_id self, std::uint64_t incarnation)
    : m_target(std::move(target))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

void permit_holder::setOwner(const instance_id &owner)
{
    if (owner == m_owner) {
        return;
    }
    m_owner = owner;
    m_ledger = 0;
    m_denied = false;
    m_changed = true; // A new owner rebuilds its ledger from these requests, also from those without permits.
}

void permit_holder::setWanted(int wanted)
{
    wanted = std::max(0, wanted);
    m_changed = m_changed || wanted != m_wanted;
    m_wanted = wanted;
    while (held() > m_wanted) {
        m_held.erase(std::prev(m_held.end()));
        m_changed = true;
    }
    m_denied = m_denied && held() < m_wanted;
}

void permit_holder::setRunning(int running)
{
    const auto above = [this](int count) { return std::max(0, count - held()); };
    m_changed = m_changed || above(running) != above(m_running);
    m_running = running;
}

void permit_holder::onStatementFinished()
{
    if (!m_held.empty()) {
        m_held.erase(m_held.begin());
        m_changed = true;
    }
}

bool permit_holder::isRequestDue(time_point now) const
{
    const auto elapsed = now - m_sentAt;
    if (m_answered < m_sequence) {
        return elapsed >= retryInterval * (std::int64_t(1) << m_retries);
    }
    if (m_changed) {
        return true;
    }
    if (held() < m_wanted) {
        return elapsed >= waitingInterval;
    }
    return !m_held.empty() && elapsed >= m_renewedFor / renewalsPerPeriod;
}

std::optional<permit_request> permit_holder::poll(time_point now)
{
    if (m_owner.empty() || !isRequestDue(now)) {
        return std::nullopt;
    }
    m_retries = m_answered < m_sequence ? std::min(m_retries + 1, maxRetryDoublings) : 0;
    m_changed = false;
    m_sentAt = now;
    m_requested = m_wanted;
    ++m_sequence;
    return permit_request{m_target,
                          m_self,
                          m_incarnation,
                          m_sequence,
                          m_ledger,
                          m_seen,
                          {m_held.begin(), m_held.end()},
                          m_wanted,
                          m_running};
}

void permit_holder::onGrant(const permit_grant &grant)
{
    const bool forMe = grant.holder == m_self && grant.incarnation == m_incarnation && grant.owner == m_owner;
    // Only the answer to the last request tells the time it was sent, and reflects all that was released before it.
    if (!forMe || grant.answers != m_sequence || m_answered == m_sequence) {
        return;
    }
    m_answered = grant.answers;
    if (grant.ledger != m_ledger) {
        m_ledger = grant.ledger;
        m_seen = 0;
        m_changed = true;
        return;
    }
    m_renewedFor = grant.renewedFor;
    m_validUntil = m_sentAt + grant.renewedFor;
    for (const auto number : grant.granted) {
        if (number > m_seen) {
            m_held.insert({m_ledger, number});
            m_seen = number;
        }
    }
    m_denied = held() < m_requested;
    setWanted(m_wanted); // The demand may have fallen since the request.
}

bool permit_holder::isDenied(time_point now) const
{
    // A further request that is on its way changes nothing: a waiting holder sends one each waitingInterval.
    return now < m_validUntil && m_denied;
}

int permit_holder::places(time_point now) const
{
    return now < m_validUntil ? held() : 0;
}

}
