#include "requestrun.h"

#include "partlog.h"
#include "preemptionpolicy.h"
#include "systemclock.h"

#include <asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

const part_log &sessionLog()
{
    static const part_log log("session");
    return log;
}

const part_log &queueLog()
{
    static const part_log log("queue");
    return log;
}

pg_error makeError(const char *sqlState, std::string message, std::string hint = {})
{
    return {"ERROR", sqlState, std::move(message), {}, std::move(hint)};
}

}

request_run::request_run(session_context &context)
    : m_context(context)
    , m_target(context.service, context.strand, context.environment.io, context.environment.runBlocking, context.caller)
    , m_confirmer(context.service, context.strand)
{
}

void request_run::start(std::weak_ptr<void> session, run_hooks hooks)
{
    m_session = std::move(session);
    m_hooks = std::move(hooks);
    m_target.start(m_session,
                   {.onAnswered = [this] { onAnswered(); },
                    .onFlushAnswered = [this] { onFlushAnswered(); },
                    .onHeldTooMuch = [this] { runAgainAsLong(); },
                    .onLost = [this] { onTargetLost(); }});
}

void request_run::begin(time_point receivedAt)
{
    m_cancelled = false;
    m_preempting = false;
    m_wasPreempted = false;
    m_avoid.reset();
    if (m_target.hasLease()) {
        m_context.setPhase(session_phase::Running);
        m_target.lease().beginStatement(m_context.info.fingerprint);
        sendToTarget();
        return;
    }
    m_deadline = receivedAt + m_context.service->queueDeadline();
    if (!m_context.settings.requestKey().empty() && m_context.info.cls == statement_class::Write) {
        m_keyed = std::make_shared<keyed_request>(m_context.strand,
                                                  m_context.settings.requestKey(),
                                                  m_context.batch,
                                                  m_context.statements,
                                                  m_context.service->observe);
    }
    dispatch();
}

void request_run::continueAfterFlush()
{
    m_context.setPhase(session_phase::Running);
    sendToTarget();
}

void request_run::end()
{
    m_keyed.reset();
}

void request_run::close()
{
    m_target.stopWatching();
    // An open transaction or session state must not reach the next user of the connection.
    m_target.returnLease(lease_outcome::Broken);
}

bool request_run::hasLease() const
{
    return m_target.hasLease();
}

void request_run::cancel()
{
    if (m_context.phase == session_phase::Dispatching) {
        m_cancelled = true;
        m_context.service->cancel(m_dispatchTicket);
    } else if (m_context.phase == session_phase::Running && m_target.hasLease()) {
        stopPreempting(); // The caller gets the answer to its own cancellation.
        m_target.cancelStatement();
    }
}

void request_run::onCallerGone()
{
    if (m_context.phase == session_phase::Dispatching) {
        m_context.service->cancel(m_dispatchTicket);
        return;
    }
    // A read nobody waits for only takes a slot; a write that was sent is left to end on its own. There is no lease any
    // more while the end of an answer is on its way to the caller.
    if (m_context.phase == session_phase::Running && m_context.info.cls == statement_class::Read
        && m_target.hasLease()) {
        stopPreempting();
        m_target.cancelStatement();
    }
}

duration request_run::staleness() const
{
    duration allowed = m_context.settings.maxStaleness().value_or(duration{0});
    if (m_context.info.statement) {
        allowed =
            std::max(allowed, m_context.service->allowedStaleness(*m_context.info.statement).value_or(duration{0}));
    }
    return allowed;
}

