#pragma once

#include "clock.h"
#include "identifiers.h"
#include "nametable.h"
#include "position.h"
#include "replicationreport.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocusdeal
{

enum class promotion_reason {
    PrimaryLost, ///< The primary does not answer.
    PrimaryStalled, ///< The primary answers, but commits are not acknowledged.
    PrimaryDraining, ///< The primary is about to leave.
};

inline constexpr auto promotionReasonNames = makeNameTable<promotion_reason>("lost", "stalled", "draining");

struct promotion_member {
    target_id id;
    bool isDraining = false;
    bool isWarmingUp = false;
    bool isLocal = false;
};

/** What the attempt asks its surroundings to do. */
struct survey_target {
    target_id target;
};
struct pause_target {
    target_id target;
    std::uint64_t term = 0;
};
struct resume_target {
    target_id target;
};
struct step_down_target {
    target_id target;
    std::uint64_t term = 0;
};
/** Order the promotion; the answer comes back through orderAccepted(), orderRefused() or orderUnanswered(). */
struct order_promotion {
    target_id target;
};
using promotion_action = std::variant<survey_target, pause_target, resume_target, step_down_target, order_promotion>;

enum class attempt_outcome {
    Pending,
    Promoted,
    LeaderFound, ///< A primary answers; nothing was ordered.
    NotSafe, ///< A replica that may hold acknowledged commits is missing.
    Refused, ///< The platform refused the fencing token or the target.
    Unanswered, ///< The order may still be carried out; a newer one has to fence it.
};

inline constexpr auto attemptOutcomeNames =
    makeNameTable<attempt_outcome>("pending", "promoted", "leader_found", "not_safe", "refused", "unanswered");

/**
 * One change of the primary of a service, from the survey of its targets to the lead of the chosen one.
 *
 * With a synchronous replica an acknowledged commit is held by the primary and at least one replica, and nobody tells
 * by which. After the primary is lost, every replica is therefore stopped from receiving before the furthest is chosen.
 * If the primary still leads, every replica but the chosen one is stopped instead: from then on only the chosen one can
 * acknowledge, so it holds all that is acknowledged once it has caught up, and the old primary serves until the change.
 */
class promotion_attempt
{
public:
    promotion_attempt(promotion_reason reason,
                      std::optional<target_id> leader,
                      std::vector<promotion_member> members,
                      bool hasSyncReplicas,
                      time_point now);

    /** What is to be done now; to be called again after each input and when wakeAt() has come. */
    std::vector<promotion_action> step(time_point now);
    /** Always later than @p now. */
    time_point wakeAt(time_point now) const;

    void statusReceived(const target_id &target, const replication_report &status, time_point askedAt, time_point now);
    /** The target did not answer, or refused. */
    void statusMissing(const target_id &target, time_point now);
    /** The target's entry is gone from the metadata store. */
    void memberGone(const target_id &target);
    void orderAccepted(time_point now);
    void orderRefused();
    /** It may be carried out at any time; while the old primary serves, the same order follows under a newer token. */
    void orderUnanswered(time_point now);
    /** Another instance holds the duty: nothing may be ordered any more, but an order that is sent is followed up. */
    void dutyLost();

    attempt_outcome result() const;
    /** The new primary, or the one that was found. */
    const std::optional<target_id> &chosen() const;
    /** The term in which the chosen target answered as primary; 0 if it has not. */
    std::uint64_t leaderTerm() const;
    /** A sentence for the log: why this target, or why none. */
    const std::string &explanation() const;
    promotion_reason reason() const;

private:
    enum class stage { Survey, Pausing, CatchingUp, Ordering, AwaitingLead, Ended };

    struct member_state {
        promotion_member member;
        std::optional<replication_report> status;
        time_point askedAt = never; ///< Of the status.
        time_point lastAsk = never;
        bool isAskPending = false;
        bool isPauseWanted = false;
        bool wasPauseSent = false;
        bool isPaused = false;
        bool isMissing = false;
    };

    bool isPlanned() const;
    void enter(stage next, time_point now);
    void survey(time_point now, std::vector<promotion_action> &actions);
    /** A member that answers as primary and is not the one to be replaced. */
    const member_state *foundLeader() const;
    void enterCatchUp(time_point now);
    void beginPausing(time_point now);
    void pauseWanted(time_point now, std::vector<promotion_action> &actions);
    void chooseFurthest();
    void choosePlanned();
    void catchUp(time_point now, std::vector<promotion_action> &actions);
    void awaitLead(time_point now, std::vector<promotion_action> &actions);
    void order(time_point now, std::vector<promotion_action> &actions);
    void end(attempt_outcome result, std::vector<promotion_action> &actions);
    void askAgain(member_state &member, time_point now, std::vector<promotion_action> &actions);
    member_state *find(const target_id &target);
    bool isSurveyComplete() const;
    bool areAllPaused() const;
    position furthestPaused() const;

    promotion_reason m_reason;
    std::optional<target_id> m_leader;
    std::vector<member_state> m_members;
    bool m_hasSyncReplicas;
    stage m_stage = stage::Survey;
    time_point m_startedAt;
    time_point m_stageSince;
    std::uint64_t m_highestTerm = 0;
    position m_needed; ///< What the chosen target has to hold before the order.
    bool m_isSteppedDown = false;
    bool m_isOrderUnanswered = false; ///< The last one.
    int m_orders = 0;
    std::optional<target_id> m_chosen;
    attempt_outcome m_result = attempt_outcome::Pending;
    std::string m_explanation;
};

}
