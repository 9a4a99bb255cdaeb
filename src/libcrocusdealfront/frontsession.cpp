#include "frontsession.h"

#include "systemclock.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

/** Whether a statement was surely not begun. A refusal of a target itself came from one that had got it. */
bool hasNotRun(const statement_outcome &outcome)
{
    return outcome.error && hasNotRun(*outcome.error);
}

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
    m_stream->onData = [self](std::string &inbound) { self->handleData(inbound); };
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

bool front_session::usesKey() const
{
    return m_key.has_value();
}

void front_session::closeIfIdle()
{
    if (m_isEnded || !isIdle() || m_stream->hasBufferedInput() || m_stream->hasUnreadSocketData()) {
        return;
    }
    m_stream->closeAfterSending();
    closed("shutdown");
}

void front_session::leave(bool endsTransactions)
{
    m_isLeaving = true;
    m_endsTransactions = endsTransactions;
    leaveIfIdle();
}

void front_session::leaveIfIdle()
{
    if (m_endsTransactions) {
        abortTransaction("shutdown");
    }
    closeIfIdle();
}

void front_session::close()
{
    m_stream->close();
    closed("closed");
}

void front_session::expire()
{
    if (!m_isBusy || m_isEnded) {
        return;
    }
    const auto run = m_run;
    const auto transaction = m_transaction;
    if (run) {
        run->expire();
    } else if (transaction) {
        transaction->expire();
    } else {
        ++m_admissions; // Its answer has not come.
        refuseLeaving();
    }
}

void front_session::reportCut(time_point leavingSince) const
{
    if (!m_isBusy) {
        return;
    }
    m_context.log.warn("request_cut")
        .field("id", m_requestId)
        .field("database", m_database)
        .field("read_ms_after_stop", (m_arrivedAt - leavingSince).ms)
        .field("under_way_ms", (systemNow() - m_arrivedAt).ms)
        .field("in_transaction", isInTransaction() ? 1 : 0);
}

void front_session::handleData(std::string &inbound)
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
        handleMessage(message);
    }
    inbound.erase(0, std::min(taken, inbound.size()));
}

