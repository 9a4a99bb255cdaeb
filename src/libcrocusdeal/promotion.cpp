#include "promotion.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

// Each restart costs a round of fences; after so many lost responses another candidate is better placed.
constexpr int maxRestarts = 3;

}

promotion::promotion(std::vector<target_id> members,
                     std::set<target_id> leaving,
                     std::optional<target_id> planned,
                     group_policy policy)
    : m_members(std::move(members))
    , m_leaving(std::move(leaving))
    , m_planned(std::move(planned))
    , m_policy(policy)
{
}

std::size_t promotion::majority() const
{
    return m_policy.fenceMajority ? m_members.size() / 2 + 1 : 1;
}

promotion_step promotion::step() const
{
    return m_step;
}

std::uint64_t promotion::term() const
{
    return m_term;
}

std::vector<target_id> promotion::grantedBy() const
{
    std::vector<target_id> targets;
    for (const auto &[target, at] : m_granted) {
        targets.push_back(target);
    }
    return targets;
}

position promotion::neededPosition() const
{
    return m_needed;
}

promotion_actions promotion::start(std::uint64_t highestTerm, time_point now)
{
    return beginTerm(highestTerm + 1, now);
}

promotion_actions promotion::beginTerm(std::uint64_t term, time_point now)
{
    m_term = term;
    m_step = promotion_step::Fencing;
    m_stepDeadline = now + m_policy.fenceTimeout;
    m_granted.clear();
    m_refused = false;
    m_unanswered = {m_members.begin(), m_members.end()};
    promotion_actions actions;
    for (const auto &member : m_members) {
        actions.emplace_back(order_target{control_order::Fence, member, m_term, {}});
    }
    return actions;
}

promotion_actions promotion::restart(time_point now)
{
    if (++m_restarts > maxRestarts) {
        return end(promotion_outcome::ResponsesLost);
    }
    return beginTerm(m_term + 1, now);
}

promotion_actions promotion::end(promotion_outcome outcome)
{
    m_step = promotion_step::Ended;
    promotion_ended ended{outcome, m_term, {}, grantedBy(), m_needed};
    if (outcome == promotion_outcome::Promoted) {
        ended.primary = m_chosen;
    }
    return {ended};
}

promotion_actions promotion::answered(const order_answer &answer, time_point now)
{
    if (answer.term != m_term || m_step == promotion_step::Ended) {
        return {};
    }
    if (answer.order == control_order::Fence) {
        return m_step == promotion_step::Fencing ? fenceAnswered(answer, now) : promotion_actions();
    }
    if (answer.target != m_chosen) {
        return {};
    }
    if (answer.order == control_order::Follow && m_step == promotion_step::Aligning) {
        if (answer.lost || !answer.granted) {
            return giveUpAlignment(now);
        }
        return observed(answer.target, answer.status, now);
    }
    if (answer.order == control_order::Promote && m_step == promotion_step::Promoting) {
        if (answer.lost) {
            // The order may still take effect, so no other database may become primary at this term.
            return restart(now);
        }
        return answer.granted ? promoted() : end(promotion_outcome::Superseded);
    }
    return {};
}

promotion_actions promotion::fenceAnswered(const order_answer &answer, time_point now)
{
    m_unanswered.erase(answer.target);
    if (!answer.lost && answer.granted) {
        m_granted[answer.target] = answer.status.at;
    } else if (!answer.lost) {
        m_refused = true;
        if (answer.status.term > m_term) {
            return end(promotion_outcome::Superseded);
        }
    }
    return tryChoose(now, false);
}

// The furthest database of a granting majority has every acknowledged write: the databases that hold it share at least
// one with this majority, and a fenced database does not move on.
promotion_actions promotion::tryChoose(time_point now, bool timedOut)
{
    if (m_granted.size() < majority()) {
        if (timedOut || m_granted.size() + m_unanswered.size() < majority()) {
            return end(m_refused ? promotion_outcome::Superseded : promotion_outcome::NoMajority);
        }
        return {};
    }
    if (!timedOut && awaitsPreferred()) {
        return {};
    }
    const auto upstream = furthest();
    m_needed = m_granted.at(upstream);
    m_chosen = choose(upstream);
    if (isAhead(m_needed, m_granted.at(m_chosen))) {
        return align(upstream, now);
    }
    return promoteChosen(now);
}

