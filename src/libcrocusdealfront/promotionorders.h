#pragma once

#include "metadatastore.h"
#include "openorders.h"
#include "promotionlease.h"
#include "targetpool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusdeal
{

enum class claim_result {
    Claimed,
    TakenByAnother, ///< Another change of the record came first.
    StoreAway, ///< It may have been claimed, now or later.
};

inline constexpr auto claimResultNames = makeNameTable<claim_result>("claimed", "taken_by_another", "store_away");

/** Claims the promotion lease of one service, and sends orders under its fencing token. */
class promotion_orders : public std::enable_shared_from_this<promotion_orders>
{
public:
    promotion_orders(front_context &context,
                     metadata_store &store,
                     promotion_authority &authority,
                     service_id service,
                     std::string self);

    /** The record of the lease, or none, as the store has it. */
    void observe(const std::optional<promotion_lease_record> &record, time_point askedAt);
    bool isHeldHere() const;
    /** Whether the record names nobody else. */
    bool isFree() const;
    bool mayClaim(time_point now, time_point suspectedSince) const;
    /** The token to act with; nothing without a claim of this process, or after it was refused. */
    std::optional<std::uint64_t> token() const;
    bool isClaimStale(time_point now) const;
    /** Whether a claim or a fence is under way. */
    bool isBusy() const;
    /** Whether an order, of this process or of another holder, may still take effect. */
    bool isOrderOpen() const;
    bool hasOwnOrderOpen() const;
    /** Whether it is another process that may have left one. */
    bool isOrderLeftOpen() const;
    /** When no order under the record can be new any more. */
    time_point leaseEndsAt() const;
    /** What is known of the lease and of open orders, with the age of that knowledge, for the log. */
    std::string describe(time_point now) const;
    /** The target was seen to lead, by a question of @p askedAt; returns whether that has ended an order for it. */
    bool targetLeads(const target_id &target, time_point askedAt);
    /** Ends the orders whose target is gone for good; returns whether any was. */
    bool endOrdersOfGone(const std::function<bool(const target_id &)> &isGone);
    /** A target that an open order of this process, or of another holder, names. */
    std::optional<target_id> openTarget() const;
    /** Whether an open order may be carried out that has not been. */
    bool isFenceOfUse() const;

    /** For a token in hand, which allows to act while the store is away. */
    void claimInAdvance();
    /** As claimInAdvance(), for what needs that no order is open; @p done is told whether none is, as of just now. */
    void claimQuiet(std::function<void(bool)> done);
    /** Claims to act at once. */
    void claim(const char *reason, std::function<void(claim_result)> done);
    /** Claims again to order @p target, which the record names then, unless anybody has claimed since @p replaces. */
    void renew(std::optional<std::uint64_t> replaces, const target_id &target, std::function<void(claim_result)> done);
    /** Needs a token. */
    void send(const target_id &target, const std::string &why, std::function<void(promotion_answer)> done);
    /** Tells the other instances that no order is open, unless one is; @p done hears whether the record says so now. */
    void settle(std::function<void(bool)> done);
    /** As settle(), for what needs the store's word that nobody else has claimed, also if the record says so already.
     */
    void settleAndConfirm(std::function<void(bool)> done);
    /**
     * Fences what is open with a newer order that names the primary in place and so changes nothing, provided that
     * @p isStillPrimary says that it is; @p done is told whether it could. One that was carried out just before without
     * an answer still takes effect, so settle() has to wait for that.
     */
    void fence(const target_id &primary, std::function<bool()> isStillPrimary, std::function<void(bool)> done);

private:
    /** What a claim has to tell of open orders, if @p next is to be ordered under it. */
    std::optional<std::vector<target_id>> targetsForClaim(const std::optional<target_id> &next) const;
    /** @p target is the one to be ordered next, if it is known. */
    void claimForOrder(std::optional<std::uint64_t> replaces,
                       const std::optional<target_id> &target,
                       std::function<void(claim_result, const promotion_lease_update &)> done);
    bool maySettle() const;
    void writeSettled(std::function<void(bool)> done);
    void logClaim(const char *reason, const promotion_lease_update &update) const;
    void sendFence(const target_id &primary, std::function<void(bool)> done);

    front_context &m_context;
    metadata_store &m_store;
    promotion_authority &m_authority;
    service_id m_service;
    std::string m_self;
    promotion_lease m_lease;
    std::optional<target_id> m_recordedTarget; ///< The last claim names it.
    bool m_isBusy = false;
    open_orders m_open; ///< Of this process, and those that it has taken over.
};

}
