#include "promotionattempt.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration requestInterval{60};
constexpr duration pauseRecheckInterval{400}; // Another instance may have resumed a paused target.
constexpr duration verifiedStatusAge{100}; // Statuses that are older are asked for again before the command.
constexpr duration longestVerifiedAge{1000}; // A machine that was suspended has no valid proof any more.
constexpr duration watchInterval{150}; // Of the members, from the command until the primary has changed.
constexpr duration membershipInterval{100}; // From one list of the members to the next, until then.
constexpr duration surveyTimeout{350}; // A target that answers later counts as missing in the survey.
constexpr duration plannedPauseTimeout{1200}; // After it the old primary is made to step down instead.
constexpr duration catchUpTimeout{1500};
constexpr duration missingReplicaTimeout{20000}; // How long to wait for a replica that cannot be paused.
constexpr duration promotionTimeout{4000}; // From the command until the chosen target answers as primary.
constexpr duration promotionRetryInterval{300}; // From one unanswered command to the next.
constexpr int maxPromotionCommands = 15; // With their timeouts they outlast the 12 s by which a call may be delayed.

}

promotion_attempt::promotion_attempt(promotion_reason reason,
                                     std::optional<target_id> oldPrimary,
                                     std::vector<promotion_member> members,
                                     bool hasSyncReplicas,
                                     time_point now)
    : m_reason(reason)
    , m_oldPrimary(std::move(oldPrimary))
    , m_hasSyncReplicas(hasSyncReplicas)
    , m_startedAt(now)
    , m_stageSince(now)
{
    for (auto &member : members) {
        m_members.emplace_back().member = std::move(member);
    }
}

void promotion_attempt::restrictChoice(const target_id &only)
{
    m_onlyChoice = only;
}

void promotion_attempt::keepPauses()
{
    m_arePausesKept = true;
}

void promotion_attempt::requireLog(const std::optional<position> &atLeast)
{
    m_requiredLog = atLeast;
}

std::vector<promotion_action> promotion_attempt::step(time_point now)
{
    std::vector<promotion_action> actions;
    if (m_stage != stage::Ended && m_result != attempt_outcome::Pending) {
        end(m_result, actions);
    }
    const bool isBeforePromotion = m_stage != stage::Ended && m_promotionCommands == 0;
    if (const auto *primary = isBeforePromotion ? answeringPrimary() : nullptr) {
        m_chosen = primary->member.id;
        m_explanation = "a target already answers as primary";
        end(attempt_outcome::PrimaryFound, actions);
        return actions;
    }
    if (m_stage == stage::Survey) {
        survey(now, actions);
    }
    if (m_stage == stage::Pausing) {
        pauseReplicas(now, actions);
    }
    if (m_stage == stage::CatchingUp) {
        catchUp(now, actions);
    }
    if (m_stage == stage::Verifying) {
        verify(now, actions);
    }
    if (m_stage == stage::SendingPromotion) {
        watchUntilChanged(now, actions);
    }
    if (m_stage == stage::AwaitingPromotion) {
        awaitPromotion(now, actions);
    }
    return actions;
}

time_point promotion_attempt::wakeAt(time_point now) const
{
    // Members that are no longer queried have a last request in the past, which must not cause a wake-up.
    auto next = now + requestInterval;
    for (const auto &state : m_members) {
        const auto again = state.lastRequestAt + requestInterval;
        if (!state.isRequestPending && again > now) {
            next = std::min(next, again);
        }
    }
    return next;
}

void promotion_attempt::survey(time_point now, std::vector<promotion_action> &actions)
{
    for (auto &state : m_members) {
        if (!state.status) {
            queryStatus(state, now, actions);
        }
    }
    if (isSurveyComplete() || now - m_stageSince >= surveyTimeout) {
        beginPausing(now);
    }
}

const promotion_attempt::member_state *promotion_attempt::answeringPrimary() const
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const member_state &state) {
        const bool isToBeReplaced = state.member.id == m_oldPrimary && m_reason != promotion_reason::PrimaryLost;
        return state.status && state.status->isPrimary && !isToBeReplaced;
    });
    return found == m_members.end() ? nullptr : &*found;
}

void promotion_attempt::enterStage(stage next, time_point now)
{
    m_stage = next;
    m_stageSince = now;
    // The request interval applies to repeated requests only; the first request of a stage is sent at once.
    for (auto &state : m_members) {
        state.lastRequestAt = never;
    }
}

