#include "callersession.h"

#include "partlog.h"
#include "systemclock.h"
#include "targetstate.h"

#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

namespace crocusdeal
{

namespace
{

/** What an idle session keeps for its next request. */
constexpr std::size_t minReadBytes = 2048;
constexpr std::size_t targetReadBytes = std::size_t{32} * 1024;
/** The session stops reading ahead of the request that it works on above this. */
constexpr std::size_t readAheadBytes = std::size_t{64} * 1024;
/** A batch above this is refused, so that one caller cannot take the instance's memory. */
constexpr std::size_t maxBatchBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t flushBytes = std::size_t{16} * 1024;
constexpr duration targetCheckPeriod{500};

constexpr const char *tokenParameter = "crocusdeal.session";

const part_log &sessionLog()
{
    static const part_log log("session");
    return log;
}

pg_error makeError(const char *sqlState, std::string message, std::string hint = {})
{
    return {"ERROR", sqlState, std::move(message), {}, std::move(hint)};
}

pg_error makeFatal(const char *sqlState, std::string message)
{
    return {"FATAL", sqlState, std::move(message), {}, {}};
}

bool mayChangeData(statement_class cls)
{
    return cls == statement_class::Write || cls == statement_class::SessionState || cls == statement_class::Invalid;
}

}

caller_session::caller_session(session_environment &environment,
                               std::shared_ptr<const service_hooks> service,
                               std::unique_ptr<caller_stream> stream,
                               strand executor,
                               frame_reader reader,
                               const session_options &options)
    : m_environment(environment)
    , m_service(std::move(service))
    , m_stream(std::move(stream))
    , m_strand(std::move(executor))
    , m_watchTimer(environment.io)
    , m_reader(std::move(reader))
    , m_settings(systemNow(), options)
{
}

caller_session::~caller_session()
{
    m_environment.registry.remove(m_ticket.pid);
}

void caller_session::start(const std::string &greeting)
{
    m_ticket = m_environment.registry.add(shared_from_this());
    m_relayHooks.onGroupState = [this](std::string_view value) {
        m_lease->connection().lastGroupState() = std::string(value);
        m_service->observe(m_lease->connection().target(), value, m_sentAt);
    };
    m_relayHooks.onPrepared = [this](const std::string &name) {
        if (!name.empty() && name.front() == '\0') {
            m_lease->connection().unnamedStatement() = name.substr(1);
        } else {
            m_lease->connection().prepared().insert(name);
        }
    };

    frame_writer writer;
    writer.raw(greeting);
    writer.begin('K').int32(m_ticket.pid).int32(m_ticket.key).end();
    writeReadyForQuery(writer, 'I');
    m_out = writer.take();
    sessionLog().write(log_level::Debug, std::to_string(m_ticket.pid) + " started");
    flush([this] {
        read();
        nextRequest();
    });
}

bool caller_session::isBusy() const
{
    return m_busy.load(std::memory_order_relaxed);
}

void caller_session::setPhase(phase value)
{
    m_phase = value;
    m_busy.store(value != phase::Idle && value != phase::Closed, std::memory_order_relaxed);
}

void caller_session::cancelRequest()
{
    asio::dispatch(m_strand, [self = shared_from_this()] {
        if (self->m_phase == phase::Dispatching) {
            self->m_cancelled = true;
            self->m_service->cancel(self->m_dispatchTicket);
        } else if (self->m_phase == phase::Running && self->m_lease) {
            self->cancelAtTarget();
        }
    });
}

void caller_session::cancelAtTarget()
{
    m_cancelSent = true;
    auto connection = m_lease->shared();
    m_environment.runBlocking([connection] { connection->cancelStatement(); });
}

void caller_session::drain()
{
    asio::dispatch(m_strand, [self = shared_from_this()] {
        self->m_draining = true;
        if (self->m_phase == phase::Idle && !self->m_lease && self->m_batch.empty()) {
            self->fail(makeFatal("57P01", "the instance is shutting down"));
        }
    });
}

void caller_session::abort()
{
    asio::dispatch(m_strand, [self = shared_from_this()] {
        if (self->m_phase != phase::Closed) {
            sessionLog().write(log_level::Warn,
                               std::to_string(self->m_ticket.pid) + " aborted with a request or transaction open");
            self->closeNow();
        }
    });
}

void caller_session::read()
{
    if (m_reading || m_phase == phase::Closed || m_reader.unread() > readAheadBytes + m_reader.frontLength()) {
        return;
    }
    m_reading = true;
    m_reader.shrink(minReadBytes);
    const auto missing = m_reader.frontLength() - std::min(m_reader.frontLength(), m_reader.unread());
    const auto size = std::clamp(missing, minReadBytes, readAheadBytes);
    char *buffer = m_reader.prepare(size);
    m_stream->readSome(buffer, size, [self = shared_from_this()](std::error_code error, std::size_t bytes) {
        self->onRead(error, bytes);
    });
}

void caller_session::onRead(std::error_code error, std::size_t bytes)
{
    m_reading = false;
    if (m_phase == phase::Closed) {
        return;
    }
    if (error) {
        onCallerGone();
        return;
    }
    m_reader.commit(bytes);
    if (m_phase == phase::Idle) {
        nextRequest();
    }
    read();
}

void caller_session::onCallerGone()
{
    m_callerGone = true;
    switch (m_phase) {
    case phase::Idle:
        closeNow();
        return;
    case phase::Dispatching:
        m_service->cancel(m_dispatchTicket);
        return;
    case phase::Running:
        // A read nobody waits for only takes a slot; a write that was sent is left to end on its own. There is no lease
        // any more while the end of an answer is on its way to the caller.
        if (m_info.cls == statement_class::Read && m_lease) {
            cancelAtTarget();
        }
        return;
    case phase::Confirming:
    case phase::Closing:
    case phase::Closed:
        return;
    }
}

void caller_session::nextRequest()
{
    while (m_phase == phase::Idle) {
        const auto frame = m_reader.next();
        if (m_reader.error()) {
            fail(makeFatal("08P01", std::string(frameErrorName(*m_reader.error()))));
            return;
        }
        if (!frame) {
            if (m_callerGone) {
                closeNow();
            }
            return;
        }
        if (frame->type == 'X') {
            closeNow();
            return;
        }
        if (frame->type == 'd' || frame->type == 'c' || frame->type == 'f') {
            continue; // Left over from a refused COPY.
        }
        const auto progress = m_batch.add(*frame);
        if (progress == request_batch::progress::Malformed || progress == request_batch::progress::Unsupported) {
            fail(makeFatal("08P01", std::string("unexpected or malformed message of type '") + frame->type + "'"));
            return;
        }
        if (m_batch.allBytes().size() > maxBatchBytes) {
            fail(makeFatal("54000", "the request is larger than 64 MB"));
            return;
        }
        if (progress != request_batch::progress::More) {
            handleBatch();
        }
    }
}

void caller_session::handleBatch()
{
    m_requestStart = systemNow();
    m_preciseStart = std::chrono::steady_clock::now();
    m_anythingWritten = false;
    m_cancelled = false;
    m_avoid.reset();
    const auto info = classifyBatch(m_batch, m_statements, m_environment.statements);
    if (m_awaitingSync) {
        m_info.cls = std::max(m_info.cls, info.cls);
        m_info.endsTransaction = m_info.endsTransaction || info.endsTransaction;
        setPhase(phase::Running);
        sendToTarget();
        return;
    }
    m_info = info;
    const bool onlySync = !m_batch.isSimple() && m_batch.steps().size() == 1 && m_batch.endsWithSync();
    if (onlySync || m_info.onlyProxySettings || (m_batch.isSimple() && m_info.cls == statement_class::Empty)) {
        handleLocally();
        return;
    }
    if (refuseUnsupported() || answerInFailedTransaction()) {
        return;
    }
    if (m_lease) {
        setPhase(phase::Running);
        m_lease->beginStatement(m_info.fingerprint);
        sendToTarget();
        return;
    }
    m_deadline = m_requestStart + m_service->queueDeadline();
    if (!m_settings.requestKey().empty() && m_info.cls == statement_class::Write) {
        m_keyed = std::make_shared<keyed_request>(
            m_strand, m_settings.requestKey(), m_batch, m_statements, m_service->observe);
    }
    dispatch();
}

void caller_session::handleLocally()
{
    setPhase(phase::Running);
    frame_writer writer;
    if (m_info.onlyProxySettings) {
        m_statements.apply(m_batch);
        writeSettingReplies(
            writer, m_batch, m_statements, [this](const proxy_setting &setting) { return m_settings.apply(setting); });
    } else if (m_batch.isSimple()) {
        writer.begin('I').end();
    }
    m_out += writer.take();
    if (!m_batch.endsWithSync()) {
        flush([this] { endRequest(); });
        return;
    }
    finishAnswer(false);
}

bool caller_session::refuseUnsupported()
{
    pg_error error;
    if (m_info.cls == statement_class::Copy) {
        error = makeError("0A000", "COPY is not supported through crocusdeal");
    } else if (m_info.mixesProxySettings) {
        error = makeError("0A000", "a crocusdeal setting cannot stand beside other statements in one request");
    } else if (!m_settings.requestKey().empty() && m_info.cls != statement_class::Read
               && (m_lease || m_info.cls != statement_class::Write || m_info.endsTransaction
                   || !m_batch.endsWithSync())) {
        error =
            makeError("0A000", "crocusdeal.request_key covers one write outside of a transaction; RESET it for others");
    } else {
        return false;
    }
    setPhase(phase::Running);
    reportError(error);
    return true;
}

bool caller_session::answerInFailedTransaction()
{
    if (!m_failedTransaction) {
        return false;
    }
    setPhase(phase::Running);
    if (m_info.cls == statement_class::Rollback || m_info.cls == statement_class::Commit) {
        m_failedTransaction = false;
        m_transaction = 'I';
        if (m_batch.isSimple()) {
            frame_writer writer;
            writeCommandComplete(writer, "ROLLBACK");
            m_out += writer.take();
            finishAnswer(false);
            return true;
        }
        reportError(makeError("40001", "the transaction was rolled back: its target connection was lost"));
        return true;
    }
    reportError(makeError("25P02", "current transaction is aborted, commands ignored until end of transaction block"));
    return true;
}

duration caller_session::staleness() const
{
    duration allowed = m_settings.maxStaleness().value_or(duration{0});
    if (m_info.statement) {
        allowed = std::max(allowed, m_service->allowedStaleness(*m_info.statement).value_or(duration{0}));
    }
    return allowed;
}

void caller_session::dispatch()
{
    setPhase(phase::Dispatching);
    dispatch_request request;
    request.session = static_cast<std::uint64_t>(m_ticket.pid);
    request.cls = m_info.cls;
    request.fingerprint = m_info.fingerprint;
    request.token = m_settings.state().tokenFor(m_service->group);
    request.historyKnown = m_settings.state().historyKnown(m_service->group);
    request.sessionStart = m_settings.state().startedAt();
    const auto allowed = staleness();
    if (allowed.ms > 0) {
        request.maxStaleness = allowed;
    }
    request.deadline = m_deadline;
    request.avoid = m_avoid;
    m_dispatchTicket = m_service->dispatch(request, [self = shared_from_this()](dispatch_result result) {
        auto shared = std::make_shared<dispatch_result>(std::move(result));
        asio::dispatch(self->m_strand, [self, shared] { self->onDispatched(std::move(*shared)); });
    });
}

void caller_session::onDispatched(dispatch_result result)
{
    if (m_phase == phase::Closed) {
        if (result.lease) {
            result.lease->giveBack(lease_outcome::Reusable);
        }
        return;
    }
    if (result.readIndex) {
        m_settings.advance(m_service->group, *result.readIndex);
    }
    if (m_callerGone || (m_cancelled && result.lease)) {
        if (result.lease) {
            result.lease->giveBack(lease_outcome::Reusable);
        }
        result.lease.reset();
    }
    if (m_callerGone) {
        closeNow();
        return;
    }
    if (!result.lease) {
        reportError(m_cancelled ? makeError("57014", "canceling statement due to user request") : result.refusal);
        return;
    }
    m_lease = std::move(result.lease);
    m_routedTerm = result.term;
    setPhase(phase::Running);
    if (m_keyed) {
        runKeyed();
        return;
    }
    sendToTarget();
}

void caller_session::runKeyed()
{
    m_sentAt = systemNow();
    watchTarget();
    m_keyed->run(
        m_lease->shared(),
        [this] { return systemNow() < m_deadline && m_service->mayRetry(); },
        [self = shared_from_this()](keyed_result result) { self->onKeyedEnded(std::move(result)); });
}

void caller_session::onKeyedEnded(keyed_result result)
{
    if (m_phase == phase::Closed) {
        return;
    }
    m_watchTimer.cancel();
    m_statements.apply(m_batch);
    if (m_lease && result.connectionReusable) {
        m_lease->endStatement(m_info.fingerprint, systemNow() - m_sentAt, false);
    }
    returnLease(result.connectionReusable ? lease_outcome::Reusable : lease_outcome::Broken);
    switch (result.step) {
    case key_step::Claim:
        dispatch();
        return;
    case key_step::AnswerOutcome:
        if (result.committed) {
            m_out += result.frames;
            confirm(*result.committed);
            return;
        }
        break;
    case key_step::AnswerError:
        m_out += result.frames;
        finishAnswer(false);
        return;
    case key_step::AnswerNotRun:
        reportError(makeError("57P03", "not run: the target connection was lost"));
        return;
    default:
        break;
    }
    m_settings.forgetHistory(systemNow());
    reportError(makeError("08007",
                          "the outcome of the keyed request is unknown",
                          "Repeat the request with the same crocusdeal.request_key."));
}

bool caller_session::needsConfirmation() const
{
    if (!m_lease->isPrimary()) {
        return false;
    }
    if (m_info.endsTransaction) {
        return m_transactionWrote || m_info.cls != statement_class::Rollback;
    }
    return m_transaction == 'I' && mayChangeData(m_info.cls);
}

void caller_session::sendToTarget()
{
    auto &connection = m_lease->connection();
    const bool hold = needsConfirmation();
    m_relay.setPinned(m_pinned);
    if (m_batch.isSimple()) {
        m_relay.beginSimple(hold);
        m_toTarget.assign(m_batch.allBytes());
        connection.unnamedStatement().clear(); // A simple query drops the unnamed statement.
    } else {
        auto translated = m_statements.translate(m_batch, connection.prepared(), connection.unnamedStatement());
        if (m_awaitingSync) {
            m_relay.extend(translated, hold);
        } else {
            m_relay.beginExtended(translated, hold);
        }
        m_toTarget = std::move(translated.bytes);
    }
    m_sentAt = systemNow();
    watchTarget();
    asio::async_write(connection.socket(),
                      asio::buffer(m_toTarget),
                      asio::bind_executor(m_strand, [self = shared_from_this()](std::error_code error, std::size_t) {
                          self->onSent(error);
                      }));
}

void caller_session::onSent(std::error_code error)
{
    if (m_phase == phase::Closed || !m_lease) {
        return;
    }
    if (error) {
        onTargetLost();
        return;
    }
    readTarget();
}

void caller_session::readTarget()
{
    auto &connection = m_lease->connection();
    char *buffer = connection.reader().prepare(targetReadBytes);
    connection.socket().async_read_some(
        asio::buffer(buffer, targetReadBytes),
        asio::bind_executor(
            m_strand, [self = shared_from_this(), lease = m_lease->shared()](std::error_code error, std::size_t bytes) {
                self->onTargetRead(error, bytes);
            }));
}

void caller_session::onTargetRead(std::error_code error, std::size_t bytes)
{
    if (m_phase == phase::Closed || !m_lease) {
        return;
    }
    if (error) {
        onTargetLost();
        return;
    }
    m_lease->connection().reader().commit(bytes);
    relay();
}

void caller_session::relay()
{
    const auto progress = m_relay.consume(m_lease->connection().reader(), m_out, m_relayHooks);
    switch (progress) {
    case response_relay::progress::Broken:
        onTargetLost();
        return;
    case response_relay::progress::Done:
        onAnswered();
        return;
    case response_relay::progress::Flushed:
        if (!m_batch.endsWithSync()) {
            onFlushAnswered();
            return;
        }
        break;
    case response_relay::progress::More:
        break;
    }
    if (m_out.size() < flushBytes && !m_relay.hasRows()) {
        readTarget();
        return;
    }
    flush([this] { readTarget(); });
}

void caller_session::onFlushAnswered()
{
    m_watchTimer.cancel();
    m_statements.apply(m_batch);
    m_awaitingSync = true;
    flush([this] { endRequest(); });
}

/** Sends the request to another target if nothing was done and nothing has left for the caller. */
bool caller_session::retryElsewhere()
{
    const bool readOnlyTarget = m_relay.error() && m_relay.error()->sqlState == "25006";
    if (!readOnlyTarget || m_transaction != 'I' || m_relay.transactionStatus() != 'I' || m_anythingWritten
        || m_awaitingSync || m_pinned || m_info.endsTransaction || systemNow() >= m_deadline) {
        return false;
    }
    // The database refused before doing anything: it is no longer the primary, or a read turned out to write.
    m_avoid = m_lease->connection().target();
    if (m_info.cls == statement_class::Read) {
        m_info.cls = statement_class::Write;
    }
    m_out.clear();
    m_relay.takeHeld();
    returnLease(lease_outcome::Reusable);
    sessionLog().write(log_level::Info, std::to_string(m_ticket.pid) + " retries, target refused as read-only");
    dispatch();
    return true;
}

void caller_session::onAnswered()
{
    m_watchTimer.cancel();
    const bool keepsLease = m_pinned || m_relay.transactionStatus() != 'I';
    m_lease->endStatement(m_info.fingerprint, systemNow() - m_sentAt, keepsLease);
    if (retryElsewhere()) {
        return;
    }
    m_awaitingSync = false;
    if (!m_batch.isSimple()) {
        m_statements.apply(m_batch);
    }
    const char status = m_relay.transactionStatus();
    const bool wasWriting = mayChangeData(m_info.cls) || m_transactionWrote;
    const bool mayHaveCommitted = status == 'I' && m_lease->isPrimary() && wasWriting;
    m_transactionWrote = status != 'I' && wasWriting;
    m_transaction = status;
    if (m_info.cls == statement_class::SessionState && !m_relay.error()) {
        m_pinned = !m_info.discardsState;
    }

    std::optional<target_state> state;
    if (mayHaveCommitted) {
        state = parseTargetState(m_lease->connection().lastGroupState());
    }
    if (status == 'I' && !m_pinned) {
        returnLease(lease_outcome::Reusable);
    }
    if (mayHaveCommitted && !state) {
        m_relay.takeHeld();
        reportError(makeError("08007", "the outcome of the write is unknown: the target reports no position"));
        return;
    }
    // Without an entry of the term in which it was routed the request has written nothing: there is nothing to confirm.
    if (!state || (isUnwrittenPrimary(*state) && state->term == m_routedTerm)) {
        m_out += m_relay.takeHeld();
        finishAnswer(false);
        return;
    }
    confirm(state->at);
}

void caller_session::returnLease(lease_outcome outcome)
{
    if (m_lease) {
        // The cancellation may reach the database after the statement has ended and would hit the next user's
        // statement.
        m_lease->giveBack(std::exchange(m_cancelSent, false) ? lease_outcome::Broken : outcome);
        m_lease.reset();
    }
}

void caller_session::confirm(position at)
{
    setPhase(phase::Confirming);
    m_service->confirmWrite(at, [self = shared_from_this(), at](confirm_outcome outcome) {
        asio::dispatch(self->m_strand, [self, at, outcome] { self->onConfirmed(at, outcome); });
    });
}

void caller_session::onConfirmed(position at, confirm_outcome outcome)
{
    if (m_phase != phase::Confirming) {
        return;
    }
    setPhase(phase::Running);
    if (outcome == confirm_outcome::Confirmed) {
        m_settings.advance(m_service->group, at);
        m_out += m_relay.takeHeld();
        finishAnswer(true);
        return;
    }
    m_relay.takeHeld();
    // The caller will want to look whether the write is there, which needs a read that covers it.
    m_settings.forgetHistory(systemNow());
    reportError(makeError("08007",
                          "the outcome of the write is unknown: it could not be confirmed",
                          "Look whether the write took effect before repeating it."));
}

void caller_session::finishAnswer(bool reportToken)
{
    frame_writer writer;
    if (reportToken) {
        writeParameterStatus(writer, tokenParameter, toString(m_settings.state().token()));
    }
    writeReadyForQuery(writer, m_failedTransaction ? 'E' : m_transaction);
    m_out += writer.take();
    m_environment.onAnswered(
        m_info.cls,
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - m_preciseStart));
    flush([this] { endRequest(); });
}

