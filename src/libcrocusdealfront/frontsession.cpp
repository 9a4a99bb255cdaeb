#include "frontsession.h"

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

front_session::front_session(front_context &context,
                             std::shared_ptr<byte_stream> stream,
                             session_surroundings surroundings)
    : m_context(context)
    , m_stream(std::move(stream))
    , m_surroundings(std::move(surroundings))
{
}

void front_session::start()
{
    const auto self = shared_from_this();
    m_stream->onData = [self](std::string &inbound) { self->takeData(inbound); };
    m_stream->onClosed = [self](const std::string &reason) { self->closed(reason); };
    m_stream->startReading();
}

bool front_session::isIdle() const
{
    return !m_isBusy && m_state == transaction_state::Idle;
}

bool front_session::isInTransaction() const
{
    return m_state != transaction_state::Idle;
}

void front_session::closeIfIdle()
{
    if (m_isEnded || !isIdle() || m_stream->hasBufferedInput() || m_stream->hasUnreadSocketData()) {
        return;
    }
    m_stream->closeAfterSending();
    closed("shutdown");
}

void front_session::close()
{
    m_stream->close();
    closed("closed");
}

void front_session::takeData(std::string &inbound)
{
    std::size_t taken = 0;
    while (!m_isBusy && !m_isEnded) {
        std::size_t used = 0;
        caller_message message;
        const auto status = m_context.callers.decode(std::string_view(inbound).substr(taken), used, message);
        if (status == decode_status::Incomplete) {
            break;
        }
        taken += used;
        if (status == decode_status::TooLarge || (status == decode_status::Malformed && !m_isStarted)) {
            answerError(status == decode_status::TooLarge ? error_code::TooLarge : error_code::Malformed,
                        "message cannot be read");
            m_stream->closeAfterSending();
            closed("message cannot be read");
            break;
        }
        if (status == decode_status::Malformed) {
            answerError(error_code::Malformed, "message is not known");
            continue;
        }
        takeMessage(message);
    }
    inbound.erase(0, std::min(taken, inbound.size()));
}

void front_session::takeMessage(const caller_message &message)
{
    if (const auto *startup = std::get_if<session_startup>(&message)) {
        takeStartup(*startup);
        return;
    }
    if (std::holds_alternative<caller_goodbye>(message)) {
        m_stream->closeAfterSending();
        closed("caller has ended the session");
        return;
    }
    if (!m_isStarted) {
        answerError(error_code::Malformed, "start-up expected");
        m_stream->closeAfterSending();
        closed("start-up expected");
        return;
    }
    takeRequest(std::get<caller_request>(message));
}

void front_session::takeStartup(const session_startup &startup)
{
    const auto configuration = m_surroundings.configuration();
    const bool isKnown = configuration && configuration->routes.contains(startup.database);
    if (m_isStarted || !isKnown) {
        const auto code = m_isStarted ? error_code::Malformed
            : configuration           ? error_code::UnknownDatabase
                                      : error_code::Busy;
        m_context.log.info("session_refused")
            .field("database", startup.database)
            .field("code", errorCodeNames.name(code))
            .field("configuration", configuration ? static_cast<std::int64_t>(configuration->version) : 0);
        std::string out;
        m_context.callers.addError(out, code, startup.database);
        m_stream->send(out);
        m_stream->closeAfterSending();
        closed("session refused");
        return;
    }
    m_context.metrics.sessionOpened();
    m_database = startup.database;
    m_isStarted = true;
    m_surroundings.group(configuration->routes.at(startup.database).service);
    finishAnswer(std::nullopt);
}