void promotion_attempt::enterCatchUp(time_point now)
{
    enterStage(stage::CatchingUp, now);
    // A position that the old primary reported before the replicas were paused may be out of date.
    auto *oldPrimary = m_oldPrimary && isPlanned() ? find(*m_oldPrimary) : nullptr;
    if (oldPrimary != nullptr) {
        oldPrimary->status.reset();
    }
}

void promotion_attempt::beginPausing(time_point now)
{
    enterStage(stage::Pausing, now);
    if (isPlanned()) {
        choosePlanned();
    }
    const auto *oldPrimary = m_oldPrimary ? find(*m_oldPrimary) : nullptr;
    if (!isPlanned() && oldPrimary != nullptr && oldPrimary->status && !oldPrimary->status->isPrimary) {
        // It is no longer primary and may hold commits that no other target has, so it takes part like a replica.
        m_oldPrimary.reset();
    }
    for (auto &state : m_members) {
        state.isPauseRequired = state.member.id != m_oldPrimary && state.member.id != m_chosen;
    }
}

void promotion_attempt::choosePlanned()
{
    const member_state *best = nullptr;
    // An interrupted attempt may have commanded the promotion of the replica that it left unpaused, and that command
    // may still be carried out.
    const auto rank = [](const member_state &state) {
        return std::tuple(
            !state.status->isPaused(), !state.member.isWarmingUp, state.member.isLocal, state.status->received);
    };
    for (const auto &state : m_members) {
        if (state.member.id == m_oldPrimary || !state.status) {
            continue;
        }
        // The target of an open command may lead at any time, also while it drains.
        if (m_onlyChoice ? state.member.id != m_onlyChoice : state.member.isDraining) {
            continue;
        }
        if (best == nullptr || rank(state) > rank(*best)) {
            best = &state;
        }
    }
    if (best != nullptr) {
        m_chosen = best->member.id;
    }
}

void promotion_attempt::pauseReplicas(time_point now, std::vector<promotion_action> &actions)
{
    if (!isLogKnown()) {
        giveUp("a replica has left with its log, and the primary has not answered since", actions);
        return;
    }
    if (isPlanned() && !m_chosen) {
        giveUp("no replica that could take over has answered", actions);
        return;
    }
    auto *oldPrimary = m_oldPrimary ? find(*m_oldPrimary) : nullptr;
    if (m_reason == promotion_reason::PrimaryLost && oldPrimary != nullptr) {
        if (oldPrimary->status) {
            oldPrimary->isPauseRequired = true;
        } else {
            queryStatus(*oldPrimary, now, actions);
        }
    }
    watchMembers(pauseRecheckInterval, now, actions);
    if (areAllPaused() || !m_hasSyncReplicas) {
        if (!isPlanned() && m_promotionCommands == 0) {
            chooseMostAdvanced();
            if (m_chosen && m_hasSyncReplicas && m_requiredPosition < *m_requiredLog) {
                giveUp("no replica holds the acknowledged commits up to " + toString(*m_requiredLog), actions);
                return;
            }
        }
        enterCatchUp(now);
        return;
    }
    const auto waited = now - m_stageSince;
    if (isPlanned() && waited >= plannedPauseTimeout && m_oldPrimary && !m_isStepDownSent) {
        // A replica that cannot be paused may still acknowledge commits of the old primary, so the old primary has to
        // step down instead.
        m_isStepDownSent = true;
        enterCatchUp(now);
        actions.emplace_back(step_down_target{*m_oldPrimary, m_highestTerm + 1});
        return;
    }
    if (waited >= missingReplicaTimeout) {
        giveUp("a replica that may hold acknowledged commits could not be paused within 20 s", actions);
    }
}

void promotion_attempt::watchMembers(duration interval, time_point now, std::vector<promotion_action> &actions)
{
    for (auto &state : m_members) {
        if (!state.isPauseRequired || state.isRequestPending) {
            continue;
        }
        if (!state.isPaused) {
            pauseOrQuery(state, now, actions);
        } else if (now - state.lastRequestAt >= interval) {
            queryStatus(state, now, actions);
        }
    }
}

