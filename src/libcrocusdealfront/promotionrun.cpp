#include "promotionrun.h"

#include "systemclock.h"

#include <asio/post.hpp>

#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration controlLimit{250};

}

promotion_run::promotion_run(front_context &context,
                             std::shared_ptr<service_group> group,
                             std::shared_ptr<promotion_orders> orders,
                             promotion_attempt attempt,
                             promotion_surroundings surroundings)
    : m_context(context)
    , m_group(std::move(group))
    , m_orders(std::move(orders))
    , m_attempt(std::move(attempt))
    , m_surroundings(std::move(surroundings))
    , m_token(m_orders->token())
{
}

void promotion_run::start()
{
    advance();
}

void promotion_run::leaseReported()
{
    if (m_hasEnded || m_orders->token() == m_token) {
        return;
    }
    m_attempt.leaseLost();
    advance();
}

void promotion_run::membersChanged(const std::vector<promotion_member> &present)
{
    if (m_hasEnded) {
        return;
    }
    m_attempt.membersChanged(present, systemNow());
    // Not at once: the directory may change within step().
    asio::post(m_context.io, [self = shared_from_this()] { self->advance(); });
}

void promotion_run::cancelWake()
{
    m_context.deadlines.cancel(m_wake);
}

void promotion_run::advance()
{
    if (m_hasEnded) {
        return;
    }
    m_attempt.requireLog(m_surroundings.requiredLog());
    const auto actions = m_attempt.step(systemNow());
    for (const auto &action : actions) {
        perform(action);
    }
    if (m_attempt.result() != attempt_outcome::Pending) {
        end();
        return;
    }
    m_context.deadlines.cancel(m_wake);
    m_wake = m_context.deadlines.schedule(m_attempt.wakeAt(systemNow()), [self = shared_from_this()] {
        self->m_wake = 0;
        self->advance();
    });
}

void promotion_run::end()
{
    m_hasEnded = true;
    m_context.deadlines.cancel(m_wake);
    m_surroundings.onEnded(m_attempt);
}

void promotion_run::perform(const promotion_action &action)
{
    if (const auto *survey = std::get_if<query_target>(&action)) {
        ask(survey->target, control_statement::Status, 0);
    } else if (const auto *pause = std::get_if<pause_target>(&action)) {
        ask(pause->target, control_statement::Pause, pause->term);
    } else if (const auto *resume = std::get_if<resume_target>(&action)) {
        m_context.log.info("pause_lifted")
            .field("service", m_group->id().str())
            .field("target", resume->target.str())
            .field("why", "attempt")
            .field("outcome", attemptOutcomeNames.name(m_attempt.result()));
        ask(resume->target, control_statement::Resume, 0);
    } else if (const auto *stepDown = std::get_if<step_down_target>(&action)) {
        ask(stepDown->target, control_statement::StepDown, stepDown->term);
    } else if (std::holds_alternative<confirm_members>(action)) {
        confirmMembers();
    } else {
        order(std::get<promote_target>(action).target);
    }
}

void promotion_run::ask(const target_id &target, control_statement what, std::uint64_t term)
{
    const auto found = m_group->targets().find(target);
    if (found == m_group->targets().end()) {
        m_attempt.memberRemoved(target);
        return;
    }
    // The answer must not come back within step(), which is still running.
    const auto pool = found->second;
    pool->control(what, term, controlLimit, [self = shared_from_this(), target](const control_reply &reply) {
        asio::post(self->m_context.io, [self, target, reply] { self->handleReply(target, reply); });
    });
}

void promotion_run::handleReply(const target_id &target, const control_reply &reply)
{
    if (m_hasEnded) {
        return;
    }
    if (reply.report) {
        m_attempt.statusReceived(target, *reply.report, reply.askedAt, systemNow());
    } else {
        m_attempt.statusMissing(target, systemNow());
        if (m_surroundings.isKnownGone(target)) {
            m_attempt.memberRemoved(target);
        }
    }
    advance();
}