void front_session::takeRequest(const caller_request &request)
{
    m_context.deadlines.cancel(m_idleLimit);
    if (std::exchange(m_wasAborted, false)) {
        m_state = transaction_state::Failed;
        const bool isEnd = request.what.kind == statement_kind::Commit || request.what.kind == statement_kind::Rollback;
        if (!isEnd) {
            answerError(error_code::Aborted, "the transaction was rolled back");
            return;
        }
    }
    if (m_state == transaction_state::Failed) {
        takeInFailedTransaction(request);
        return;
    }
    const auto &what = request.what;
    switch (what.kind) {
    case statement_kind::Begin:
    case statement_kind::BeginRead:
        takeBegin(what);
        return;
    case statement_kind::Commit:
        takeCommit(request);
        return;
    case statement_kind::Rollback:
        takeRollback();
        return;
    case statement_kind::Set:
        takeSet(what);
        return;
    case statement_kind::Prepare:
        takePrepare(what);
        return;
    case statement_kind::Deallocate:
        takeDeallocate(what);
        return;
    case statement_kind::Read:
        takeData(request, effect::Read, std::nullopt);
        return;
    case statement_kind::Write:
        takeData(request, effect::Write, std::nullopt);
        return;
    case statement_kind::Execute: {
        const auto found = m_values.prepared.find(what.name);
        if (found == m_values.prepared.end()) {
            answerError(error_code::NoSuchStatement, what.name);
            return;
        }
        takeData(request, found->second.kind, found->second);
        return;
    }
    case statement_kind::Malformed:
        break;
    }
    answerError(error_code::Malformed, "statement is not known");
}

void front_session::takeInFailedTransaction(const caller_request &request)
{
    const auto kind = request.what.kind;
    if (kind == statement_kind::Rollback) {
        takeRollback();
        return;
    }
    if (kind == statement_kind::Commit) {
        m_state = transaction_state::Idle;
        answerError(error_code::Aborted, "the transaction had failed and is rolled back");
        return;
    }
    answerError(error_code::Malformed, "the transaction has failed");
}

void front_session::takeBegin(const statement &what)
{
    if (m_state != transaction_state::Idle) {
        answerError(error_code::Malformed, "a transaction is open");
        return;
    }
    auto route = currentRoute();
    if (!route) {
        answerError(error_code::UnknownDatabase, m_database);
        return;
    }
    m_transactionRoute = std::move(route);
    m_state = transaction_state::Open;
    m_begunBy = what.kind;
    m_begunAt = systemNow();
    m_hasWritten = false;
    answerOwn();
}

void front_session::takeSet(const statement &what)
{
    m_values.values[what.name] = what.argument;
    answerOwn();
}

void front_session::takePrepare(const statement &what)
{
    m_values.prepared[what.name] = {what.preparedEffect, what.argument};
    answerOwn();
}

void front_session::takeDeallocate(const statement &what)
{
    if (m_values.prepared.erase(what.name) == 0) {
        answerError(error_code::NoSuchStatement, what.name);
        return;
    }
    answerOwn();
}

void front_session::takeCommit(const caller_request &request)
{
    if (m_state == transaction_state::Idle) {
        answerError(error_code::Malformed, "no transaction is open");
        return;
    }
    if (!m_grant) {
        runFirst(request, effect::Read, std::nullopt);
        return;
    }
    sendInTransaction(request, std::nullopt);
}

void front_session::takeRollback()
{
    if (m_state == transaction_state::Idle) {
        answerError(error_code::Malformed, "no transaction is open");
        return;
    }
    rollBackTransaction();
    m_state = transaction_state::Idle;
    answerOwn();
}

void front_session::takeData(const caller_request &request, effect kind, std::optional<prepared_shape> prepared)
{
    if (m_grant) {
        m_hasWritten = m_hasWritten || kind == effect::Write;
        sendInTransaction(request, std::move(prepared));
        return;
    }
    runFirst(request, kind, std::move(prepared));
}

void front_session::runFirst(const caller_request &request, effect kind, std::optional<prepared_shape> prepared)
{
    const bool isInTransaction = m_state == transaction_state::Open;
    const auto route = isInTransaction ? m_transactionRoute : currentRoute();
    const auto group = route ? m_surroundings.group(route->service) : nullptr;
    if (!group) {
        m_state = isInTransaction ? transaction_state::Failed : transaction_state::Idle;
        m_context.log.info("statement_refused")
            .field("id", request.id)
            .field("database", m_database)
            .field("reason", route ? "no_targets_known" : "no_route");
        answerError(route ? error_code::Busy : error_code::UnknownDatabase, m_database);
        return;
    }
    statement_order order;
    order.request = request;
    order.kind = kind;
    order.prepared = std::move(prepared);
    order.opens = isInTransaction ? std::optional(m_begunBy) : std::nullopt;
    order.route = *route;
    order.arrivedAt = systemNow();
    order.startedAt = isInTransaction ? m_begunAt : order.arrivedAt;
    const auto commit = m_commits.find(route->service);
    if (commit != m_commits.end()) {
        order.ownCommit = commit->second;
    }
    m_hasWritten = kind == effect::Write;
    m_group = group;
    m_isBusy = true;
    m_arrivedAt = systemNow();
    m_run = std::make_shared<statement_run>(
        m_context, group, std::move(order), m_values, [self = shared_from_this(), request](statement_outcome outcome) {
            self->finishRun(request, std::move(outcome));
        });
    m_run->start();
}