void promotion_attempt::pauseOrQuery(member_state &state, time_point now, std::vector<promotion_action> &actions)
{
    if (now - state.lastRequestAt < requestInterval) {
        return;
    }
    if (m_promotionCommands == 0 && !state.status && !state.isMissing) {
        // It has joined meanwhile, and may be the primary that has come back.
        queryStatus(state, now, actions);
        return;
    }
    state.isRequestPending = true;
    state.wasPauseSent = true;
    state.lastRequestAt = now;
    // A target refuses a pause whose term is not higher than every term that it knows.
    actions.emplace_back(pause_target{state.member.id, m_highestTerm + 1});
}

bool promotion_attempt::isLogKnown() const
{
    // In a planned change the primary itself tells how far its log goes.
    return isPlanned() || !m_hasSyncReplicas || m_requiredLog;
}

void promotion_attempt::chooseMostAdvanced()
{
    const member_state *best = nullptr;
    // The choice must not depend on the instance that makes it: unanswered promotion commands of several lease holders
    // may be carried out one after the other, and must then name the same target. Members are sorted by id.
    const auto rank = [](const member_state &state) {
        return std::tuple(state.status->received, !state.member.isDraining, !state.member.isWarmingUp);
    };
    for (const auto &state : m_members) {
        if (!state.isPauseRequired || !state.status || (m_hasSyncReplicas && !state.isPaused)) {
            continue;
        }
        if (best == nullptr || rank(state) > rank(*best)) {
            best = &state;
        }
    }
    if (best != nullptr) {
        m_chosen = best->member.id;
        m_requiredPosition = best->status->received;
    }
}

void promotion_attempt::catchUp(time_point now, std::vector<promotion_action> &actions)
{
    if (!m_chosen) {
        giveUp("no replica has answered", actions);
        return;
    }
    if (!isPlanned()) {
        enterVerification(now);
        return;
    }
    auto *oldPrimary = m_oldPrimary ? find(*m_oldPrimary) : nullptr;
    auto *chosen = find(*m_chosen);
    if (chosen == nullptr || now - m_stageSince >= catchUpTimeout) {
        giveUp("the chosen replica was removed or did not catch up within 1.5 s", actions);
        return;
    }
    // The position of the old primary counts only if it was requested after the other replicas were paused.
    const bool isOldPrimaryKnown = oldPrimary != nullptr && oldPrimary->status
        && oldPrimary->requestedAt >= m_stageSince && (!m_isStepDownSent || !oldPrimary->status->isPrimary);
    if (isOldPrimaryKnown) {
        m_requiredPosition = std::max(highestPausedPosition(), oldPrimary->status->received);
    }
    if (isOldPrimaryKnown && chosen->status && chosen->status->received >= m_requiredPosition) {
        enterVerification(now);
        return;
    }
    if (oldPrimary != nullptr && !isOldPrimaryKnown) {
        queryStatus(*oldPrimary, now, actions);
    }
    if (chosen->status && chosen->status->isPaused() && !chosen->isRequestPending) {
        // An interrupted attempt has left the replica paused.
        chosen->isRequestPending = true;
        chosen->lastRequestAt = now;
        actions.emplace_back(resume_target{m_chosen.value()});
        return;
    }
    queryStatus(*chosen, now, actions);
}

void promotion_attempt::enterVerification(time_point now)
{
    enterStage(stage::Verifying, now);
    m_confirmationAskedAt = never;
    m_areMembersConfirmed = false;
}

void promotion_attempt::verify(time_point now, std::vector<promotion_action> &actions)
{
    if (m_isPromotionUnanswered && (m_hasChosenLostItsLog || (areAllPaused() && !isProofInForce()))) {
        giveUp("the proof of a command that may still be carried out does not hold any more", actions);
        return;
    }
    if (!isProofInForce()) {
        // Somebody has joined, started again or been resumed since the pauses.
        enterStage(stage::Pausing, now);
        pauseReplicas(now, actions);
        return;
    }
    if (m_areMembersConfirmed && areStatusesFrom(now - longestVerifiedAge)) {
        sendPromotion(now, actions);
        return;
    }
    if (std::exchange(m_areMembersConfirmed, false)) {
        m_confirmationAskedAt = never; // The machine was suspended meanwhile.
    }
    if (now - m_stageSince >= (isPlanned() ? catchUpTimeout : missingReplicaTimeout)) {
        giveUp("a target that takes part in the proof does not answer any more", actions);
        return;
    }
    const bool isWaiting = m_confirmationAskedAt != never;
    const bool isQuestionDue = !isWaiting && now >= m_confirmationRetryAt;
    // One that has crashed since its pause would not answer any more.
    const auto oldest = std::max(m_stageSince, now - (isWaiting ? pauseRecheckInterval : verifiedStatusAge));
    if (isQuestionDue && areStatusesFrom(oldest)) {
        m_confirmationAskedAt = now;
        actions.emplace_back(confirm_members{});
        return;
    }
    for (auto &state : m_members) {
        if (isPartOfProof(state) && state.requestedAt < oldest) {
            queryStatus(state, now, actions);
        }
    }
}

