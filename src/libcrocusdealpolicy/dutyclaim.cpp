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
    m_record = record;
    m_changedAt = askedAt;
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
    const auto wait = m_record->isForOrder ? assumedLease + longestOrder : duration{};
    return now - m_changedAt >= wait && now - troubleSince >= standby;
}

std::optional<std::uint64_t> duty_claim::replaces() const
{
    return m_record ? std::optional(m_record->revision) : std::nullopt;
}

void duty_claim::claimed(std::uint64_t revision, bool isForOrder, time_point sentAt)
{
    m_record = duty_record{m_self, revision, isForOrder};
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