void front_session::finishRun(const caller_request &request, statement_outcome outcome)
{
    m_run.reset();
    const bool isInTransaction = m_state == transaction_state::Open;
    const bool isFailure = outcome.error || outcome.reply.error;
    countStatement(outcome.error ? outcome.error : outcome.reply.error);
    if (isInTransaction && !isFailure && request.what.kind == statement_kind::Commit) {
        m_group->addPermit(*outcome.kept);
        m_group->release(*outcome.kept, true);
        m_state = transaction_state::Idle;
    } else if (isInTransaction && isFailure) {
        m_state = request.what.kind == statement_kind::Commit ? transaction_state::Idle : transaction_state::Failed;
    } else if (isInTransaction) {
        m_grant = std::move(outcome.kept);
        m_state = outcome.reply.state;
        watchTransactionIdle();
    } else if (!isFailure && m_hasWritten) {
        noteCommit(m_group->id(), outcome.reply.at);
    }
    if (outcome.error) {
        answerError(*outcome.error, outcome.errorText);
    } else {
        answerReply(outcome.reply);
    }
}

void front_session::sendInTransaction(const caller_request &request, std::optional<prepared_shape> prepared)
{
    m_isBusy = true;
    m_arrivedAt = systemNow();
    m_sent = request;
    m_sentPrepared = std::move(prepared);
    m_busyAnswers = 0;
    const auto self = shared_from_this();
    m_limit = m_context.deadlines.scheduleAfter(m_transactionRoute->statementTimeout, [self] {
        self->m_limit = 0;
        self->hitTransactionLimit();
    });
    sendToTarget();
}

void front_session::sendToTarget()
{
    const auto link = m_grant->link;
    const auto *prepared = m_sentPrepared ? &*m_sentPrepared : nullptr;
    m_sentAt = systemNow();
    m_isWithTarget = true;
    sendPreparation(m_context.targets, link, m_values, prepared, true);
    std::string encoded;
    encodeStatement(m_context.targets, encoded, link->values, *m_sent, m_sentPrepared, std::nullopt);
    m_group->addPermit(*m_grant);
    if (isCommitOfWrite(*m_sent)) {
        m_group->writeSent(m_sentAt);
    }
    const auto generation = ++m_generation;
    link->send(encoded, [self = shared_from_this(), generation](const target_reply &reply) {
        if (generation == self->m_generation) {
            self->takeTransactionReply(reply);
        }
    });
}

bool front_session::isCommitOfWrite(const caller_request &request) const
{
    return request.what.kind == statement_kind::Commit && m_hasWritten;
}

void front_session::endSending(bool isAcknowledged)
{
    if (!std::exchange(m_isWithTarget, false)) {
        return;
    }
    m_group->endPermit(*m_grant);
    if (isCommitOfWrite(*m_sent)) {
        m_group->writeEnded(m_sentAt, isAcknowledged);
    }
}

bool front_session::isWorthAnotherTry(const target_reply &reply) const
{
    // A target that is busy has run nothing, and with the transaction all that it has done so far would be lost.
    const bool isRefusedOnly = reply.error == error_code::Busy && reply.state == transaction_state::Open;
    return isRefusedOnly && systemNow() - m_arrivedAt < m_transactionRoute->statementTimeout / busyShareOfTimeout;
}

