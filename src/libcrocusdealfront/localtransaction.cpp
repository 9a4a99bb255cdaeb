#include "localtransaction.h"

#include "statementrun.h"
#include "systemclock.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration busyDelay{10};
constexpr duration longestBusyDelay{40};
constexpr int busyShareOfTimeout = 2; // The rest is left for the answer.

}

local_transaction::local_transaction(front_context &context,
                                     std::shared_ptr<service_group> group,
                                     target_grant grant,
                                     const statement_order &order)
    : m_context(context)
    , m_group(std::move(group))
    , m_grant(std::move(grant))
    , m_database(order.route.database)
    , m_isPlain(order.opens == statement_kind::Begin || m_grant->needsProof)
    , m_hasWritten(order.kind == effect::Write)
{
}

void local_transaction::run(const caller_request &request,
                            const std::optional<prepared_shape> &prepared,
                            const session_values &values,
                            duration limit,
                            outcome_handler done)
{
    m_request = request;
    m_prepared = prepared;
    m_values = values;
    m_done = std::move(done);
    m_limitTime = limit;
    m_arrivedAt = systemNow();
    m_busyAnswers = 0;
    const bool isWrite = request.what.kind == statement_kind::Write || (prepared && prepared->kind == effect::Write);
    m_hasWritten = m_hasWritten || isWrite;
    m_limit = m_context.deadlines.scheduleAfter(limit, [self = shared_from_this()] {
        self->m_limit = 0;
        self->hitLimit();
    });
    sendToTarget();
}

void local_transaction::sendToTarget()
{
    const auto link = m_grant->link;
    const auto *prepared = m_prepared ? &*m_prepared : nullptr;
    m_sentAt = systemNow();
    m_isWithTarget = true;
    sendPreparation(m_context.targets, link, m_values, prepared, true);
    std::string encoded;
    encodeStatement(m_context.targets, encoded, link->values, *m_request, m_prepared, std::nullopt);
    m_group->addPermit(*m_grant);
    if (isCommitOfWrite()) {
        m_group->writeSent(m_sentAt);
    }
    const auto generation = ++m_generation;
    link->send(encoded, [self = shared_from_this(), generation](const target_reply &reply) {
        if (generation == self->m_generation) {
            self->handleReply(reply);
        }
    });
}

bool local_transaction::isCommitOfWrite() const
{
    return m_request->what.kind == statement_kind::Commit && m_hasWritten;
}

void local_transaction::endSending(bool isAcknowledged)
{
    if (!std::exchange(m_isWithTarget, false)) {
        return;
    }
    m_group->endPermit(*m_grant);
    if (isCommitOfWrite()) {
        m_group->writeEnded(m_sentAt, isAcknowledged);
    }
}

bool local_transaction::isWorthAnotherTry(const target_reply &reply) const
{
    // A target that is busy has run nothing, and with the transaction all that it has done so far would be lost.
    const bool isRefusedOnly = reply.error == error_code::Busy && reply.state == transaction_state::Open;
    return isRefusedOnly && systemNow() - m_arrivedAt < m_limitTime / busyShareOfTimeout;
}

void local_transaction::handleReply(const target_reply &reply)
{
    const auto self = shared_from_this();
    m_grant->target->recordAnswer(reply);
    endSending(reply.isSuccess());
    if (!isWorthAnotherTry(reply)) {
        m_context.deadlines.cancel(m_limit);
        finish(reply);
        return;
    }
    ++m_busyAnswers;
    m_context.metrics.statementRetried("busy in a transaction");
    m_context.log.info("statement_retried")
        .field("id", m_request->id)
        .field("database", m_database)
        .field("why", "busy in a transaction")
        .field("attempts", m_busyAnswers)
        .field("ms", (systemNow() - m_arrivedAt).ms);
    const auto delay = std::min(busyDelay * m_busyAnswers, longestBusyDelay);
    m_busyTimer = m_context.deadlines.scheduleAfter(delay, [self] {
        self->m_busyTimer = 0;
        self->sendToTarget();
    });
}

void local_transaction::recordPrimary(const target_reply &reply)
{
    const auto target = m_grant->target->entry().id;
    // A commit that has nothing to write succeeds also at a target that is no longer primary.
    const bool isProof = m_isPlain && (m_request->what.kind != statement_kind::Commit || m_hasWritten);
    if (isProof && reply.isSuccess()) {
        m_group->recordPrimary(target, reply.at, reply.sentAt);
    }
    if (reply.error == error_code::ReadOnly && m_grant->isPrimary) {
        m_group->recordNotPrimary(target, "it refused as read only");
    }
}

