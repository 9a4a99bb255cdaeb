#pragma once

#include "clock.h"
#include "nametable.h"

#include <cstdint>
#include <optional>
#include <string>

namespace crocusdeal
{

/** What a record of the duty was written for. */
enum class duty_purpose {
    Standby, ///< To have a token in hand.
    Order, ///< To order at once; an order under it may be carried out at any time.
    Settled, ///< No order under it, or under an earlier one, can be carried out any more.
};

inline constexpr auto dutyPurposeNames = makeNameTable<duty_purpose>("standby", "order", "settled");

/** Who carries out the promotions of one service, as the metadata store has it. */
struct duty_record {
    std::string holder;
    std::uint64_t revision = 0; ///< Grows with each claim; the holder's fencing token.
    duty_purpose purpose = duty_purpose::Order;

    friend bool operator==(const duty_record &, const duty_record &) = default;
};

/**
 * When this instance may claim the duty of promoting, and with which fencing token it may act.
 *
 * Every decision is made under a claim of its own, so that a late execution of an earlier order is fenced. Another
 * instance steps in only if the record has not changed for long enough that an order under it can no longer be new.
 */
class duty_claim
{
public:
    explicit duty_claim(std::string self);

    /** The record as read, or as watched; the time counts from when it was asked for. */
    void observe(const duty_record &record, time_point askedAt);
    void observeAbsent();

    bool isHeldHere() const;
    /** Whether this instance may claim now, with trouble known since @p troubleSince. */
    bool mayClaim(time_point now, time_point troubleSince) const;
    /** The revision that a claim replaces; nothing if the record does not exist yet. */
    std::optional<std::uint64_t> replaces() const;

    /** A claim of this process was accepted. @p sentAt is when it was sent. */
    void claimed(std::uint64_t revision, duty_purpose purpose, time_point sentAt);
    /** What a claim for a token in hand has to be written for, so that the lease of an earlier order still holds. */
    duty_purpose purposeInAdvance() const;
    /** The record of this process was replaced by one that says that nothing is open. */
    void settled(std::uint64_t revision);
    /** The platform refused the token. */
    void refused(std::uint64_t token);
    /** The token to act with; nothing without a claim of this process, or after the token was refused. */
    std::optional<std::uint64_t> token() const;
    /** Whether the claim is too old to start an order under it without a new claim. */
    bool isClaimStale(time_point now) const;
    /** Whether the record is another process's, and an order under it may still be carried out. */
    bool isOrderLeftOpen() const;
    /** Whether the record is this process's and says that an order under it may be open. */
    bool isToBeSettled() const;
    /** When no order under the record can be new any more. */
    time_point leaseEndsAt() const;

private:
    std::string m_self;
    std::optional<duty_record> m_record;
    time_point m_changedAt = never;
    std::optional<std::uint64_t> m_token; ///< Of this process.
    time_point m_claimedAt = never;
};

}