void front_session::takeTransactionReply(const target_reply &reply)
{
    m_grant->target->recordAnswer(reply);
    endSending(reply.isSuccess());
    if (!isWorthAnotherTry(reply)) {
        m_context.deadlines.cancel(m_limit);
        const auto request = *std::exchange(m_sent, std::nullopt);
        finishInTransaction(request, reply);
        return;
    }
    ++m_busyAnswers;
    m_context.metrics.statementRetried("busy in a transaction");
    m_context.log.info("statement_retried")
        .field("id", m_sent->id)
        .field("database", m_database)
        .field("why", "busy in a transaction")
        .field("attempts", m_busyAnswers)
        .field("ms", (systemNow() - m_arrivedAt).ms);
    const auto delay = std::min(busyDelay * m_busyAnswers, longestBusyDelay);
    m_busyTimer = m_context.deadlines.scheduleAfter(delay, [self = shared_from_this()] {
        self->m_busyTimer = 0;
        self->sendToTarget();
    });
}

void front_session::finishInTransaction(const caller_request &request, const target_reply &reply)
{
    countStatement(reply.isLost ? std::optional(error_code::Aborted) : reply.error);
    const bool isPlain = m_begunBy == statement_kind::Begin || m_grant->needsProof;
    // A commit that has nothing to write succeeds also where the lead is lost.
    const bool isProof = isPlain && (request.what.kind != statement_kind::Commit || m_hasWritten);
    if (isProof && reply.isSuccess()) {
        m_group->noteLead(m_grant->target->entry().id, reply.at, reply.sentAt);
    }
    if (reply.error == error_code::ReadOnly && m_grant->isLeader) {
        m_group->noteNotLeading(m_grant->target->entry().id, "it refused as read only");
    }
    if (request.what.kind == statement_kind::Commit) {
        finishCommit(request, reply);
        return;
    }
    if (reply.isLost) {
        m_context.log.info("transaction_aborted")
            .field("id", request.id)
            .field("database", m_database)
            .field("target", m_grant->target->entry().id.str())
            .field("reason", reply.reason);
        m_group->noteTrouble("connection lost");
        endTransaction(false);
        m_state = transaction_state::Failed;
        answerError(error_code::Aborted, "the connection to the target was lost before the commit");
        return;
    }
    if (reply.error) {
        m_context.log.info("transaction_failed")
            .field("id", request.id)
            .field("database", m_database)
            .field("target", m_grant->target->entry().id.str())
            .field("code", errorCodeNames.name(*reply.error))
            .field("state", transactionStateNames.name(reply.state));
        rollBackTransaction();
        m_state = transaction_state::Failed;
        answerReply(reply);
        return;
    }
    m_state = reply.state == transaction_state::Idle ? transaction_state::Failed : reply.state;
    watchTransactionIdle();
    answerReply(reply);
}

void front_session::finishCommit(const caller_request &request, const target_reply &reply)
{
    const auto service = m_group->id();
    const auto target = m_grant->target->entry().id;
    m_state = transaction_state::Idle;
    endTransaction(!reply.isLost && reply.state == transaction_state::Idle);
    if (reply.isLost) {
        m_context.log.warn("commit_in_doubt")
            .field("id", request.id)
            .field("database", m_database)
            .field("target", target.str())
            .field("reason", reply.reason);
        m_group->noteTrouble("connection lost");
        answerError(m_hasWritten ? error_code::InDoubt : error_code::Aborted, "the answer of the target was lost");
        return;
    }
    if (reply.isSuccess() && m_hasWritten) {
        noteCommit(service, reply.at);
    }
    answerReply(reply);
}

void front_session::hitTransactionLimit()
{
    const bool isSent = m_isWithTarget;
    m_context.deadlines.cancel(m_busyTimer);
    ++m_generation;
    endSending(false);
    const auto request = *std::exchange(m_sent, std::nullopt);
    const bool isCommit = request.what.kind == statement_kind::Commit;
    m_context.log.warn("statement_timed_out")
        .field("id", request.id)
        .field("database", m_database)
        .field("target", m_grant->target->entry().id.str())
        .field("sent", isSent ? 1 : 0)
        .field("in_transaction", 1);
    endTransaction(false);
    m_state = isCommit ? transaction_state::Idle : transaction_state::Failed;
    answerError(isSent && isCommit && m_hasWritten ? error_code::InDoubt : error_code::Aborted,
                "the statement timed out");
}

