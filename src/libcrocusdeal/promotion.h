#pragma once

#include "controlaction.h"
#include "grouppolicy.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace crocusdeal
{

enum class promotion_step {
    Idle,
    Fencing,
    Aligning, ///< The chosen database follows the furthest one until it has its position.
    Promoting,
    Ended,
};

inline constexpr auto promotionStepNames =
    makeNameTable<promotion_step>("idle", "fencing", "aligning", "promoting", "ended");

enum class promotion_outcome {
    Promoted,
    NoMajority, ///< Too few databases granted the fence in time.
    Superseded, ///< A database already stands at a term as high as this one's.
    ResponsesLost, ///< Too many restarts.
    TargetNotReached, ///< Nothing was fenced, since the chosen database of a planned change does not answer.
};

inline constexpr auto promotionOutcomeNames =
    makeNameTable<promotion_outcome>("promoted", "no-majority", "superseded", "responses-lost", "target-not-reached");

/** Asks a database that is to catch up for its status, each tick. */
struct poll_target {
    target_id target;
};

/** The promotion is over. */
struct promotion_ended {
    promotion_outcome outcome = promotion_outcome::Promoted;
    std::uint64_t term = 0;
    target_id primary; ///< If promoted.
    std::vector<target_id> grantedBy;
    position at; ///< Of the new primary's log when it was chosen.
};

using promotion_action = std::variant<order_target, poll_target, promotion_ended>;
using promotion_actions = std::vector<promotion_action>;

/** The answer to an order, or that it was lost. */
struct order_answer {
    control_order order = control_order::Fence;
    target_id target;
    std::uint64_t term = 0;
    bool lost = false; ///< The connection failed or timed out: the order may still take effect.
    bool granted = false;
    target_status status; ///< Unless lost.
};

/**
 * One promotion: fences all databases at a new term, lets the furthest one of a granting majority become primary and
 * the others follow it.
 *
 * At each term exactly one database may be promoted, and none without a granting majority.
 */
class promotion
{
public:
    /**
     * @param members all databases of the group
     * @param leaving drained databases, which are promoted only if no other grants the fence in time
     * @param planned the database to promote; nothing for the furthest one. If it does not grant the fence or does not
     *     catch up in time, another becomes primary, since by then no database accepts writes.
     */
    promotion(std::vector<target_id> members,
              std::set<target_id> leaving,
              std::optional<target_id> planned,
              group_policy policy = {});

    /** Starts at the term above @p highestTerm. */
    promotion_actions start(std::uint64_t highestTerm, time_point now);

    promotion_actions answered(const order_answer &answer, time_point now);

    /** A status of @p target that was asked for at this promotion's term or learnt otherwise. */
    promotion_actions observed(const target_id &target, const target_status &status, time_point now);

    /** Handles time-outs. */
    promotion_actions tick(time_point now);

    promotion_step step() const;
    std::uint64_t term() const;

    /** The databases that granted the fence of the current term. */
    std::vector<target_id> grantedBy() const;

    /** The furthest position of those when one was chosen; the new primary has it. */
    position neededPosition() const;

private:
    promotion_actions beginTerm(std::uint64_t term, time_point now);
    promotion_actions restart(time_point now);
    promotion_actions end(promotion_outcome outcome);
    promotion_actions fenceAnswered(const order_answer &answer, time_point now);
    promotion_actions tryChoose(time_point now, bool timedOut);
    promotion_actions align(const target_id &upstream, time_point now);
    promotion_actions promoteChosen(time_point now);
    promotion_actions promoted();
    promotion_actions giveUpAlignment(time_point now);
    /** Whether the answer of a database is awaited that is to be promoted rather than those that granted. */
    bool awaitsPreferred() const;
    bool isAhead(position a, position b) const;
    target_id furthest() const;
    target_id choose(const target_id &furthestId) const;
    std::size_t majority() const;

    std::vector<target_id> m_members;
    std::set<target_id> m_leaving;
    std::optional<target_id> m_planned;
    group_policy m_policy;

    promotion_step m_step = promotion_step::Idle;
    std::uint64_t m_term = 0;
    bool m_refused = false;
    int m_restarts = 0;
    time_point m_stepDeadline = never;
    std::map<target_id, position> m_granted;
    std::set<target_id> m_unanswered;
    target_id m_chosen;
    position m_needed;
};

}
