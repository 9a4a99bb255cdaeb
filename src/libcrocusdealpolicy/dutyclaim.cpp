#include "dutyclaim.h"

#include <utility>

namespace crocusdeal
{

namespace
{

// The pages name a lease without its length; see docs/questions.md.
constexpr duration assumedLease{4000};
constexpr duration longestOrder{1000}; // From a claim to the last order that is sent under it.
constexpr duration standby{700}; // The holder goes first.

}

duty_claim::duty_claim(std::string self)
    : m_self(std::move(self))
{
}

void duty_claim::observe(const duty_record &record, time_point askedAt)
{
    if (m_record && record.revision <= m_record->revision) {
        return;
    }
    // The lease counts from the claim under which was ordered, not from the note that it is settled.
    const bool isNoteOfHolder =
        record.purpose == duty_purpose::Settled && m_record && m_record->holder == record.holder;
    m_record = record;
    m_changedAt = isNoteOfHolder ? m_changedAt : askedAt;
    if (m_token && record.revision > *m_token) {
        m_token.reset();
    }
}

void duty_claim::observeAbsent()
{
    m_record.reset();
    m_token.reset();
}

bool duty_claim::isHeldHere() const
{
    return m_record && m_record->holder == m_self;
}

bool duty_claim::mayClaim(time_point now, time_point troubleSince) const
{
    if (!m_record || isHeldHere()) {
        return true;
    }
    return now >= leaseEndsAt() && now - troubleSince >= standby;
}

std::optional<std::uint64_t> duty_claim::replaces() const
{
    return m_record ? std::optional(m_record->revision) : std::nullopt;
}

bool duty_claim::isOrderLeftOpen() const
{
    return m_record && m_record->purpose == duty_purpose::Order && !m_token;
}

bool duty_claim::isToBeSettled() const
{
    return m_record && m_record->purpose == duty_purpose::Order && m_token;
}

time_point duty_claim::leaseEndsAt() const
{
    const bool isForOrder = m_record && m_record->purpose != duty_purpose::Standby;
    return m_changedAt + (isForOrder ? assumedLease + longestOrder : duration{});
}

duty_purpose duty_claim::purposeInAdvance() const
{
    const bool isLeaseKept = m_record && m_record->purpose != duty_purpose::Standby;
    return isLeaseKept ? duty_purpose::Settled : duty_purpose::Standby;
}

void duty_claim::settled(std::uint64_t revision)
{
    m_record = duty_record{m_self, revision, duty_purpose::Settled};
    m_token = revision;
}

void duty_claim::claimed(std::uint64_t revision, duty_purpose purpose, time_point sentAt)
{
    m_record = duty_record{m_self, revision, purpose};
    m_changedAt = sentAt;
    m_token = revision;
    m_claimedAt = sentAt;
}

void duty_claim::refused(std::uint64_t token)
{
    if (m_token && *m_token <= token) {
        m_token.reset();
    }
}

std::optional<std::uint64_t> duty_claim::token() const
{
    return m_token;
}

bool duty_claim::isClaimStale(time_point now) const
{
    return !m_token || now - m_claimedAt > longestOrder;
}

}