bool promotion_attempt::isPartOfProof(const member_state &state) const
{
    // A primary that has stepped down acknowledges nothing, whoever receives from it.
    const bool isPauseProof = state.isPauseRequired && m_hasSyncReplicas && !m_isStepDownSent;
    return isPauseProof || state.member.id == m_chosen;
}

bool promotion_attempt::isProofInForce() const
{
    const auto *chosen = m_chosen ? find(*m_chosen) : nullptr;
    if (chosen == nullptr || !chosen->status || chosen->status->received < m_requiredPosition) {
        return false;
    }
    const bool isLogHeld =
        isPlanned() || !m_hasSyncReplicas || (m_requiredLog && chosen->status->received >= *m_requiredLog);
    return isLogHeld && (areAllPaused() || !m_hasSyncReplicas || m_isStepDownSent);
}

bool promotion_attempt::areStatusesFrom(time_point oldest) const
{
    return std::all_of(m_members.begin(), m_members.end(), [&](const member_state &state) {
        return !isPartOfProof(state) || state.requestedAt >= oldest;
    });
}

void promotion_attempt::sendPromotion(time_point now, std::vector<promotion_action> &actions)
{
    enterStage(stage::SendingPromotion, now);
    ++m_promotionCommands;
    m_explanation = "has received the log up to " + toString(m_requiredPosition);
    actions.emplace_back(promote_target{*m_chosen});
}

void promotion_attempt::awaitPromotion(time_point now, std::vector<promotion_action> &actions)
{
    auto *chosen = find(*m_chosen);
    if (chosen != nullptr && chosen->status && chosen->status->isPrimary && chosen->requestedAt >= m_stageSince) {
        end(attempt_outcome::Promoted, actions);
        return;
    }
    if (m_isPromotionUnanswered && m_hasChosenLostItsLog) {
        m_explanation = "the chosen target has started again, and the command that names it may still be carried out";
        end(attempt_outcome::Unanswered, actions);
        return;
    }
    if (m_isPromotionUnanswered && answeringPrimary() != nullptr) {
        m_explanation = "a primary answers again before the command was carried out";
        end(attempt_outcome::Unanswered, actions);
        return;
    }
    // While the old primary serves, ending the pauses would let other replicas acknowledge commits, and a command that
    // is carried out late would then lose them. The attempt therefore keeps the pauses and repeats the command.
    const bool isToBeRepeated = m_isPromotionUnanswered && m_reason != promotion_reason::PrimaryLost
        && m_promotionCommands < maxPromotionCommands;
    if (chosen != nullptr && isToBeRepeated && now - m_stageSince >= promotionRetryInterval) {
        enterVerification(now);
        verify(now, actions);
        return;
    }
    if (chosen == nullptr || now - m_stageSince >= promotionTimeout) {
        m_explanation = "the chosen target was removed or did not become primary within 4 s";
        end(attempt_outcome::Unanswered, actions);
        return;
    }
    watchUntilChanged(now, actions);
    queryStatus(*chosen, now, actions);
}

void promotion_attempt::watchUntilChanged(time_point now, std::vector<promotion_action> &actions)
{
    // A target that joins or starts again now acknowledges commits that the chosen one may not receive in time.
    watchMembers(watchInterval, now, actions);
    if (m_reason == promotion_reason::PrimaryLost) {
        watchOldPrimary(now, actions);
    }
    if (now - m_confirmationAskedAt >= membershipInterval) {
        m_confirmationAskedAt = now;
        actions.emplace_back(confirm_members{});
    }
}

