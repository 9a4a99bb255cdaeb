#include "relayedstatement.h"

#include "relayedtransaction.h"
#include "systemclock.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxRelays = 2; // Then it is run here.
constexpr duration settleInterval{15};
constexpr duration longestSettling{200};
constexpr int settlingShare = 2; // Of the latency objective.
constexpr duration answerMargin{40}; // In which the outcome of the other instance's own limit arrives.

}

relayed_statement::relayed_statement(front_context &context,
                                     relay_choice choice,
                                     statement_order order,
                                     const session_values &values,
                                     outcome_handler done)
    : m_context(context)
    , m_choice(std::move(choice))
    , m_order(std::move(order))
    , m_values(values)
    , m_done(std::move(done))
{
}

bool relayed_statement::keepsNothing() const
{
    return m_order.kind == effect::Read || m_order.opens;
}

void relayed_statement::start()
{
    const auto at = m_order.arrivedAt + m_order.route.statementTimeout + answerMargin;
    m_limit = m_context.deadlines.schedule(at, [self = shared_from_this()] {
        self->m_limit = 0;
        self->hitLimit();
    });
    tryNext();
}

void relayed_statement::abandon()
{
    m_done = nullptr;
    if (m_here) {
        m_here->abandon();
    } else if (m_link) {
        m_link->abandon(m_number);
    }
    finish({});
}

void relayed_statement::expire()
{
    const auto self = shared_from_this();
    if (m_here) {
        m_here->expire();
    } else if (!m_isEnded) {
        hitLimit();
    }
}

void relayed_statement::tryNext()
{
    const auto link = m_tried.size() < maxRelays ? m_choice.next(m_order.route.service, m_tried) : nullptr;
    if (!link && mayWait()) {
        m_waitTimer = m_context.deadlines.scheduleAfter(settleInterval, [self = shared_from_this()] {
            self->m_waitTimer = 0;
            self->tryNext();
        });
        return;
    }
    if (!link) {
        runHere();
        return;
    }
    m_tried.insert(link->peer().id);
    m_link = link;
    m_context.log.debug("statement_relayed")
        .field("id", m_order.request.id)
        .field("service", m_order.route.service.str())
        .field("to", link->peer().id.str())
        .field("ms", (systemNow() - m_order.arrivedAt).ms);
    // The result may come before the number is known here.
    const auto number = std::make_shared<std::uint64_t>(0);
    *number = link->run(messageOf(), keepsNothing(), [self = shared_from_this(), link, number](relay_result result) {
        self->handleResult(link, *number, std::move(result));
    });
    m_number = m_link == link ? *number : m_number;
}

bool relayed_statement::mayWait() const
{
    const auto latest = m_order.arrivedAt + std::min(longestSettling, m_order.route.latencyObjective / settlingShare);
    return m_tried.empty() && systemNow() < latest && m_choice.isSettling(m_order.route.service);
}

relay_run relayed_statement::messageOf() const
{
    const auto now = systemNow();
    relay_run message;
    message.request = m_order.request;
    message.kind = m_order.kind;
    message.prepared = m_order.prepared;
    message.opens = m_order.opens;
    message.route = m_order.route;
    message.workspace = m_order.access.workspace;
    message.accessDecidedBy = m_order.access.decidedBy;
    if (m_order.access.validUntil) {
        message.accessValidFor = *m_order.access.validUntil - now;
    }
    message.ownCommit = m_order.ownCommit;
    message.arrivedAgo = now - m_order.arrivedAt;
    message.startedAgo = now - m_order.startedAt;
    message.values = m_values.values;
    return message;
}

void relayed_statement::runHere()
{
    m_link.reset();
    // Its own limit comes first, and knows what was sent.
    auto here = m_choice.runHere(m_order, m_values, [self = shared_from_this()](statement_outcome outcome) {
        self->finish(std::move(outcome));
    });
    if (m_isEnded) {
        return;
    }
    m_here = std::move(here);
    if (!m_here) {
        fail(m_isBegun ? error_code::Aborted : error_code::Busy, "no target of the service is known");
    }
}

void relayed_statement::handleResult(const std::shared_ptr<relay_link> &link, std::uint64_t number, relay_result result)
{
    if (m_isEnded) {
        return;
    }
    m_link.reset();
    if (result.end == relay_end::Lost) {
        m_isBegun = true;
        handleLoss(result.reason);
        return;
    }
    if (result.end == relay_end::NotServed) {
        m_context.log.debug("relay_not_served")
            .field("id", m_order.request.id)
            .field("by", link->peer().id.str())
            .field("reason", result.reason);
        tryNext();
        return;
    }
    statement_outcome outcome;
    outcome.reply = std::move(result.answer.reply);
    outcome.error = result.answer.error;
    outcome.errorText = std::move(result.answer.errorText);
    if (result.answer.isOpen) {
        const bool hasWritten = m_order.kind == effect::Write;
        outcome.transaction =
            std::make_shared<relayed_transaction>(m_context, link, number, m_order.route.database, hasWritten);
    }
    finish(std::move(outcome));
}

void relayed_statement::handleLoss(const std::string &reason)
{
    m_context.metrics.statementRetried("relay lost");
    m_context.log.info("relay_lost")
        .field("id", m_order.request.id)
        .field("service", m_order.route.service.str())
        .field("reason", reason)
        .field("repeatable", keepsNothing() ? 1 : 0)
        .field("ms", (systemNow() - m_order.arrivedAt).ms);
    if (keepsNothing()) {
        tryNext();
        return;
    }
    fail(error_code::InDoubt, "the instance that ran the statement was lost");
}

void relayed_statement::hitLimit()
{
    if (m_here) {
        return; // It ends by its own limit.
    }
    m_context.log.warn("statement_timed_out")
        .field("id", m_order.request.id)
        .field("database", m_order.route.database)
        .field("relayed_to", m_link ? m_link->peer().id.str() : "none");
    if (m_link) {
        m_link->abandon(m_number);
    }
    const bool mayHaveRun = m_link || m_isBegun;
    const bool isWrite = m_order.kind == effect::Write && !m_order.opens;
    const auto codeOfRun = isWrite ? error_code::InDoubt : error_code::Aborted;
    fail(mayHaveRun ? codeOfRun : error_code::Busy, "the statement timed out");
}

void relayed_statement::fail(error_code code, std::string text)
{
    statement_outcome outcome;
    outcome.error = code;
    outcome.errorText = std::move(text);
    finish(std::move(outcome));
}

void relayed_statement::finish(statement_outcome outcome)
{
    if (std::exchange(m_isEnded, true)) {
        return;
    }
    const auto self = shared_from_this();
    m_context.deadlines.cancel(m_limit);
    m_context.deadlines.cancel(m_waitTimer);
    m_link.reset();
    m_here.reset();
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        done(std::move(outcome));
    } else if (outcome.transaction) {
        outcome.transaction->end();
    }
}

}