void front_session::countStatement(std::optional<error_code> error)
{
    const auto route = m_transactionRoute ? m_transactionRoute : currentRoute();
    m_context.metrics.statementEnded(route ? route->readConsistency : consistency::Primary,
                                     error ? errorCodeNames.name(*error) : "served",
                                     systemNow() - m_arrivedAt);
}

void front_session::endTransaction(bool isReusable)
{
    m_context.deadlines.cancel(m_idleLimit);
    if (!m_grant) {
        return;
    }
    const auto grant = *std::exchange(m_grant, std::nullopt);
    m_group->addPermit(grant);
    m_group->release(grant, isReusable);
}

void front_session::rollBackTransaction()
{
    m_context.deadlines.cancel(m_idleLimit);
    if (!m_grant) {
        return;
    }
    const auto grant = *std::exchange(m_grant, std::nullopt);
    m_group->addPermit(grant);
    std::string rollback;
    m_context.targets.addControl(rollback, control_statement::Rollback);
    grant.link->send(rollback, [group = m_group, grant](const target_reply &reply) {
        group->release(grant, !reply.isLost && reply.state == transaction_state::Idle);
    });
}

void front_session::watchTransactionIdle()
{
    const auto configuration = m_surroundings.configuration();
    if (!configuration) {
        return;
    }
    m_context.deadlines.cancel(m_idleLimit);
    m_idleLimit = m_context.deadlines.scheduleAfter(configuration->transactionIdleTimeout, [self = shared_from_this()] {
        self->m_idleLimit = 0;
        self->abortTransaction("idle for too long");
    });
}

void front_session::abortTransaction(const char *why)
{
    if (m_isBusy || m_state != transaction_state::Open) {
        return;
    }
    m_context.log.info("transaction_ended").field("database", m_database).field("why", why);
    rollBackTransaction();
    m_wasAborted = true;
}

void front_session::answerOwn()
{
    m_context.callers.addComplete(m_out, m_context.callers.ownSignature());
    finishAnswer(std::nullopt);
}

void front_session::answerError(error_code code, std::string_view text)
{
    m_context.callers.addError(m_out, code, text);
    finishAnswer(std::nullopt);
}

void front_session::answerReply(const target_reply &reply)
{
    for (const auto &row : reply.rows) {
        m_context.callers.addRow(m_out, row);
    }
    if (reply.error) {
        m_context.callers.addError(m_out, *reply.error, reply.errorText);
    } else {
        m_context.callers.addComplete(m_out, *reply.signature);
    }
    finishAnswer(reply.at);
}

void front_session::finishAnswer(std::optional<position> at)
{
    m_context.callers.addReady(m_out, m_state, at);
    m_stream->send(m_out);
    m_out.clear();
    if (std::exchange(m_isBusy, false) && !m_isEnded) {
        m_stream->resumeDelivery();
    }
}

std::optional<database_route> front_session::currentRoute()
{
    const auto configuration = m_surroundings.configuration();
    if (!configuration) {
        return std::nullopt;
    }
    const auto found = configuration->routes.find(m_database);
    return found == configuration->routes.end() ? std::nullopt : std::optional(found->second);
}

void front_session::noteCommit(const service_id &service, std::optional<position> at)
{
    if (at) {
        auto &last = m_commits[service];
        last = std::max(last, *at);
    }
}

void front_session::closed(const std::string &)
{
    if (std::exchange(m_isEnded, true)) {
        return;
    }
    if (m_isStarted) {
        m_context.metrics.sessionEnded();
    }
    if (m_run) {
        m_run->abandon();
        m_run.reset();
    }
    if (m_sent) {
        // What was sent is rolled back with its connection, unless it is a commit, which runs to its end.
        m_context.deadlines.cancel(m_limit);
        m_context.deadlines.cancel(m_busyTimer);
        ++m_generation;
        endSending(false);
        m_sent.reset();
        endTransaction(false);
    } else {
        rollBackTransaction();
    }
    m_state = transaction_state::Idle;
    const auto ended = std::exchange(onEnded, nullptr);
    if (ended) {
        ended();
    }
}

}