void request_run::dispatch()
{
    m_context.setPhase(session_phase::Dispatching);
    dispatch_request request;
    request.session = static_cast<std::uint64_t>(m_context.ticket.pid);
    request.cls = m_context.info.cls;
    request.fingerprint = m_context.info.fingerprint;
    request.token = m_context.settings.state().tokenFor(m_context.service->group);
    request.historyKnown = m_context.settings.state().historyKnown(m_context.service->group);
    request.sessionStart = m_context.settings.state().startedAt();
    const auto allowed = staleness();
    if (allowed.ms > 0) {
        request.maxStaleness = allowed;
    }
    request.deadline = m_deadline;
    request.avoid = m_avoid;
    request.wasPreempted = m_wasPreempted;
    ++m_attempt;
    if (mayPreempt()) {
        request.preempt = [this, weak = m_session, attempt = m_attempt] {
            if (auto session = weak.lock()) {
                asio::dispatch(m_context.strand, [this, session, attempt] { preempt(attempt); });
            }
        };
    }
    m_dispatchTicket = m_context.service->dispatch(request, [this, session = m_session.lock()](dispatch_result result) {
        auto shared = std::make_shared<dispatch_result>(std::move(result));
        asio::dispatch(m_context.strand, [this, session, shared] { onDispatched(std::move(*shared)); });
    });
}

void request_run::onDispatched(dispatch_result result)
{
    if (m_context.phase == session_phase::Closed) {
        if (result.lease) {
            result.lease->giveBack(lease_outcome::Reusable);
        }
        return;
    }
    if (result.readIndex) {
        m_context.settings.advance(m_context.service->group, *result.readIndex);
    }
    if (m_context.callerGone || (m_cancelled && result.lease)) {
        if (result.lease) {
            result.lease->giveBack(lease_outcome::Reusable);
        }
        result.lease.reset();
    }
    if (m_context.callerGone) {
        m_hooks.close();
        return;
    }
    if (!result.lease) {
        m_hooks.reportError(m_cancelled ? makeError("57014", "canceling statement due to user request")
                                        : result.refusal);
        return;
    }
    m_target.takeLease(std::move(result.lease));
    m_confirmer.onRouted(result.term);
    m_context.setPhase(session_phase::Running);
    if (m_keyed) {
        runKeyed();
        return;
    }
    sendToTarget();
}

void request_run::runKeyed()
{
    m_context.request.onSending();
    m_target.watch();
    m_keyed->run(
        m_target.lease().shared(),
        [this] { return systemNow() < m_deadline && m_context.service->mayRetry(); },
        [this, session = m_session.lock()](keyed_result result) { onKeyedEnded(std::move(result)); });
}

void request_run::onKeyedEnded(keyed_result result)
{
    if (m_context.phase == session_phase::Closed) {
        return;
    }
    m_target.stopWatching();
    m_context.statements.apply(m_context.batch);
    if (m_target.hasLease() && result.connectionReusable) {
        m_target.lease().endStatement(m_context.info.fingerprint, systemNow() - m_target.sentAt(), false);
    }
    m_target.returnLease(result.connectionReusable ? lease_outcome::Reusable : lease_outcome::Broken);
    switch (result.step) {
    case key_step::Claim:
        dispatch();
        return;
    case key_step::AnswerOutcome:
        if (result.committed) {
            m_context.caller.out() += result.frames;
            confirm(*result.committed);
            return;
        }
        break;
    case key_step::AnswerError:
        m_context.caller.out() += result.frames;
        m_hooks.answer(false);
        return;
    case key_step::AnswerNotRun:
        m_hooks.reportError(makeError("57P03", "not run: the target connection was lost"));
        return;
    default:
        break;
    }
    m_context.settings.forgetHistory(systemNow());
    m_hooks.reportError(makeError("08007",
                                  "the outcome of the keyed request is unknown",
                                  "Repeat the request with the same crocusdeal.request_key."));
}

void request_run::sendToTarget()
{
    const bool isPrimary = m_target.lease().isPrimary();
    m_context.request.setScope(m_context.transaction.scopeOf(m_context.info, isPrimary));
    m_context.request.onSending();
    m_target.send(m_context.batch,
                  m_context.statements,
                  {.holdCompletion = m_context.transaction.needsConfirmation(m_context.info, isPrimary),
                   .pinned = m_context.transaction.isPinned(),
                   .continues = m_context.awaitingSync});
}