void front_session::handleMessage(const caller_message &message)
{
    if (const auto *startup = std::get_if<session_startup>(&message)) {
        handleStartup(*startup);
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
    handleRequest(std::get<caller_request>(message));
}

void front_session::handleStartup(const session_startup &startup)
{
    const auto configuration = m_surroundings.configuration();
    m_database = m_isStarted ? m_database : startup.database;
    if (m_isStarted) {
        refuseSession(error_code::Malformed, "started_twice");
        return;
    }
    if (!configuration) {
        refuseSession(error_code::Busy, "no_configuration");
        return;
    }
    if (!configuration->routes.contains(startup.database)) {
        refuseSession(error_code::UnknownDatabase, "no_route");
        return;
    }
    if (configuration->workspaces && !startup.key.empty()) {
        m_key = access_key_digest::of(startup.key);
    }
    const auto access = currentAccess();
    if (access->refusal) {
        refuseSession(error_code::AuthenticationFailed, accessRefusalNames.name(*access->refusal));
        return;
    }
    if (!mayBegin(configuration->routes.at(startup.database), false)) {
        refuseSession(error_code::Busy, "shutting_down");
        return;
    }
    m_context.metrics.sessionOpened();
    m_isStarted = true;
    m_surroundings.prepare(configuration->routes.at(startup.database).service);
    finishAnswer(std::nullopt);
}

void front_session::refuseSession(error_code code, std::string_view reason)
{
    const auto configuration = m_surroundings.configuration();
    m_context.log.info("session_refused")
        .field("database", m_database)
        .field("code", errorCodeNames.name(code))
        .field("reason", reason)
        .field("configuration", configuration ? static_cast<std::int64_t>(configuration->version) : 0);
    m_context.metrics.statementRefused(reason);
    std::string out;
    m_context.callers.addError(out, code, m_database);
    m_stream->send(out);
    m_stream->closeAfterSending();
    closed("session refused");
}

std::optional<access_decision> front_session::currentAccess()
{
    const auto configuration = m_surroundings.configuration();
    const auto route = m_transactionRoute && m_state == transaction_state::Open ? m_transactionRoute : currentRoute();
    return configuration && route ? std::optional(decideAccess(*configuration, *route, m_key)) : std::nullopt;
}

void front_session::reviewAccess()
{
    const auto access = m_isStarted && !m_isEnded ? currentAccess() : std::nullopt;
    if (!access) {
        return;
    }
    const bool isOfAnother = m_state == transaction_state::Open && access->workspace != m_transactionWorkspace;
    if (!access->refusal && !isOfAnother) {
        return;
    }
    abortTransaction("the key was taken away");
    if (access->refusal) {
        closeIfIdle();
    }
}

bool front_session::isAccessGranted(const caller_request &request)
{
    const auto kind = request.what.kind;
    const auto access = currentAccess();
    if (kind == statement_kind::Rollback || m_state == transaction_state::Failed || !access) {
        return true; // What needs a route is refused without one.
    }
    if (access->refusal) {
        refuseAccess(request, error_code::AuthenticationFailed, accessRefusalNames.name(*access->refusal));
        return false;
    }
    if (m_state == transaction_state::Open && access->workspace != m_transactionWorkspace) {
        refuseAccess(request, error_code::Aborted, "workspace_changed");
        return false;
    }
    const auto validUntil = access->workspace.empty() ? std::nullopt : m_surroundings.accessValidUntil();
    if (validUntil && systemNow() >= *validUntil) {
        refuseAccess(
            request, m_state == transaction_state::Open ? error_code::Aborted : error_code::Busy, "access_unconfirmed");
        return false;
    }
    return true;
}

void front_session::refuseAccess(const caller_request &request, error_code code, std::string_view reason)
{
    endTransaction();
    failTransaction();
    m_context.metrics.statementRefused(reason);
    m_context.log.info("statement_refused")
        .field("id", request.id)
        .field("database", m_database)
        .field("reason", reason);
    answerError(code, reason);
}

void front_session::handleRequest(const caller_request &request)
{
    m_context.deadlines.cancel(m_idleLimit);
    m_requestId = request.id;
    m_requestKind = request.what.kind;
    if (std::exchange(m_wasAborted, false)) {
        m_state = transaction_state::Failed;
        const bool isEnd = request.what.kind == statement_kind::Commit || request.what.kind == statement_kind::Rollback;
        if (!isEnd) {
            answerError(error_code::Aborted, "the transaction was rolled back");
            return;
        }
    }
    if (!isAccessGranted(request)) {
        return;
    }
    if (m_state == transaction_state::Failed) {
        handleInFailedTransaction(request);
        return;
    }
    const auto &what = request.what;
    switch (what.kind) {
    case statement_kind::Begin:
    case statement_kind::BeginRead:
        handleBegin(what);
        return;
    case statement_kind::Commit:
        handleCommit(request);
        return;
    case statement_kind::Rollback:
        handleRollback();
        return;
    case statement_kind::Set:
        handleSet(what);
        return;
    case statement_kind::Prepare:
        handlePrepare(what);
        return;
    case statement_kind::Deallocate:
        handleDeallocate(what);
        return;
    case statement_kind::Read:
        handleData(request, effect::Read, std::nullopt);
        return;
    case statement_kind::Write:
        handleData(request, effect::Write, std::nullopt);
        return;
    case statement_kind::Execute: {
        const auto found = m_values.prepared.find(what.name);
        if (found == m_values.prepared.end()) {
            answerError(error_code::NoSuchStatement, what.name);
            return;
        }
        handleData(request, found->second.kind, found->second);
        return;
    }
    case statement_kind::Malformed:
        break;
    }
    answerError(error_code::Malformed, "statement is not known");
}

void front_session::handleInFailedTransaction(const caller_request &request)
{
    const auto kind = request.what.kind;
    if (kind == statement_kind::Rollback) {
        handleRollback();
        return;
    }
    if (kind == statement_kind::Commit) {
        m_state = transaction_state::Idle;
        answerError(error_code::Aborted, "the transaction had failed and is rolled back");
        return;
    }
    answerError(error_code::Malformed, "the transaction has failed");
}

void front_session::handleBegin(const statement &what)
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
    if (!mayBegin(*route, true)) {
        refuseLeaving();
        return;
    }
    m_transactionWorkspace = currentAccess()->workspace;
    m_transactionRoute = std::move(route);
    m_state = transaction_state::Open;
    m_begunBy = what.kind;
    m_begunAt = systemNow();
    m_hasWritten = false;
    answerOwn();
}

void front_session::handleSet(const statement &what)
{
    m_values.values[what.name] = what.argument;
    answerOwn();
}

void front_session::handlePrepare(const statement &what)
{
    m_values.prepared[what.name] = {what.preparedEffect, what.argument};
    answerOwn();
}

void front_session::handleDeallocate(const statement &what)
{
    if (m_values.prepared.erase(what.name) == 0) {
        answerError(error_code::NoSuchStatement, what.name);
        return;
    }
    answerOwn();
}

