#pragma once

#include "clock.h"
#include "identifiers.h"
#include "nametable.h"
#include "position.h"
#include "replicationreport.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace crocusdeal
{

enum class promotion_reason {
    PrimaryLost, ///< The primary does not answer.
    PrimaryStalled, ///< The primary answers, but commits are not acknowledged.
    PrimaryDraining, ///< The primary is being drained: a planned change.
};

inline constexpr auto promotionReasonNames = makeNameTable<promotion_reason>("lost", "stalled", "draining");

struct promotion_member {
    target_id id;
    bool isDraining = false;
    bool isWarmingUp = false;
    bool isLocal = false;
    std::uint64_t incarnation = 0; ///< Another one under the same id holds neither the log nor the pause of before.
};

/** Actions that the caller of step() carries out: query the status of a target. */
struct query_target {
    target_id target;
};
/** Make a target stop receiving the log. */
struct pause_target {
    target_id target;
    std::uint64_t term = 0;
};
/** Let a paused target receive the log again. */
struct resume_target {
    target_id target;
};
/** Make the old primary give up its role. */
struct step_down_target {
    target_id target;
    std::uint64_t term = 0;
};
/** Read the list of targets afresh; answered by membersConfirmed() or membersUnconfirmed(). */
struct confirm_members {
};
/** Send the promotion command; its result is promotionAccepted(), promotionRefused() or promotionUnanswered(). */
struct promote_target {
    target_id target;
};
using promotion_action =
    std::variant<query_target, pause_target, resume_target, step_down_target, confirm_members, promote_target>;

enum class attempt_outcome {
    Pending,
    Promoted,
    PrimaryFound, ///< A target already answers as primary; no promotion command was sent.
    NotSafe, ///< Promoting could lose acknowledged commits, or no suitable replica was available in time.
    Refused, ///< The platform refused the fencing token or the target.
    Unanswered, ///< The promotion command may still be carried out; a newer one has to fence it.
};

inline constexpr auto attemptOutcomeNames =
    makeNameTable<attempt_outcome>("pending", "promoted", "leader_found", "not_safe", "refused", "unanswered");

/**
 * One change of the primary of a service: surveys the targets, pauses replicas, chooses the new primary, sends the
 * promotion command and waits until the chosen target answers as primary.
 *
 * With synchronous replication an acknowledged commit is on the primary and at least one replica, but it is not known
 * on which. When the primary is lost, every replica is therefore paused (stops receiving the log) before the most
 * advanced one is chosen. In a planned change every replica but the chosen one is paused instead: from then on only the
 * chosen one can acknowledge commits, so once it has caught up it holds all acknowledged commits. The old primary
 * serves until the change.
 *
 * The pauses prove nothing of targets that join, start again or come back, so the members are part of the proof: each
 * promotion command follows a list of the targets that was read after the last statuses, and the members are watched
 * until the primary has changed.
 */
class promotion_attempt
{
public:
    promotion_attempt(promotion_reason reason,
                      std::optional<target_id> oldPrimary,
                      std::vector<promotion_member> members,
                      bool hasSyncReplicas,
                      time_point now);

    /** Lets a planned change promote no other target: the one that an unanswered command may name. */
    void restrictChoice(const target_id &only);
    /** An earlier command may still take effect: the pauses stay when the attempt ends, until the end of that one. */
    void keepPauses();
    /**
     * What the new primary must hold at least, as acknowledged_log tells it; nothing if that is not known, since a log
     * is lost. Only for a primary that is replaced without its help.
     */
    void requireLog(const std::optional<position> &atLeast);
    /** Returns the actions to carry out now. Call again after each input and when wakeAt() is reached. */
    std::vector<promotion_action> step(time_point now);
    /** When to call step() next if there is no input; always later than @p now. */
    time_point wakeAt(time_point now) const;

    void statusReceived(const target_id &target,
                        const replication_report &status,
                        time_point requestedAt,
                        time_point now);
    /** The target did not answer or refused the request. */
    void statusMissing(const target_id &target, time_point now);
    /** The target's entry was removed from the metadata store. */
    void memberRemoved(const target_id &target);
    /** @p present are the targets of the service as known now; one that is missing stays a member until it is removed.
     */
    void membersChanged(const std::vector<promotion_member> &present, time_point now);
    /** The list was read after the question and passed to membersChanged(). */
    void membersConfirmed(time_point now);
    /** Another instance knows more of the members: ends the attempt, unless a promotion command is sent. */
    void membersRefused(std::string why);
    /** The list could not be read; it is asked for again. */
    void membersUnconfirmed(time_point now);
    void promotionAccepted(time_point now);
    void promotionRefused();
    /** Whether what the last statuses tell still allows the command that step() has given, if it was held up. */
    bool isPromotionSafe() const;
    /** The command was held up and not sent; the proof is made again. */
    void promotionNotSent(time_point now);
    /** The command may still be carried out; repeated with a newer fencing token while the old primary serves. */
    void promotionUnanswered(time_point now);
    /** Another instance holds the promotion lease: ends the attempt, unless the promotion command is already sent. */
    void leaseLost();

    attempt_outcome result() const;
    /** The target that was chosen for promotion, or the primary that was found. */
    const std::optional<target_id> &chosen() const;
    /** The term in which the chosen target answered as primary; 0 if it has not answered as such. */
    std::uint64_t primaryTerm() const;
    /** For the log: why this target was chosen, or why none was. */
    const std::string &explanation() const;
    promotion_reason reason() const;
    /** What the attempt knows of each member, in words for the log. */
    std::vector<std::pair<target_id, std::string>> describeMembers(time_point now) const;
    /** What the chosen target must hold, and why; for the log. */
    std::string describeProof(time_point now) const;

private:
    enum class stage { Survey, Pausing, CatchingUp, Verifying, SendingPromotion, AwaitingPromotion, Ended };

    struct member_state {
        promotion_member member;
        time_point knownSince = never; ///< This incarnation; never for those that the attempt began with.
        std::optional<replication_report> status;
        time_point requestedAt = never; ///< When the status was requested.
        time_point lastRequestAt = never;
        bool isRequestPending = false;
        bool isPauseRequired = false;
        bool wasPauseSent = false;
        bool isPaused = false;
        bool isMissing = false;
    };

    bool isPlanned() const;
    void enterStage(stage next, time_point now);
    void survey(time_point now, std::vector<promotion_action> &actions);
    /** A member, other than a primary to be replaced, that answers as primary; nullptr if there is none. */
    const member_state *answeringPrimary() const;
    void enterCatchUp(time_point now);
    void beginPausing(time_point now);
    void pauseReplicas(time_point now, std::vector<promotion_action> &actions);
    bool isLogKnown() const;
    void chooseMostAdvanced();
    void choosePlanned();
    void catchUp(time_point now, std::vector<promotion_action> &actions);
    void enterVerification(time_point now);
    /** Looks at every member once more, then at the list of the members, and sends the promotion command. */
    void verify(time_point now, std::vector<promotion_action> &actions);
    bool isPartOfProof(const member_state &state) const;
    /** Whether the chosen target holds what it has to, and every other one is paused, as far as the last statuses tell.
     */
    bool isProofInForce() const;
    bool areStatusesFrom(time_point oldest) const;
    /** Asks the members that are not paused as they have to be, and pauses them again. */
    void watchMembers(duration interval, time_point now, std::vector<promotion_action> &actions);
    /** Keeps the proof of a command that was sent in force until the primary has changed. */
    void watchUntilChanged(time_point now, std::vector<promotion_action> &actions);
    /** A command that was accepted takes the lead from it; what it acknowledges until then would be lost. */
    void watchOldPrimary(time_point now, std::vector<promotion_action> &actions);
    void pauseOrQuery(member_state &member, time_point now, std::vector<promotion_action> &actions);
    void awaitPromotion(time_point now, std::vector<promotion_action> &actions);
    void sendPromotion(time_point now, std::vector<promotion_action> &actions);
    /** Ends without a promotion; one that was commanded before may still be carried out. */
    void giveUp(std::string explanation, std::vector<promotion_action> &actions);
    void end(attempt_outcome result, std::vector<promotion_action> &actions);
    void queryStatus(member_state &member, time_point now, std::vector<promotion_action> &actions);
    member_state *find(const target_id &target);
    const member_state *find(const target_id &target) const;
    bool isSurveyComplete() const;
    bool areAllPaused() const;
    position highestPausedPosition() const;

    promotion_reason m_reason;
    std::optional<target_id> m_oldPrimary;
    std::vector<member_state> m_members;
    bool m_hasSyncReplicas;
    stage m_stage = stage::Survey;
    time_point m_startedAt;
    time_point m_stageSince;
    std::uint64_t m_highestTerm = 0;
    std::optional<position> m_requiredLog = position{};
    position m_requiredPosition; ///< What the chosen target must have received before it is promoted.
    bool m_isStepDownSent = false;
    time_point m_confirmationAskedAt = never; ///< Of the list of the members; never unless one is under way.
    time_point m_confirmationRetryAt = never;
    bool m_areMembersConfirmed = false;
    bool m_isPromotionUnanswered = false; ///< Whether the last promotion command got no answer.
    bool m_arePausesKept = false;
    bool m_hasChosenLostItsLog = false; ///< It has started again since a command that names it was sent.
    int m_promotionCommands = 0;
    std::optional<target_id> m_onlyChoice; ///< For a planned change; any target without it.
    std::optional<target_id> m_chosen;
    attempt_outcome m_result = attempt_outcome::Pending;
    std::string m_explanation;
};

}
