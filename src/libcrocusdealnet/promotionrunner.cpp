#include "promotionrunner.h"

#include <utility>

namespace crocusdeal
{

namespace
{

std::string joined(const std::vector<target_id> &targets)
{
    std::string text;
    for (const auto &target : targets) {
        text += ' ' + target.str();
    }
    return text.empty() ? " none" : text;
}

}

promotion_runner::promotion_runner(hooks callbacks)
    : m_hooks(std::move(callbacks))
{
}

bool promotion_runner::isRunning() const
{
    return m_promotion.has_value();
}

time_point promotion_runner::retryAt() const
{
    return m_retryAt;
}

void promotion_runner::start(const database_group &group,
                             std::optional<target_id> planned,
                             const std::string &why,
                             callback done,
                             time_point now)
{
    std::vector<target_id> members;
    for (const auto &target : group.targets()) {
        members.push_back(target.id);
    }
    m_hooks.log(group_log_level::Info,
                "term " + std::to_string(group.highestTerm() + 1) + ": fence all"
                    + (planned ? " for " + planned->str() : "") + ": " + why);
    m_term = group.highestTerm() + 1;
    m_done = std::move(done);
    m_retryDelay = group.policy().suspicionAfter;
    m_promotion.emplace(std::move(members), group.drained(), std::move(planned), group.policy());
    m_hooks.setPromoting(true);
    run(m_promotion->start(group.highestTerm(), now), now);
}

void promotion_runner::answered(const order_answer &answer, time_point now)
{
    if (m_promotion) {
        run(m_promotion->answered(answer, now), now);
    }
}

void promotion_runner::observed(const target_id &target, const target_status &status, time_point now)
{
    if (m_promotion) {
        run(m_promotion->observed(target, status, now), now);
    }
}

void promotion_runner::tick(time_point now)
{
    if (m_promotion) {
        run(m_promotion->tick(now), now);
    }
}

void promotion_runner::abandon()
{
    m_promotion.reset();
    if (const auto done = std::exchange(m_done, nullptr)) {
        done({});
    }
}

void promotion_runner::run(const promotion_actions &actions, time_point now)
{
    for (const auto &action : actions) {
        if (const auto *order = std::get_if<order_target>(&action)) {
            logRestart(order->term);
            m_hooks.log(order->order == control_order::Fence ? group_log_level::Debug : group_log_level::Info,
                        describe(*order));
            m_hooks.give(*order);
        } else if (const auto *poll = std::get_if<poll_target>(&action)) {
            m_hooks.askStatus(poll->target);
        } else {
            finish(std::get<promotion_ended>(action), now);
        }
    }
}

void promotion_runner::logRestart(std::uint64_t term)
{
    const auto before = std::exchange(m_term, term);
    if (before != term) {
        m_hooks.log(group_log_level::Info,
                    "term " + std::to_string(term) + ": fence all: an order of term " + std::to_string(before)
                        + " has no answer");
    }
}

std::string promotion_runner::describe(const order_target &order) const
{
    auto line = "term " + std::to_string(order.term) + ": ";
    switch (order.order) {
    case control_order::Fence:
        return line + "fence " + order.target.str();
    case control_order::Follow:
        return line + order.target.str() + " follows " + order.upstream.str();
    case control_order::Promote:
        return line + "promote " + order.target.str() + " at " + toString(m_promotion->neededPosition())
            + ", granted by" + joined(m_promotion->grantedBy());
    }
    return line;
}

void promotion_runner::finish(const promotion_ended &ended, time_point now)
{
    const bool promoted = ended.outcome == promotion_outcome::Promoted;
    m_hooks.log(promoted ? group_log_level::Info : group_log_level::Warning,
                "term " + std::to_string(ended.term) + ": "
                    + (promoted ? "promoted " + ended.primary.str() + " at " + toString(ended.at)
                                : "promoted none, " + std::string(promotionOutcomeNames.name(ended.outcome)))
                    + ", granted by" + joined(ended.grantedBy));
    m_hooks.setPromoting(false);
    m_promotion.reset();
    m_retryAt = promoted ? never : now + m_retryDelay;
    if (promoted) {
        m_hooks.onHint(ended.term, ended.primary);
    }
    if (const auto done = std::exchange(m_done, nullptr)) {
        done({ended.outcome, ended.term, ended.primary});
    }
}

}