void promotion_attempt::watchOldPrimary(time_point now, std::vector<promotion_action> &actions)
{
    // One that meets a command without an answer goes on serving; the command is fenced once this attempt has ended.
    for (auto &state : m_members) {
        const bool isLeading = state.member.id != m_chosen && state.status && state.status->isPrimary;
        if (!isLeading || m_isPromotionUnanswered || state.isRequestPending
            || now - state.lastRequestAt < requestInterval) {
            continue;
        }
        state.isRequestPending = true;
        state.lastRequestAt = now;
        actions.emplace_back(step_down_target{state.member.id, m_highestTerm + 1});
    }
    auto *oldPrimary = m_oldPrimary ? find(*m_oldPrimary) : nullptr;
    if (oldPrimary != nullptr) {
        queryStatus(*oldPrimary, now, actions);
    }
}

void promotion_attempt::giveUp(std::string explanation, std::vector<promotion_action> &actions)
{
    m_explanation = std::move(explanation);
    end(m_isPromotionUnanswered ? attempt_outcome::Unanswered : attempt_outcome::NotSafe, actions);
}

void promotion_attempt::end(attempt_outcome result, std::vector<promotion_action> &actions)
{
    m_result = result;
    m_stage = stage::Ended;
    if (result == attempt_outcome::Refused || result == attempt_outcome::Unanswered || m_arePausesKept) {
        // A newer lease holder, or a promotion command that may still take effect, may rely on the pauses. Whoever sees
        // the end of that command resumes the targets.
        return;
    }
    for (const auto &state : m_members) {
        const bool wasLeftPaused = state.status && state.status->isPaused();
        if (state.wasPauseSent || wasLeftPaused) {
            actions.emplace_back(resume_target{state.member.id});
        }
    }
}

void promotion_attempt::queryStatus(member_state &state, time_point now, std::vector<promotion_action> &actions)
{
    if (state.isRequestPending || now - state.lastRequestAt < requestInterval) {
        return;
    }
    state.isRequestPending = true;
    state.lastRequestAt = now;
    actions.emplace_back(query_target{state.member.id});
}

void promotion_attempt::statusReceived(const target_id &target,
                                       const replication_report &status,
                                       time_point requestedAt,
                                       time_point)
{
    auto *state = find(target);
    if (state == nullptr || requestedAt < state->knownSince) {
        return; // Of an earlier incarnation.
    }
    state->isRequestPending = false;
    state->isMissing = false;
    const bool isShortened = state->status && status.received < state->status->received && !status.isPrimary;
    if (m_promotionCommands > 0 && target == m_chosen && isShortened) {
        m_hasChosenLostItsLog = true; // The list of the targets may tell of its restart later.
    }
    state->status = status;
    state->requestedAt = requestedAt;
    state->isPaused = status.isPaused() && m_stage != stage::Survey;
    m_highestTerm = std::max({m_highestTerm, status.term, status.pausedTerm});
}

void promotion_attempt::statusMissing(const target_id &target, time_point)
{
    auto *state = find(target);
    if (state == nullptr) {
        return;
    }
    state->isRequestPending = false;
    state->isMissing = true;
}

void promotion_attempt::memberRemoved(const target_id &target)
{
    std::erase_if(m_members, [&](const member_state &state) { return state.member.id == target; });
}

void promotion_attempt::membersChanged(const std::vector<promotion_member> &present, time_point now)
{
    const bool isSurveyOver = m_stage != stage::Survey;
    for (const auto &member : present) {
        auto *state = find(member.id);
        if (state != nullptr && state->member.incarnation == member.incarnation) {
            state->member = member;
            continue;
        }
        if (state == nullptr) {
            state = &m_members.emplace_back();
        }
        m_hasChosenLostItsLog = m_hasChosenLostItsLog || (m_promotionCommands > 0 && member.id == m_chosen);
        *state = {};
        state->member = member;
        state->knownSince = now;
        const bool isToReceive = isPlanned() && member.id == m_chosen;
        state->isPauseRequired = isSurveyOver && member.id != m_oldPrimary && !isToReceive;
    }
    const auto byId = [](const member_state &left, const member_state &right) {
        return left.member.id < right.member.id;
    };
    std::sort(m_members.begin(), m_members.end(), byId);
}

void promotion_attempt::membersConfirmed(time_point)
{
    m_areMembersConfirmed = m_stage == stage::Verifying && m_confirmationAskedAt != never;
}

void promotion_attempt::membersRefused(std::string why)
{
    if (m_promotionCommands == 0) {
        m_explanation = std::move(why);
        m_result = attempt_outcome::NotSafe;
    }
}

void promotion_attempt::membersUnconfirmed(time_point now)
{
    m_confirmationAskedAt = never;
    m_confirmationRetryAt = now + requestInterval;
}