/** Ends the request with an error, in place of whatever the target may have answered. */
void caller_session::reportError(const pg_error &error)
{
    if (m_awaitingSync && !m_batch.endsWithSync()) {
        fail({"FATAL", error.sqlState, error.message, error.detail, error.hint});
        return;
    }
    m_awaitingSync = false;
    if (!m_anythingWritten) {
        m_out.clear();
    }
    frame_writer writer;
    writeError(writer, error);
    m_out += writer.take();
    if (!m_batch.endsWithSync()) {
        // The rest of the batch up to the Sync has to be ignored, which only a new session state could do.
        fail({"FATAL", error.sqlState, error.message, error.detail, error.hint});
        return;
    }
    finishAnswer(false);
}

void caller_session::endRequest()
{
    m_keyed.reset();
    m_batch.clear();
    setPhase(phase::Idle);
    if (m_callerGone) {
        closeNow();
        return;
    }
    if (m_draining && !m_lease && !m_failedTransaction) {
        fail(makeFatal("57P01", "the instance is shutting down"));
        return;
    }
    nextRequest();
    read();
}

void caller_session::watchTarget()
{
    m_watchTimer.expires_after(std::chrono::milliseconds(targetCheckPeriod.ms));
    m_watchTimer.async_wait(asio::bind_executor(m_strand, [self = shared_from_this()](std::error_code error) {
        if (error || self->m_phase != phase::Running || !self->m_lease) {
            return;
        }
        if (!self->m_flushing && !self->m_service->isTargetAlive(self->m_lease->connection().target())) {
            self->onTargetLost();
            return;
        }
        self->watchTarget();
    }));
}

