#include "promotionattempt.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration askInterval{60};
constexpr duration recheckInterval{400}; // Another instance may have ended a pause.
constexpr duration surveyTime{350}; // An answer later than this counts as missing in the survey.
constexpr duration plannedPauseTime{1200}; // After it the old primary is made to step down instead.
constexpr duration catchUpTime{1500};
constexpr duration lostPauseTime{20000}; // How long a missing replica is waited for.
constexpr duration leadTime{4000}; // From the order to the lead of the chosen target.
constexpr duration reorderTime{300}; // From one unanswered order to the next.
constexpr int mostOrders = 15; // With their time-outs longer than the 12 s by which a call may be late.

}

promotion_attempt::promotion_attempt(promotion_reason reason,
                                     std::optional<target_id> leader,
                                     std::vector<promotion_member> members,
                                     bool hasSyncReplicas,
                                     time_point now)
    : m_reason(reason)
    , m_leader(std::move(leader))
    , m_hasSyncReplicas(hasSyncReplicas)
    , m_startedAt(now)
    , m_stageSince(now)
{
    for (auto &member : members) {
        m_members.push_back({std::move(member), {}, never, never, false, false, false, false, false});
    }
}

std::vector<promotion_action> promotion_attempt::step(time_point now)
{
    std::vector<promotion_action> actions;
    if (m_stage != stage::Ended && m_result != attempt_outcome::Pending) {
        end(m_result, actions);
    }
    const bool isBeforeOrder = m_stage == stage::Survey || m_stage == stage::Pausing || m_stage == stage::CatchingUp;
    if (const auto *leader = isBeforeOrder ? foundLeader() : nullptr) {
        m_chosen = leader->member.id;
        m_explanation = "target answers as primary";
        end(attempt_outcome::LeaderFound, actions);
        return actions;
    }
    if (m_stage == stage::Survey) {
        survey(now, actions);
    }
    if (m_stage == stage::Pausing) {
        pauseWanted(now, actions);
    }
    if (m_stage == stage::CatchingUp) {
        catchUp(now, actions);
    }
    if (m_stage == stage::AwaitingLead) {
        awaitLead(now, actions);
    }
    return actions;
}

time_point promotion_attempt::wakeAt(time_point now) const
{
    // Members that are not asked any more have asked long ago, so times in the past mean nothing.
    auto next = now + askInterval;
    for (const auto &state : m_members) {
        const auto again = state.lastAsk + askInterval;
        if (!state.isAskPending && again > now) {
            next = std::min(next, again);
        }
    }
    return next;
}

void promotion_attempt::survey(time_point now, std::vector<promotion_action> &actions)
{
    for (auto &state : m_members) {
        if (!state.status) {
            askAgain(state, now, actions);
        }
    }
    if (isSurveyComplete() || now - m_stageSince >= surveyTime) {
        beginPausing(now);
    }
}

const promotion_attempt::member_state *promotion_attempt::foundLeader() const
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const member_state &state) {
        const bool isToBeReplaced = state.member.id == m_leader && m_reason != promotion_reason::PrimaryLost;
        return state.status && state.status->isPrimary && !isToBeReplaced;
    });
    return found == m_members.end() ? nullptr : &*found;
}

void promotion_attempt::enter(stage next, time_point now)
{
    m_stage = next;
    m_stageSince = now;
    // The interval between questions is for repeating them; the first of a stage is sent at once.
    for (auto &state : m_members) {
        state.lastAsk = never;
    }
}

void promotion_attempt::enterCatchUp(time_point now)
{
    enter(stage::CatchingUp, now);
    // What the old primary said before the others had stopped receiving does not count.
    auto *leader = m_leader ? find(*m_leader) : nullptr;
    if (leader != nullptr) {
        leader->status.reset();
    }
}

void promotion_attempt::beginPausing(time_point now)
{
    enter(stage::Pausing, now);
    if (isPlanned()) {
        choosePlanned();
    }
    const auto *leader = m_leader ? find(*m_leader) : nullptr;
    if (!isPlanned() && leader != nullptr && leader->status && !leader->status->isPrimary) {
        // It has stepped down or lost the lead, and may hold what no other does.
        m_leader.reset();
    }
    for (auto &state : m_members) {
        state.isPauseWanted = state.member.id != m_leader && state.member.id != m_chosen;
    }
}