void request_run::onFlushAnswered()
{
    m_target.stopWatching();
    m_context.statements.apply(m_context.batch);
    m_context.awaitingSync = true;
    // What was answered stays answered, also if all of it was made up of messages without an answer.
    m_context.request.onForwarded();
    m_hooks.flushAnswered();
}

/** Sends the request to another target if nothing was done and nothing has left for the caller. */
bool request_run::retryElsewhere()
{
    const auto &relay = m_target.relay();
    const bool readOnlyTarget = relay.error() && relay.error()->sqlState == "25006";
    if (!readOnlyTarget || relay.transactionStatus() != 'I' || m_context.transaction.isPinned()
        || systemNow() >= m_deadline) {
        return false;
    }
    // The database refused before doing anything: it is no longer the primary, or a read turned out to write.
    m_context.request.onRefusedByTarget();
    if (!m_context.request.mayRetry(request_failure::ReadOnlyTarget)) {
        return false;
    }
    if (m_context.info.cls == statement_class::Read) {
        m_context.info.cls = statement_class::Write;
    }
    const auto target = m_target.lease().connection().target();
    m_target.returnLease(lease_outcome::Reusable);
    sessionLog().write(log_level::Info, std::to_string(m_context.ticket.pid) + " retries, target refused as read-only");
    dispatchAgain(target);
    return true;
}

bool request_run::mayPreempt() const
{
    preemption_traits traits;
    traits.isRead = m_context.info.cls == statement_class::Read && m_context.batch.endsWithSync();
    traits.inTransaction = m_context.transaction.isOpen();
    traits.isPinned = m_context.transaction.isPinned();
    traits.hasRequestKey = m_keyed != nullptr || !m_context.settings.requestKey().empty();
    traits.answerStarted = m_context.awaitingSync || m_context.caller.hasSent();
    traits.wasPreempted = m_wasPreempted || m_preempting;
    return isPreemptible(traits);
}

/** The target needs the slot for short work. */
void request_run::preempt(std::uint64_t attempt)
{
    const bool isRunning = attempt == m_attempt && m_context.phase == session_phase::Running && m_target.hasLease()
        && !m_context.callerGone;
    // The second run has to get a permit before the deadline.
    const bool hasTime = m_deadline - systemNow() > m_context.service->queueDeadline() / 2;
    if (!isRunning || !hasTime || !mayPreempt() || !m_context.request.mayRetry(request_failure::ConnectionLost)) {
        return;
    }
    m_preempting = true;
    m_target.setHoldOutput(true);
    m_target.cancelStatement();
}

void request_run::stopPreempting()
{
    m_preempting = false;
    m_target.setHoldOutput(false);
}

/** Whether the answer is that of the cancelled statement: it may have ended before. */
bool request_run::wasCancelledToRunAgain()
{
    const auto &relay = m_target.relay();
    return std::exchange(m_preempting, false) && relay.error() && relay.error()->sqlState == "57014"
        && relay.transactionStatus() == 'I' && m_context.request.mayRetry(request_failure::ConnectionLost);
}

void request_run::runAgainAsLong()
{
    m_target.stopWatching();
    m_preempting = false;
    m_wasPreempted = true;
    auto &lease = m_target.lease();
    const auto ran = systemNow() - m_target.sentAt();
    queueLog().write(log_level::Info,
                     "session " + std::to_string(m_context.ticket.pid) + " read preempted at "
                         + lease.connection().target().str() + " after " + std::to_string(ran.ms)
                         + " ms, runs again as long work");
    lease.endPreempted(m_context.info.fingerprint, ran);
    m_target.returnLease(lease_outcome::Broken);
    dispatchAgain(std::nullopt);
}

void request_run::dispatchAgain(std::optional<target_id> avoid)
{
    m_context.request.onRetry();
    m_target.relay().takeHeld();
    m_context.caller.out().clear();
    m_avoid = std::move(avoid);
    dispatch();
}

