#pragma once

#include "clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace crocusdeal
{

/** Who carries out the promotions of one service, as the metadata store has it. */
struct duty_record {
    std::string holder;
    std::uint64_t revision = 0; ///< Grows with each claim; the holder's fencing token.
    bool isForOrder = true; ///< Claimed to act at once; otherwise only to have a token in hand.

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
    void claimed(std::uint64_t revision, bool isForOrder, time_point sentAt);
    /** The platform refused the token. */
    void refused(std::uint64_t token);
    /** The token to act with; nothing without a claim of this process, or after the token was refused. */
    std::optional<std::uint64_t> token() const;
    /** Whether the claim is too old to start an order under it without a new claim. */
    bool isClaimStale(time_point now) const;

private:
    std::string m_self;
    std::optional<duty_record> m_record;
    time_point m_changedAt = never;
    std::optional<std::uint64_t> m_token; ///< Of this process.
    time_point m_claimedAt = never;
};

}
