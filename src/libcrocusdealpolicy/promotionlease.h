#pragma once

#include "clock.h"
#include "identifiers.h"
#include "nametable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** What a record of the promotion lease was written for. */
enum class promotion_lease_purpose {
    Standby, ///< To hold a fencing token in advance, without a promotion command.
    Promotion, ///< To send a promotion command at once; the command may be carried out at any time.
    Settled, ///< No promotion command under this record or an earlier one can be carried out any more.
};

inline constexpr auto promotionLeasePurposeNames =
    makeNameTable<promotion_lease_purpose>("standby", "order", "settled");

/** Record in the metadata store that names the instance that may promote targets of one service. */
struct promotion_lease_record {
    std::string holder;
    std::uint64_t revision = 0; ///< Increases with each claim; serves as the holder's fencing token.
    promotion_lease_purpose purpose = promotion_lease_purpose::Promotion;
    /**
     * Every promotion command that may still be carried out was sent under a claim of this revision or a later one; 0
     * stands for the revision of this record, nothing for what is not known.
     */
    std::optional<std::uint64_t> openSince{};
    /**
     * The targets of every promotion command that may still take effect: each is named here before its command is sent.
     * Nothing if they are not known.
     */
    std::optional<std::vector<target_id>> targets{};

    friend bool operator==(const promotion_lease_record &, const promotion_lease_record &) = default;
};

/**
 * Tracks the promotion lease of one service: when this instance may claim it, and which fencing token it may use.
 *
 * Each promotion is decided under a new claim, so that a late execution of an earlier promotion command is fenced.
 * Another instance takes over only after the record has been unchanged for so long that no promotion command under it
 * can be recent.
 */
class promotion_lease
{
public:
    explicit promotion_lease(std::string self);

    /** The record was read, or reported by a watch. The lease runs from @p requestedAt, when the request was sent. */
    void observe(const promotion_lease_record &record, time_point requestedAt);
    /** The record does not exist. */
    void observeAbsent();

    bool isHeldHere() const;
    /** Whether this instance may claim the lease now, with a failure suspected since @p suspectedSince. */
    bool mayClaim(time_point now, time_point suspectedSince) const;
    /** The revision that the next claim has to replace; nothing if the record does not exist yet. */
    std::optional<std::uint64_t> currentRevision() const;

    /** The store accepted a claim of this process, sent at @p sentAt. */
    void claimAccepted(std::uint64_t revision,
                       promotion_lease_purpose purpose,
                       time_point sentAt,
                       std::optional<std::uint64_t> openSince = std::nullopt,
                       const std::optional<std::vector<target_id>> &targets = std::nullopt);
    /** What the next claim has to say of earlier commands; @p isOwnCommandOpen tells of those of this process. */
    std::optional<std::uint64_t> openSinceForClaim(bool isOwnCommandOpen) const;
    /**
     * The purpose to write with a claim that obtains a token in advance: Settled if a promotion command may have been
     * sent under the record, so that the lease of that command stays in force.
     */
    promotion_lease_purpose purposeForAdvanceClaim() const;
    /** The store accepted the update of this process's record that states that no promotion command is pending. */
    void settlementAccepted(std::uint64_t revision);
    /** The platform rejected @p token. */
    void tokenRejected(std::uint64_t token);
    /** The current fencing token; nothing without a claim of this process, or after the token was rejected. */
    std::optional<std::uint64_t> fencingToken() const;
    /** Whether the claim is too old for another promotion command under it; a new claim is needed. */
    bool isClaimStale(time_point now) const;
    /** Whether the record belongs to another process and a promotion command under it may still be carried out. */
    bool isForeignPromotionPending() const;
    /** The targets of the commands under the record; nothing if they are not known, or there is no record. */
    std::optional<std::vector<target_id>> targets() const;
    /** Whether the record belongs to this process and states that a promotion command under it may be pending. */
    bool isOwnPromotionPending() const;
    /** From when on no promotion command under the record can be recent. */
    time_point leaseEndsAt() const;
    /** What is known of the record, with the age of that knowledge, for the log. */
    std::string describe(time_point now) const;

private:
    std::string m_self;
    std::optional<promotion_lease_record> m_record;
    time_point m_changedAt = never;
    std::optional<std::uint64_t> m_fencingToken; ///< From a claim of this process.
    time_point m_claimedAt = never;
};

}
