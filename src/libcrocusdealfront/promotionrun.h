#pragma once

#include "promotionattempt.h"
#include "promotionorders.h"
#include "servicegroup.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace crocusdeal
{

/** What a promotion_run asks of the rest of the instance; all hooks are required. */
struct promotion_surroundings {
    /** Whether the store is known not to answer this instance. */
    std::function<bool()> isStoreAway;
    /** Whether the token in hand may be used while the store is away. */
    std::function<bool()> mayActWithoutStore;
    /** Whether a target whose entry is gone can be told to have left, rather than to be out of reach. */
    std::function<bool(const target_id &)> isKnownGone;
    /** Reads the list of targets afresh, which passes it to membersChanged(); tells whether it could. */
    std::function<void(std::function<void(bool)>)> refreshMembers;
    /** As refreshMembers, from what the other instances know, while the store is away; empty if they allow the change.
     */
    std::function<void(std::function<void(std::string)>)> confirmWithoutStore;
    /** What the new primary must hold, for promotion_attempt::requireLog(). */
    std::function<std::optional<position>()> requiredLog;
    std::function<void(const promotion_attempt &)> onEnded;
};

/** Carries out the actions of one promotion_attempt: asks the targets and sends orders under a claim that is in force.
 */
class promotion_run : public std::enable_shared_from_this<promotion_run>
{
public:
    promotion_run(front_context &context,
                  std::shared_ptr<service_group> group,
                  std::shared_ptr<promotion_orders> orders,
                  promotion_attempt attempt,
                  promotion_surroundings surroundings);

    void start();
    /** The lease was read: ends the attempt before its order if another instance has claimed since it began. */
    void leaseReported();
    /** The targets of the service as the directory has them now. */
    void membersChanged(const std::vector<promotion_member> &present);
    /** Ends the waits; answers that are under way still count. */
    void cancelWake();

private:
    void advance();
    void end();
    void perform(const promotion_action &action);
    void ask(const target_id &target, control_statement what, std::uint64_t term);
    void handleReply(const target_id &target, const control_reply &reply);
    void confirmMembers();
    void confirmWithoutStore();
    void order(const target_id &target);
    void renewThenOrder(const target_id &target);
    void handleRenewal(claim_result result, const target_id &target);
    void sendOrder(const target_id &target);
    /** Logs what the order is based on. */
    void tellProof(const target_id &target) const;
    void handleOrderAnswer(promotion_answer answer);

    front_context &m_context;
    std::shared_ptr<service_group> m_group;
    std::shared_ptr<promotion_orders> m_orders;
    promotion_attempt m_attempt;
    promotion_surroundings m_surroundings;
    /** What the attempt has seen counts only while nobody else has held the lease since this token was claimed. */
    std::optional<std::uint64_t> m_token;
    deadline_queue::handle m_wake = 0;
    bool m_hasOrdered = false;
    bool m_hasEnded = false;
};

}