void caller_session::onTargetLost()
{
    m_watchTimer.cancel();
    if (m_keyed) {
        // Closing the connection ends the keyed request's pending operation, which then decides what to do.
        std::error_code ignored;
        m_lease->connection().socket().close(ignored);
        return;
    }
    const auto target = m_lease->connection().target();
    sessionLog().write(log_level::Info, std::to_string(m_ticket.pid) + " lost its connection to " + target.str());
    if (m_relay.isMidRow() && m_anythingWritten) {
        // Part of a row has left; nothing but the rest of it could follow.
        closeNow();
        return;
    }
    const bool inTransaction = m_transaction != 'I';
    const bool mayHaveCommitted = m_lease->isPrimary()
        && (m_info.endsTransaction ? m_transactionWrote || mayChangeData(m_info.cls)
                                   : !inTransaction && mayChangeData(m_info.cls));
    returnLease(lease_outcome::Broken);
    m_relay.takeHeld();
    m_pinned = false;
    m_transactionWrote = false;
    m_transaction = 'I';

    if (mayHaveCommitted) {
        m_settings.forgetHistory(systemNow());
        reportError(makeError("08007",
                              "the outcome of the write is unknown: the target connection was lost",
                              "Look whether the write took effect before repeating it."));
        return;
    }
    if (inTransaction) {
        m_failedTransaction = !m_info.endsTransaction;
        reportError(makeError("40001", "the transaction was rolled back: its target connection was lost"));
        return;
    }
    const bool mayRetry = !m_anythingWritten && !m_awaitingSync && systemNow() < m_deadline && m_service->mayRetry();
    if (mayRetry) {
        m_out.clear();
        m_avoid = target;
        dispatch();
        return;
    }
    reportError(makeError("08006", "the target connection was lost while reading"));
}

