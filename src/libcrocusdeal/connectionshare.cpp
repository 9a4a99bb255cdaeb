#include "connectionshare.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

// Several round trips between data centres.
constexpr duration retryInterval{100};
constexpr int maxRetryDoublings = 3;
constexpr duration renewalInterval{1000};
constexpr duration refusedBackoff{100};
constexpr int maxRefusalDoublings = 5;

}

connection_share::connection_share(target_id target, instance_id self, std::uint64_t incarnation)
    : m_target(std::move(target))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

void connection_share::setOwner(const instance_id &owner)
{
    if (owner == m_owner) {
        return;
    }
    m_owner = owner;
    m_ledger = 0;
    m_changed = true;
}

void connection_share::setWanted(int wanted)
{
    m_changed = m_changed || wanted != m_wanted;
    m_wanted = wanted;
}

int connection_share::mostOpen(time_point now) const
{
    return now < m_loanUntil ? m_allowance : std::min(m_base, m_allowance);
}

bool connection_share::mayOpen(time_point now) const
{
    return m_open < mostOpen(now) && now >= m_refusedUntil;
}

int connection_share::attemptsToAbandon(time_point now) const
{
    const int attempts = m_open - (m_established - m_control);
    return std::clamp(m_open - mostOpen(now), 0, attempts);
}

void connection_share::onOpening()
{
    ++m_open;
}

void connection_share::onEstablished(time_point now)
{
    m_refusals = 0;
    setEstablished(m_established + 1, now);
}

void connection_share::onOpenFailed(bool refused, time_point now)
{
    m_changed = m_changed || excess() > 0;
    --m_open;
    if (refused) {
        m_refusedUntil = now + refusedBackoff * (std::int64_t(1) << m_refusals);
        m_refusals = std::min(m_refusals + 1, maxRefusalDoublings);
    }
}

void connection_share::onClosed(time_point now)
{
    // The owner waits for the excess to be closed; other changes are reported with the next renewal.
    m_changed = m_changed || excess() > 0;
    --m_open;
    setEstablished(m_established - 1, now);
}

void connection_share::setControlConnections(int count, time_point now)
{
    setEstablished(m_established + count - m_control, now);
    m_control = count;
}

void connection_share::setEstablished(int count, time_point now)
{
    rollSpan(now);
    m_established = count;
    m_leastInSpan = std::min(m_leastInSpan, count);
}

duration connection_share::reportInterval()
{
    return renewalInterval;
}

int connection_share::excess() const
{
    return std::max(0, m_open - m_allowance);
}

void connection_share::rollSpan(time_point now)
{
    if (now - m_spanStart < censusWindow) {
        return;
    }
    // After a longer gap without a change the number has been the present one all the time.
    m_leastBefore = now - m_spanStart < censusWindow * 2 ? m_leastInSpan : m_established;
    m_leastInSpan = m_established;
    m_spanStart = now;
}

bool connection_share::isReportDue(time_point now) const
{
    const auto elapsed = now - m_sentAt;
    if (m_answered < m_sequence) {
        return elapsed >= retryInterval * (std::int64_t(1) << m_retries);
    }
    return m_changed || elapsed >= renewalInterval;
}

std::optional<share_report> connection_share::poll(time_point now)
{
    if (m_owner.empty() || !isReportDue(now)) {
        return std::nullopt;
    }
    rollSpan(now);
    m_retries = m_answered < m_sequence ? std::min(m_retries + 1, maxRetryDoublings) : 0;
    m_changed = false;
    m_sentAt = now;
    ++m_sequence;
    share_report report;
    report.target = m_target;
    report.holder = m_self;
    report.incarnation = m_incarnation;
    report.sequence = m_sequence;
    report.ledger = m_ledger;
    report.seen = m_seen;
    report.allowance = m_allowance;
    report.base = m_base;
    report.open = m_open;
    report.leastEstablished = std::min(m_leastInSpan, m_leastBefore);
    report.wanted = m_wanted;
    report.round = m_round;
    return report;
}

void connection_share::onGrant(const share_grant &grant)
{
    const bool forMe = grant.holder == m_self && grant.incarnation == m_incarnation && grant.owner == m_owner;
    if (!forMe || grant.answers < m_answered) {
        return;
    }
    const bool answersLast = grant.answers == m_sequence;
    if (grant.ledger != m_ledger) {
        // Only the answer to the last report shows that the ledger is the present one.
        if (answersLast && m_answered < m_sequence) {
            m_answered = m_sequence;
            m_ledger = grant.ledger;
            m_seen = 0;
            m_round = 0;
            m_changed = true;
        }
        return;
    }
    m_answered = grant.answers;
    if (grant.round > m_round) {
        m_round = grant.round;
        m_changed = true;
    }
    if (grant.number == 0 || grant.number < m_seen) {
        return;
    }
    if (grant.number > m_seen) {
        m_seen = grant.number;
        m_base = grant.base;
        m_allowance = grant.allowance;
        m_changed = true; // The owner counts the old allowance until it knows that the new one is applied.
    }
    if (answersLast) {
        m_loanUntil = m_sentAt + loanLease;
    }
}

}