void promotion_attempt::promotionAccepted(time_point now)
{
    m_isPromotionUnanswered = false;
    enterStage(stage::AwaitingPromotion, now);
}

void promotion_attempt::promotionRefused()
{
    m_result = attempt_outcome::Refused;
}

bool promotion_attempt::isPromotionSafe() const
{
    return isProofInForce();
}

void promotion_attempt::promotionNotSent(time_point now)
{
    --m_promotionCommands;
    enterVerification(now);
}

void promotion_attempt::promotionUnanswered(time_point now)
{
    m_isPromotionUnanswered = true;
    enterStage(stage::AwaitingPromotion, now);
}

void promotion_attempt::leaseLost()
{
    const bool isBeforePromotion = m_stage == stage::Survey || m_stage == stage::Pausing || m_stage == stage::CatchingUp
        || m_stage == stage::Verifying;
    if (isBeforePromotion && !m_isPromotionUnanswered) {
        m_explanation = "another instance holds the promotion lease";
        m_result = attempt_outcome::Refused;
    }
}

attempt_outcome promotion_attempt::result() const
{
    return m_result;
}

const std::optional<target_id> &promotion_attempt::chosen() const
{
    return m_chosen;
}

std::uint64_t promotion_attempt::primaryTerm() const
{
    for (const auto &state : m_members) {
        if (state.member.id == m_chosen && state.status && state.status->isPrimary) {
            return state.status->term;
        }
    }
    return 0;
}

const std::string &promotion_attempt::explanation() const
{
    return m_explanation;
}

promotion_reason promotion_attempt::reason() const
{
    return m_reason;
}

std::vector<std::pair<target_id, std::string>> promotion_attempt::describeMembers(time_point now) const
{
    std::vector<std::pair<target_id, std::string>> described;
    for (const auto &state : m_members) {
        std::string text = "incarnation " + std::to_string(state.member.incarnation);
        text += state.member.isDraining ? ", draining" : "";
        if (state.status) {
            text += state.status->isPrimary ? ", primary" : ", replica";
            text += " of term " + std::to_string(state.status->term) + " with " + toString(state.status->received);
            text += state.isPaused ? ", paused" : "";
            text += ", asked " + std::to_string((now - state.requestedAt).ms) + " ms ago";
        }
        text += state.isMissing ? ", silent" : "";
        text += state.knownSince == never ? "" : ", known for " + std::to_string((now - state.knownSince).ms) + " ms";
        text += isPartOfProof(state) ? ", in the proof" : "";
        described.emplace_back(state.member.id, std::move(text));
    }
    return described;
}

std::string promotion_attempt::describeProof(time_point now) const
{
    std::string text = "chosen must hold " + toString(m_requiredPosition);
    text += ", log required " + (m_requiredLog ? toString(*m_requiredLog) : std::string("unknown"));
    text += ", list asked " + std::to_string((now - m_confirmationAskedAt).ms) + " ms ago";
    text += ", attempt of " + std::to_string((now - m_startedAt).ms) + " ms";
    return text;
}

bool promotion_attempt::isPlanned() const
{
    return m_reason == promotion_reason::PrimaryDraining;
}

const promotion_attempt::member_state *promotion_attempt::find(const target_id &target) const
{
    const auto found = std::find_if(
        m_members.begin(), m_members.end(), [&](const member_state &state) { return state.member.id == target; });
    return found == m_members.end() ? nullptr : &*found;
}

promotion_attempt::member_state *promotion_attempt::find(const target_id &target)
{
    return const_cast<member_state *>(std::as_const(*this).find(target));
}

bool promotion_attempt::isSurveyComplete() const
{
    return std::all_of(m_members.begin(), m_members.end(), [&](const member_state &state) {
        const bool isLost = m_reason == promotion_reason::PrimaryLost && state.member.id == m_oldPrimary;
        return state.status || state.isMissing || isLost;
    });
}

bool promotion_attempt::areAllPaused() const
{
    return std::all_of(m_members.begin(), m_members.end(), [](const member_state &state) {
        return !state.isPauseRequired || state.isPaused;
    });
}

position promotion_attempt::highestPausedPosition() const
{
    position furthest;
    for (const auto &state : m_members) {
        if (state.isPaused && state.status) {
            furthest = std::max(furthest, state.status->received);
        }
    }
    return furthest;
}

}