void caller_session::flush(std::function<void()> then)
{
    if (m_out.empty()) {
        then();
        return;
    }
    m_writing.swap(m_out);
    m_out.clear();
    m_anythingWritten = true;
    m_flushing = true;
    m_stream->write(m_writing, [self = shared_from_this(), then = std::move(then)](std::error_code error, std::size_t) {
        self->m_flushing = false;
        if (self->m_writing.capacity() > flushBytes) {
            std::string().swap(self->m_writing);
        }
        if (self->m_phase == phase::Closed) {
            return;
        }
        if (error) {
            self->closeNow();
            return;
        }
        then();
    });
}

void caller_session::fail(const pg_error &error)
{
    frame_writer writer;
    writeError(writer, error);
    m_out = writer.take();
    setPhase(phase::Closing);
    flush([this] { closeNow(); });
}

void caller_session::closeNow()
{
    if (m_phase == phase::Closed) {
        return;
    }
    setPhase(phase::Closed);
    m_watchTimer.cancel();
    // An open transaction or session state must not reach the next user of the connection.
    returnLease(lease_outcome::Broken);
    m_stream->close();
    m_environment.registry.remove(m_ticket.pid);
    sessionLog().write(log_level::Debug, std::to_string(m_ticket.pid) + " ended");
}

}