void front_session::handleCommit(const caller_request &request)
{
    if (m_state == transaction_state::Idle) {
        answerError(error_code::Malformed, "no transaction is open");
        return;
    }
    if (!m_transaction) {
        runFirst(request, effect::Read, std::nullopt);
        return;
    }
    runInTransaction(request, std::nullopt);
}

void front_session::handleRollback()
{
    if (m_state == transaction_state::Idle) {
        answerError(error_code::Malformed, "no transaction is open");
        return;
    }
    endTransaction();
    m_state = transaction_state::Idle;
    answerOwn();
}

void front_session::handleData(const caller_request &request, effect kind, std::optional<prepared_shape> prepared)
{
    if (m_transaction) {
        m_hasWritten = m_hasWritten || kind == effect::Write;
        runInTransaction(request, prepared);
        return;
    }
    runFirst(request, kind, std::move(prepared));
}

void front_session::runFirst(const caller_request &request, effect kind, std::optional<prepared_shape> prepared)
{
    const bool isInTransaction = m_state == transaction_state::Open;
    const auto route = isInTransaction ? m_transactionRoute : currentRoute();
    if (!route) {
        refuseFirst(request, error_code::UnknownDatabase, "no_route");
        return;
    }
    if (!mayBegin(*route, isInTransaction)) {
        refuseLeaving();
        return;
    }
    statement_order order;
    order.request = request;
    order.kind = kind;
    order.prepared = std::move(prepared);
    order.opens = isInTransaction ? std::optional(m_begunBy) : std::nullopt;
    order.route = *route;
    order.access = {currentAccess()->workspace, m_surroundings.configuration()->version, std::nullopt};
    if (!order.access.workspace.empty()) {
        order.access.validUntil = m_surroundings.accessValidUntil();
    }
    order.arrivedAt = systemNow();
    order.startedAt = isInTransaction ? m_begunAt : order.arrivedAt;
    const auto commit = m_commits.find(route->service);
    if (commit != m_commits.end()) {
        order.ownCommit = commit->second;
    }
    m_hasWritten = kind == effect::Write;
    m_service = route->service;
    m_isBusy = true;
    m_arrivedAt = systemNow();
    admitAndRun(std::move(order));
}

void front_session::admitAndRun(statement_order order)
{
    if (!m_surroundings.admit || order.access.workspace.empty()) {
        runAdmitted(order);
        return;
    }
    const auto workspace = order.access.workspace;
    const auto number = ++m_admissions;
    m_surroundings.admit(workspace,
                         [self = shared_from_this(), number, order = std::move(order)](const admission &result) {
                             self->takeAdmission(number, order, result);
                         });
}

void front_session::takeAdmission(int number, const statement_order &order, const admission &result)
{
    const bool isLate = m_isEnded || number != m_admissions;
    if (isLate && result.isAdmitted) {
        m_surroundings.refund(order.access.workspace, result.lapsesAt);
    }
    if (isLate) {
        return;
    }
    if (!result.isAdmitted) {
        refuseOverLimit(order, result);
        return;
    }
    m_charged = order.access.workspace;
    m_chargeLapsesAt = result.lapsesAt;
    runAdmitted(order);
}

void front_session::runAdmitted(const statement_order &order)
{
    const auto request = order.request;
    m_isOutcomeDue = true;
    auto run =
        m_surroundings.run(order, m_values, [self = shared_from_this(), request](const statement_outcome &outcome) {
            self->m_isOutcomeDue = false;
            self->finishRun(request, outcome);
        });
    if (!run) {
        refundCharge();
        refuseFirst(request, error_code::Busy, "no_targets_known");
    } else if (m_isOutcomeDue) {
        m_run = std::move(run);
    }
}

void front_session::refuseOverLimit(const statement_order &order, const admission &result)
{
    m_state = m_state == transaction_state::Open ? transaction_state::Failed : m_state;
    m_context.log.info(result.isOverLimit ? "operation_over_limit" : "operation_without_budget")
        .field("id", order.request.id)
        .field("workspace", order.access.workspace.str())
        .field("wait_ms", result.retryAfter.ms);
    m_context.metrics.statementRefused(result.isOverLimit ? "over_limit" : "no_budget_holder");
    const auto text =
        result.isOverLimit ? "rate limit of the workspace" : "no holder of the workspace's budget answers";
    answerError(error_code::Busy, std::string(text) + ", come back in " + std::to_string(result.retryAfter.ms) + " ms");
}

