#include "promotionlease.h"

#include <utility>

namespace crocusdeal
{

namespace
{

// The specification mentions a lease without its duration; see docs/questions.md.
constexpr duration assumedLeaseDuration{4000};
constexpr duration maxCommandDelay{1000}; // From a claim to the last promotion command sent under it.
constexpr duration standbyDelay{700}; // Other instances wait this long so that the holder can claim first.

}

promotion_lease::promotion_lease(std::string self)
    : m_self(std::move(self))
{
}

void promotion_lease::observe(const promotion_lease_record &record, time_point requestedAt)
{
    if (m_record && record.revision <= m_record->revision) {
        const bool isSame = record.revision == m_record->revision;
        if (isSame && !m_record->targets) {
            m_record->targets = record.targets; // It was heard of through another instance, which does not tell them.
        }
        return;
    }
    // The lease runs from the claim under which the promotion command was sent. Settling it does not extend it.
    const bool isSettlementByHolder =
        record.purpose == promotion_lease_purpose::Settled && m_record && m_record->holder == record.holder;
    m_record = record;
    m_changedAt = isSettlementByHolder ? m_changedAt : requestedAt;
    if (m_fencingToken && record.revision > *m_fencingToken) {
        m_fencingToken.reset();
    }
}

void promotion_lease::observeAbsent()
{
    m_record.reset();
    m_fencingToken.reset();
}

bool promotion_lease::isHeldHere() const
{
    return m_record && m_record->holder == m_self;
}

bool promotion_lease::mayClaim(time_point now, time_point suspectedSince) const
{
    if (!m_record || isHeldHere()) {
        return true;
    }
    return now >= leaseEndsAt() && now - suspectedSince >= standbyDelay;
}

std::optional<std::uint64_t> promotion_lease::currentRevision() const
{
    return m_record ? std::optional(m_record->revision) : std::nullopt;
}

bool promotion_lease::isForeignPromotionPending() const
{
    return m_record && m_record->purpose == promotion_lease_purpose::Promotion && !m_fencingToken;
}

std::optional<std::vector<target_id>> promotion_lease::targets() const
{
    return m_record ? m_record->targets : std::nullopt;
}

bool promotion_lease::isOwnPromotionPending() const
{
    return m_record && m_record->purpose == promotion_lease_purpose::Promotion && m_fencingToken;
}

time_point promotion_lease::leaseEndsAt() const
{
    const bool isLeaseInForce = m_record && m_record->purpose != promotion_lease_purpose::Standby;
    return m_changedAt + (isLeaseInForce ? assumedLeaseDuration + maxCommandDelay : duration{});
}

promotion_lease_purpose promotion_lease::purposeForAdvanceClaim() const
{
    const bool mustKeepLease = m_record && m_record->purpose != promotion_lease_purpose::Standby;
    return mustKeepLease ? promotion_lease_purpose::Settled : promotion_lease_purpose::Standby;
}

void promotion_lease::settlementAccepted(std::uint64_t revision)
{
    m_record = promotion_lease_record{m_self, revision, promotion_lease_purpose::Settled, 0, std::nullopt};
    m_fencingToken = revision;
}

std::optional<std::uint64_t> promotion_lease::openSinceForClaim(bool isOwnCommandOpen) const
{
    if (m_record && m_record->purpose == promotion_lease_purpose::Promotion) {
        return m_record->openSince == 0 ? m_record->revision : m_record->openSince;
    }
    // A command that was sent without the store was sent under no claim that tells of it.
    return isOwnCommandOpen ? std::nullopt : std::optional<std::uint64_t>(0);
}

void promotion_lease::claimAccepted(std::uint64_t revision,
                                    promotion_lease_purpose purpose,
                                    time_point sentAt,
                                    std::optional<std::uint64_t> openSince,
                                    const std::optional<std::vector<target_id>> &targets)
{
    m_record = promotion_lease_record{m_self, revision, purpose, openSince, targets};
    m_changedAt = sentAt;
    m_fencingToken = revision;
    m_claimedAt = sentAt;
}

std::string promotion_lease::describe(time_point now) const
{
    if (!m_record) {
        return "no record";
    }
    std::string text = std::string(promotionLeasePurposeNames.name(m_record->purpose)) + " of " + m_record->holder;
    text += " at " + std::to_string(m_record->revision);
    text += m_record->openSince ? ", open since " + std::to_string(*m_record->openSince) : ", open since unknown";
    return text + ", known for " + std::to_string((now - m_changedAt).ms) + " ms";
}

void promotion_lease::tokenRejected(std::uint64_t token)
{
    if (m_fencingToken && *m_fencingToken <= token) {
        m_fencingToken.reset();
    }
}

std::optional<std::uint64_t> promotion_lease::fencingToken() const
{
    return m_fencingToken;
}

bool promotion_lease::isClaimStale(time_point now) const
{
    return !m_fencingToken || now - m_claimedAt > maxCommandDelay;
}

}