void request_run::onAnswered()
{
    m_target.stopWatching();
    if (wasCancelledToRunAgain()) {
        runAgainAsLong();
        return;
    }
    auto &relay = m_target.relay();
    auto &lease = m_target.lease();
    const bool keepsLease = m_context.transaction.isPinned() || relay.transactionStatus() != 'I';
    lease.endStatement(m_context.info.fingerprint, systemNow() - m_target.sentAt(), keepsLease);
    if (retryElsewhere()) {
        return;
    }
    m_context.awaitingSync = false;
    if (!m_context.batch.isSimple()) {
        m_context.statements.apply(m_context.batch);
    }
    const bool mayHaveCommitted = m_context.transaction.onAnswered(
        m_context.info, lease.isPrimary(), relay.transactionStatus(), relay.error().has_value());
    commit_report report{true, std::nullopt};
    if (mayHaveCommitted) {
        report = m_confirmer.readState(lease.connection().lastGroupState());
    }
    if (!m_context.transaction.isOpen() && !m_context.transaction.isPinned()) {
        m_target.returnLease(lease_outcome::Reusable);
    }
    if (!report.isKnown) {
        relay.takeHeld();
        m_hooks.reportError(makeError("08007", "the outcome of the write is unknown: the target reports no position"));
        return;
    }
    if (!report.at) {
        m_context.caller.out() += relay.takeHeld();
        m_hooks.answer(false);
        return;
    }
    confirm(*report.at);
}

void request_run::confirm(position at)
{
    m_context.setPhase(session_phase::Confirming);
    m_context.request.onCommitted();
    m_confirmer.confirm(at,
                        [this, session = m_session.lock(), at](confirm_outcome outcome) { onConfirmed(at, outcome); });
}

void request_run::onConfirmed(position at, confirm_outcome outcome)
{
    if (m_context.phase != session_phase::Confirming) {
        return;
    }
    m_context.setPhase(session_phase::Running);
    if (outcome == confirm_outcome::Confirmed) {
        m_context.settings.advance(m_context.service->group, at);
        m_context.caller.out() += m_target.relay().takeHeld();
        m_hooks.answer(true);
        return;
    }
    m_target.relay().takeHeld();
    failRequest(request_failure::NotConfirmed);
}

/** Ends the request with the error that is true after @p failure. */
void request_run::failRequest(request_failure failure)
{
    const auto answer = m_context.request.fail(failure);
    if (answer.effect == session_effect::HistoryUnknown) {
        m_context.settings.forgetHistory(systemNow());
    } else if (answer.effect == session_effect::TransactionFailed) {
        m_context.transaction.onFailed();
    }
    m_hooks.reportError(
        {"ERROR", std::string(answer.sqlState), std::string(answer.message), {}, std::string(answer.hint)});
}

void request_run::onTargetLost()
{
    m_target.stopWatching();
    auto &connection = m_target.lease().connection();
    if (m_keyed) {
        // Closing the connection ends the keyed request's pending operation, which then decides what to do.
        std::error_code ignored;
        connection.socket().close(ignored);
        return;
    }
    const auto target = connection.target();
    sessionLog().write(log_level::Info,
                       std::to_string(m_context.ticket.pid) + " lost its connection to " + target.str());
    if (m_target.relay().isMidRow() && m_context.caller.hasSent()) {
        // Part of a row has left; nothing but the rest of it could follow.
        m_hooks.close();
        return;
    }
    m_target.returnLease(lease_outcome::Broken);
    m_target.relay().takeHeld();
    m_preempting = false;
    m_context.transaction.onConnectionLost();
    if (m_context.request.mayRetry(request_failure::ConnectionLost) && systemNow() < m_deadline
        && m_context.service->mayRetry()) {
        dispatchAgain(target);
        return;
    }
    failRequest(request_failure::ConnectionLost);
}

}