void promotion_run::confirmMembers()
{
    if (m_surroundings.isStoreAway()) {
        confirmWithoutStore();
        return;
    }
    m_surroundings.refreshMembers([self = shared_from_this()](bool isRead) {
        if (self->m_hasEnded) {
            return;
        }
        if (isRead) {
            self->m_attempt.membersConfirmed(systemNow());
        } else {
            self->m_attempt.membersUnconfirmed(systemNow());
        }
        self->advance();
    });
}

void promotion_run::confirmWithoutStore()
{
    if (m_hasOrdered) {
        return; // Nothing more can be learnt that would change what is sent.
    }
    m_surroundings.confirmWithoutStore([self = shared_from_this()](std::string refusal) {
        if (self->m_hasEnded) {
            return;
        }
        if (refusal.empty()) {
            self->m_attempt.membersConfirmed(systemNow());
        } else {
            self->m_attempt.membersRefused(std::move(refusal));
        }
        self->advance();
    });
}

void promotion_run::order(const target_id &target)
{
    if (m_orders->token() != m_token) {
        m_attempt.promotionRefused();
        return;
    }
    renewThenOrder(target);
}

void promotion_run::renewThenOrder(const target_id &target)
{
    // The record has to name the target before the order goes out: whoever takes the lease over has to know it.
    if (m_surroundings.isStoreAway()) {
        if (m_surroundings.mayActWithoutStore()) {
            sendOrder(target);
        } else {
            m_attempt.promotionRefused();
        }
        return;
    }
    m_orders->renew(m_token, target, [self = shared_from_this(), target](claim_result result) {
        self->handleRenewal(result, target);
    });
}

void promotion_run::handleRenewal(claim_result result, const target_id &target)
{
    if (m_hasEnded) {
        return;
    }
    if (result == claim_result::Claimed) {
        m_token = m_orders->token();
    }
    const bool mayOrder = result == claim_result::Claimed
        || (result == claim_result::StoreAway && m_orders->token() && m_surroundings.mayActWithoutStore());
    m_attempt.requireLog(m_surroundings.requiredLog());
    const bool isToBeRenewed = result == claim_result::StoreAway && !mayOrder && m_orders->token();
    if (isToBeRenewed || (mayOrder && !m_attempt.isPromotionSafe())) {
        m_attempt.promotionNotSent(systemNow());
        advance();
        return;
    }
    if (mayOrder) {
        sendOrder(target);
        return;
    }
    m_attempt.promotionRefused();
    advance();
}

void promotion_run::sendOrder(const target_id &target)
{
    if (!m_orders->token()) {
        m_attempt.promotionRefused();
        return;
    }
    m_hasOrdered = true;
    tellProof(target);
    m_orders->send(target, m_attempt.explanation(), [self = shared_from_this()](promotion_answer answer) {
        self->handleOrderAnswer(answer);
    });
}

void promotion_run::tellProof(const target_id &target) const
{
    const auto now = systemNow();
    m_context.log.info("promotion_proof")
        .field("service", m_group->id().str())
        .field("target", target.str())
        .field("committed", toString(m_group->acknowledged().committed()))
        .field("proof", m_attempt.describeProof(now));
    for (const auto &[id, text] : m_attempt.describeMembers(now)) {
        m_context.log.info("promotion_member")
            .field("service", m_group->id().str())
            .field("target", id.str())
            .field("known", text);
    }
}

void promotion_run::handleOrderAnswer(promotion_answer answer)
{
    if (m_hasEnded) {
        return;
    }
    switch (answer) {
    case promotion_answer::Accepted:
        m_attempt.promotionAccepted(systemNow());
        break;
    case promotion_answer::Refused:
    case promotion_answer::TurnedAway:
        m_attempt.promotionRefused();
        break;
    case promotion_answer::Unanswered:
        // It may be carried out at any time; the chosen target answers as primary then.
        m_attempt.promotionUnanswered(systemNow());
        break;
    }
    advance();
}

}