void local_transaction::finish(const target_reply &reply)
{
    recordPrimary(reply);
    if (m_request->what.kind == statement_kind::Commit) {
        finishCommit(reply);
        return;
    }
    if (reply.isLost) {
        m_context.log.info("transaction_aborted")
            .field("id", m_request->id)
            .field("database", m_database)
            .field("target", m_grant->target->entry().id.str())
            .field("reason", reply.reason);
        m_group->suspectPrimary("connection lost");
        release(false);
        fail(error_code::Aborted, "the connection to the target was lost before the commit");
        return;
    }
    statement_outcome outcome;
    outcome.reply = reply;
    if (reply.error) {
        m_context.log.info("transaction_failed")
            .field("id", m_request->id)
            .field("database", m_database)
            .field("target", m_grant->target->entry().id.str())
            .field("code", errorCodeNames.name(*reply.error))
            .field("state", transactionStateNames.name(reply.state));
    }
    if (reply.error || reply.state != transaction_state::Open) {
        rollBack();
    } else {
        outcome.transaction = shared_from_this();
    }
    answer(std::move(outcome));
}

void local_transaction::finishCommit(const target_reply &reply)
{
    const auto target = m_grant->target->entry().id;
    release(!reply.isLost && reply.state == transaction_state::Idle);
    if (reply.isLost) {
        m_context.log.warn("commit_in_doubt")
            .field("id", m_request->id)
            .field("database", m_database)
            .field("target", target.str())
            .field("reason", reply.reason);
        m_group->suspectPrimary("connection lost");
        fail(m_hasWritten ? error_code::InDoubt : error_code::Aborted, "the answer of the target was lost");
        return;
    }
    if (m_hasWritten && reply.isSuccess() && reply.at) {
        answerWhenKept(target, reply);
        return;
    }
    statement_outcome outcome;
    outcome.reply = reply;
    answer(std::move(outcome));
}

void local_transaction::answerWhenKept(const target_id &primary, const target_reply &reply)
{
    m_limit = m_context.deadlines.schedule(m_arrivedAt + m_limitTime, [self = shared_from_this()] {
        self->m_limit = 0;
        self->giveUpProof();
    });
    m_proof = m_group->proveCommit({primary, *reply.at, m_sentAt}, [self = shared_from_this(), reply](bool isKept) {
        self->m_proof = 0;
        self->m_context.deadlines.cancel(self->m_limit);
        if (!isKept) {
            self->failInDoubt("the primary has changed");
            return;
        }
        self->m_group->recordCommit(*reply.at);
        statement_outcome outcome;
        outcome.reply = reply;
        self->answer(std::move(outcome));
    });
}

void local_transaction::giveUpProof()
{
    m_group->cancelProof(std::exchange(m_proof, 0));
    failInDoubt("the commit is not known to survive a change of the primary");
}

void local_transaction::failInDoubt(const char *reason)
{
    m_context.log.warn("commit_in_doubt")
        .field("id", m_request->id)
        .field("database", m_database)
        .field("reason", reason);
    fail(error_code::InDoubt, reason);
}

void local_transaction::hitLimit()
{
    const bool isSent = m_isWithTarget;
    m_context.deadlines.cancel(m_busyTimer);
    ++m_generation;
    endSending(false);
    const bool isInDoubt = isSent && isCommitOfWrite();
    m_context.log.warn("statement_timed_out")
        .field("id", m_request->id)
        .field("database", m_database)
        .field("target", m_grant->target->entry().id.str())
        .field("sent", isSent ? 1 : 0)
        .field("in_transaction", 1);
    release(false);
    fail(isInDoubt ? error_code::InDoubt : error_code::Aborted, "the statement timed out");
}

void local_transaction::expire()
{
    const auto self = shared_from_this();
    m_context.deadlines.cancel(m_limit);
    if (m_proof != 0) {
        giveUpProof();
    } else if (m_done) {
        hitLimit();
    }
}

void local_transaction::end()
{
    const auto self = shared_from_this();
    if (m_proof != 0) {
        m_group->cancelProof(std::exchange(m_proof, 0));
        m_context.deadlines.cancel(m_limit);
        m_request.reset();
        m_done = nullptr;
        return;
    }
    if (!m_grant) {
        return;
    }
    if (!m_request) {
        rollBack();
        return;
    }
    // What was sent is rolled back with its connection, unless it is a commit, which runs to its end.
    m_context.deadlines.cancel(m_limit);
    m_context.deadlines.cancel(m_busyTimer);
    ++m_generation;
    endSending(false);
    m_request.reset();
    m_done = nullptr;
    release(false);
}

void local_transaction::release(bool isReusable)
{
    const auto grant = *std::exchange(m_grant, std::nullopt);
    m_group->addPermit(grant);
    m_group->release(grant, isReusable);
}

void local_transaction::rollBack()
{
    const auto grant = *std::exchange(m_grant, std::nullopt);
    m_group->addPermit(grant);
    std::string rollback;
    m_context.targets.addControl(rollback, control_statement::Rollback);
    grant.link->send(rollback, [group = m_group, grant](const target_reply &reply) {
        group->release(grant, !reply.isLost && reply.state == transaction_state::Idle);
    });
}

void local_transaction::fail(error_code code, std::string text)
{
    statement_outcome outcome;
    outcome.error = code;
    outcome.errorText = std::move(text);
    answer(std::move(outcome));
}

void local_transaction::answer(statement_outcome outcome)
{
    m_request.reset();
    const auto done = std::exchange(m_done, nullptr);
    done(std::move(outcome));
}

}