bool front_session::mayBegin(const database_route &route, bool isInTransaction) const
{
    const auto *leaving = m_surroundings.leaving();
    if (leaving == nullptr) {
        return true;
    }
    const auto now = systemNow();
    const bool hasTime = leaving->mayBeginStatement(now, route.statementTimeout);
    return hasTime && (!isInTransaction || leaving->mayBeginTransaction(now));
}

void front_session::failTransaction()
{
    if (m_state == transaction_state::Open) {
        m_state = m_requestKind == statement_kind::Commit ? transaction_state::Idle : transaction_state::Failed;
    }
}

void front_session::refuseLeaving()
{
    failTransaction();
    m_context.log.info("statement_refused")
        .field("id", m_requestId)
        .field("database", m_database)
        .field("reason", "shutting_down");
    m_context.metrics.statementRefused("shutting_down");
    answerError(error_code::Busy, "the instance is shutting down, connect again");
}

void front_session::refundCharge()
{
    if (const auto workspace = std::exchange(m_charged, std::nullopt)) {
        m_surroundings.refund(*workspace, m_chargeLapsesAt);
    }
}

void front_session::refuseFirst(const caller_request &request, error_code code, std::string_view reason)
{
    m_state = m_state == transaction_state::Open ? transaction_state::Failed : m_state;
    m_context.log.info("statement_refused")
        .field("id", request.id)
        .field("database", m_database)
        .field("reason", reason);
    answerError(code, m_database);
}

void front_session::finishRun(const caller_request &request, const statement_outcome &outcome)
{
    m_run.reset();
    if (hasNotRun(outcome)) {
        refundCharge();
    }
    m_charged.reset();
    const bool isInTransaction = m_state == transaction_state::Open;
    const bool isCommit = request.what.kind == statement_kind::Commit;
    countStatement(outcome.error ? outcome.error : outcome.reply.error);
    if (isInTransaction && isCommit) {
        m_state = transaction_state::Idle;
    } else if (isInTransaction && !outcome.transaction) {
        m_state = transaction_state::Failed;
    } else if (isInTransaction) {
        m_transaction = outcome.transaction;
        m_state = outcome.reply.state;
        watchTransactionIdle();
    } else if (!outcome.isFailure() && m_hasWritten) {
        recordCommit(m_service, outcome.reply.at);
    }
    answerOutcome(outcome);
}

void front_session::runInTransaction(const caller_request &request, const std::optional<prepared_shape> &prepared)
{
    m_isBusy = true;
    m_arrivedAt = systemNow();
    const auto transaction = m_transaction;
    transaction->run(request,
                     prepared,
                     m_values,
                     m_transactionRoute->statementTimeout,
                     [self = shared_from_this(), request](const statement_outcome &outcome) {
                         self->finishInTransaction(request, outcome);
                     });
}

void front_session::finishInTransaction(const caller_request &request, const statement_outcome &outcome)
{
    countStatement(outcome.error ? outcome.error : outcome.reply.error);
    const bool isCommit = request.what.kind == statement_kind::Commit;
    m_transaction = outcome.transaction;
    if (isCommit) {
        m_state = transaction_state::Idle;
    } else if (!m_transaction) {
        m_state = transaction_state::Failed;
    } else {
        watchTransactionIdle();
    }
    if (isCommit && !outcome.isFailure() && m_hasWritten) {
        recordCommit(m_service, outcome.reply.at);
    }
    answerOutcome(outcome);
}

void front_session::answerOutcome(const statement_outcome &outcome)
{
    if (outcome.error) {
        answerError(*outcome.error, outcome.errorText);
    } else {
        answerReply(outcome.reply);
    }
}

void front_session::countStatement(std::optional<error_code> error)
{
    const auto route = m_transactionRoute ? m_transactionRoute : currentRoute();
    m_context.metrics.statementEnded(route ? route->readConsistency : consistency::Primary,
                                     error ? errorCodeNames.name(*error) : "served",
                                     systemNow() - m_arrivedAt);
}

void front_session::endTransaction()
{
    m_context.deadlines.cancel(m_idleLimit);
    const auto transaction = std::exchange(m_transaction, nullptr);
    if (transaction) {
        transaction->end();
    }
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
    endTransaction();
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
    if (m_isLeaving && !m_isEnded) {
        // A caller that sends one request after the other is idle only now.
        leaveIfIdle();
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

void front_session::recordCommit(const service_id &service, std::optional<position> at)
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
    if (const auto run = std::exchange(m_run, nullptr)) {
        run->abandon();
    }
    endTransaction();
    m_state = transaction_state::Idle;
    const auto ended = std::exchange(onEnded, nullptr);
    if (ended) {
        ended();
    }
}

}