void promotion_attempt::choosePlanned()
{
    const member_state *best = nullptr;
    // An attempt that was cut short may have ordered the one that it left unpaused, and may still be carried out.
    const auto rank = [](const member_state &state) {
        return std::tuple(
            !state.status->isPaused(), !state.member.isWarmingUp, state.member.isLocal, state.status->received);
    };
    for (const auto &state : m_members) {
        if (state.member.id == m_leader || state.member.isDraining || !state.status) {
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

void promotion_attempt::pauseWanted(time_point now, std::vector<promotion_action> &actions)
{
    if (isPlanned() && !m_chosen) {
        m_explanation = "no replica answers that could take over";
        end(attempt_outcome::NotSafe, actions);
        return;
    }
    auto *leader = m_leader ? find(*m_leader) : nullptr;
    if (m_reason == promotion_reason::PrimaryLost && leader != nullptr) {
        if (leader->status) {
            leader->isPauseWanted = true;
        } else {
            askAgain(*leader, now, actions);
        }
    }
    for (auto &state : m_members) {
        if (!state.isPauseWanted || state.isAskPending) {
            continue;
        }
        if (state.isPaused && now - state.lastAsk >= recheckInterval) {
            askAgain(state, now, actions);
        }
        if (state.isPaused || state.isAskPending || now - state.lastAsk < askInterval) {
            continue;
        }
        state.isAskPending = true;
        state.wasPauseSent = true;
        state.lastAsk = now;
        // A pause is refused at or below a term that the target has heard of.
        actions.emplace_back(pause_target{state.member.id, m_highestTerm + 1});
    }
    if (areAllPaused() || !m_hasSyncReplicas) {
        if (!isPlanned()) {
            chooseFurthest();
        }
        enterCatchUp(now);
        return;
    }
    const auto waited = now - m_stageSince;
    if (isPlanned() && waited >= plannedPauseTime && m_leader && !m_isSteppedDown) {
        // A replica that cannot be stopped may acknowledge for the old primary, so the old primary has to stop instead.
        m_isSteppedDown = true;
        enterCatchUp(now);
        actions.emplace_back(step_down_target{*m_leader, m_highestTerm + 1});
        return;
    }
    if (waited >= lostPauseTime) {
        m_explanation = "a replica that may hold acknowledged commits does not answer";
        end(attempt_outcome::NotSafe, actions);
    }
}

void promotion_attempt::chooseFurthest()
{
    const member_state *best = nullptr;
    // The same whichever instance chooses: orders of several holders without an answer may be carried out one after the
    // other, and must then name one target. Members come in the order of their ids.
    const auto rank = [](const member_state &state) {
        return std::tuple(state.status->received, !state.member.isDraining, !state.member.isWarmingUp);
    };
    for (const auto &state : m_members) {
        if (!state.isPauseWanted || !state.status || (m_hasSyncReplicas && !state.isPaused)) {
            continue;
        }
        if (best == nullptr || rank(state) > rank(*best)) {
            best = &state;
        }
    }
    if (best != nullptr) {
        m_chosen = best->member.id;
        m_needed = best->status->received;
    }
}

void promotion_attempt::catchUp(time_point now, std::vector<promotion_action> &actions)
{
    if (!m_chosen) {
        m_explanation = "no replica answers";
        end(attempt_outcome::NotSafe, actions);
        return;
    }
    if (!isPlanned()) {
        order(now, actions);
        return;
    }
    auto *leader = m_leader ? find(*m_leader) : nullptr;
    auto *chosen = find(*m_chosen);
    if (chosen == nullptr || now - m_stageSince >= catchUpTime) {
        m_explanation = "the chosen replica does not catch up";
        end(attempt_outcome::NotSafe, actions);
        return;
    }
    // The position of the old primary counts only if it was asked for after the others had stopped receiving.
    const bool isLeaderKnown = leader != nullptr && leader->status && leader->askedAt >= m_stageSince
        && (!m_isSteppedDown || !leader->status->isPrimary);
    if (isLeaderKnown) {
        m_needed = std::max(furthestPaused(), leader->status->received);
    }
    if (isLeaderKnown && chosen->status && chosen->status->received >= m_needed) {
        order(now, actions);
        return;
    }
    if (leader != nullptr && !isLeaderKnown) {
        askAgain(*leader, now, actions);
    }
    if (chosen->status && chosen->status->isPaused() && !chosen->isAskPending) {
        // An attempt that was cut short has left it so.
        chosen->isAskPending = true;
        chosen->lastAsk = now;
        actions.emplace_back(resume_target{m_chosen.value()});
        return;
    }
    askAgain(*chosen, now, actions);
}

void promotion_attempt::order(time_point now, std::vector<promotion_action> &actions)
{
    enter(stage::Ordering, now);
    ++m_orders;
    m_explanation = "holds " + toString(m_needed);
    actions.emplace_back(order_promotion{*m_chosen});
}

void promotion_attempt::awaitLead(time_point now, std::vector<promotion_action> &actions)
{
    auto *chosen = find(*m_chosen);
    if (chosen != nullptr && chosen->status && chosen->status->isPrimary && chosen->askedAt >= m_stageSince) {
        end(attempt_outcome::Promoted, actions);
        return;
    }
    // While the old primary serves, others than the chosen target could acknowledge without the pauses what a late
    // order then loses.
    const bool isToBeRepeated =
        m_isOrderUnanswered && m_reason != promotion_reason::PrimaryLost && m_orders < mostOrders;
    if (chosen != nullptr && isToBeRepeated && now - m_stageSince >= reorderTime) {
        order(now, actions);
        return;
    }
    if (chosen == nullptr || now - m_stageSince >= leadTime) {
        m_explanation = "the chosen target does not lead";
        end(attempt_outcome::Unanswered, actions);
        return;
    }
    askAgain(*chosen, now, actions);
}

void promotion_attempt::end(attempt_outcome result, std::vector<promotion_action> &actions)
{
    m_result = result;
    m_stage = stage::Ended;
    if (result == attempt_outcome::Refused || result == attempt_outcome::Unanswered) {
        // A newer holder may rely on the pauses, or an order that is still carried out; who fences it ends them.
        return;
    }
    for (const auto &state : m_members) {
        const bool wasLeftPaused = state.status && state.status->isPaused();
        if (state.wasPauseSent || wasLeftPaused) {
            actions.emplace_back(resume_target{state.member.id});
        }
    }
}

void promotion_attempt::askAgain(member_state &state, time_point now, std::vector<promotion_action> &actions)
{
    if (state.isAskPending || now - state.lastAsk < askInterval) {
        return;
    }
    state.isAskPending = true;
    state.lastAsk = now;
    actions.emplace_back(survey_target{state.member.id});
}

void promotion_attempt::statusReceived(const target_id &target,
                                       const replication_report &status,
                                       time_point askedAt,
                                       time_point)
{
    auto *state = find(target);
    if (state == nullptr) {
        return;
    }
    state->isAskPending = false;
    state->isMissing = false;
    state->status = status;
    state->askedAt = askedAt;
    state->isPaused = status.isPaused() && m_stage != stage::Survey;
    m_highestTerm = std::max({m_highestTerm, status.term, status.pausedAt});
}

void promotion_attempt::statusMissing(const target_id &target, time_point)
{
    auto *state = find(target);
    if (state == nullptr) {
        return;
    }
    state->isAskPending = false;
    state->isMissing = true;
}

void promotion_attempt::memberGone(const target_id &target)
{
    std::erase_if(m_members, [&](const member_state &state) { return state.member.id == target; });
}

void promotion_attempt::orderAccepted(time_point now)
{
    m_isOrderUnanswered = false;
    enter(stage::AwaitingLead, now);
}

void promotion_attempt::orderRefused()
{
    m_result = attempt_outcome::Refused;
}

void promotion_attempt::orderUnanswered(time_point now)
{
    m_isOrderUnanswered = true;
    enter(stage::AwaitingLead, now);
}

void promotion_attempt::dutyLost()
{
    if (m_stage == stage::Survey || m_stage == stage::Pausing || m_stage == stage::CatchingUp) {
        m_explanation = "another instance holds the duty";
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

std::uint64_t promotion_attempt::leaderTerm() const
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

bool promotion_attempt::isPlanned() const
{
    return m_reason == promotion_reason::PrimaryDraining;
}

promotion_attempt::member_state *promotion_attempt::find(const target_id &target)
{
    const auto found = std::find_if(
        m_members.begin(), m_members.end(), [&](const member_state &state) { return state.member.id == target; });
    return found == m_members.end() ? nullptr : &*found;
}

bool promotion_attempt::isSurveyComplete() const
{
    return std::all_of(m_members.begin(), m_members.end(), [&](const member_state &state) {
        const bool isLost = m_reason == promotion_reason::PrimaryLost && state.member.id == m_leader;
        return state.status || state.isMissing || isLost;
    });
}

bool promotion_attempt::areAllPaused() const
{
    return std::all_of(m_members.begin(), m_members.end(), [](const member_state &state) {
        return !state.isPauseWanted || state.isPaused;
    });
}

position promotion_attempt::furthestPaused() const
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