promotion_actions promotion::align(const target_id &upstream, time_point now)
{
    m_step = promotion_step::Aligning;
    m_stepDeadline = now + m_policy.followTimeout;
    return {order_target{control_order::Follow, m_chosen, m_term, upstream}};
}

// A follow order that is still under way could make its target drop entries that it got from a primary of this term.
// Therefore another database is promoted at a higher term only.
promotion_actions promotion::giveUpAlignment(time_point now)
{
    m_planned.reset();
    m_leaving.clear();
    return restart(now);
}

promotion_actions promotion::promoteChosen(time_point now)
{
    m_step = promotion_step::Promoting;
    m_stepDeadline = now + m_policy.promoteTimeout;
    return {order_target{control_order::Promote, m_chosen, m_term, {}}};
}

promotion_actions promotion::promoted()
{
    promotion_actions actions;
    for (const auto &member : m_members) {
        if (member != m_chosen) {
            actions.emplace_back(order_target{control_order::Follow, member, m_term, m_chosen});
        }
    }
    for (auto &action : end(promotion_outcome::Promoted)) {
        actions.push_back(std::move(action));
    }
    return actions;
}

promotion_actions promotion::observed(const target_id &target, const target_status &status, time_point now)
{
    const bool running = m_step != promotion_step::Idle && m_step != promotion_step::Ended;
    if (running && status.term > m_term) {
        return end(promotion_outcome::Superseded);
    }
    if (!running || target != m_chosen || status.term != m_term) {
        return {};
    }
    if (m_step == promotion_step::Aligning && status.role == target_role::Replica && !isAhead(m_needed, status.at)) {
        return promoteChosen(now);
    }
    if (m_step == promotion_step::Promoting && status.role == target_role::Primary) {
        return promoted();
    }
    return {};
}

promotion_actions promotion::tick(time_point now)
{
    const bool late = now >= m_stepDeadline;
    switch (m_step) {
    case promotion_step::Idle:
    case promotion_step::Ended:
        return {};
    case promotion_step::Fencing:
        return late ? tryChoose(now, true) : promotion_actions();
    case promotion_step::Aligning:
        return late ? giveUpAlignment(now) : promotion_actions{poll_target{m_chosen}};
    case promotion_step::Promoting:
        return late ? restart(now) : promotion_actions();
    }
    return {};
}

// Without the wait, drained databases that always answer first would take turns as primary.
bool promotion::awaitsPreferred() const
{
    if (m_planned && m_unanswered.contains(*m_planned)) {
        return true;
    }
    const auto staysInUse = [this](const target_id &target) { return !m_leaving.contains(target); };
    const bool isGrantedByOne =
        std::any_of(m_granted.begin(), m_granted.end(), [&](const auto &granted) { return staysInUse(granted.first); });
    return !isGrantedByOne && std::any_of(m_unanswered.begin(), m_unanswered.end(), staysInUse);
}

bool promotion::isAhead(position a, position b) const
{
    return m_policy.compareEntryTerms ? a > b : a.offset > b.offset;
}

target_id promotion::furthest() const
{
    const auto best = std::max_element(m_granted.begin(), m_granted.end(), [this](const auto &a, const auto &b) {
        return isAhead(b.second, a.second);
    });
    return best->first;
}

target_id promotion::choose(const target_id &furthestId) const
{
    if (m_planned && m_granted.contains(*m_planned)) {
        return *m_planned;
    }
    if (!m_leaving.contains(furthestId)) {
        return furthestId;
    }
    std::optional<target_id> best;
    for (const auto &[target, at] : m_granted) {
        if (!m_leaving.contains(target) && (!best || isAhead(at, m_granted.at(*best)))) {
            best = target;
        }
    }
    return best.value_or(furthestId);
}

}
