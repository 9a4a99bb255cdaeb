#include "callersession.h"

#include "partlog.h"
#include "requestcheck.h"
#include "systemclock.h"

#include <asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

/** A batch above this is refused, so that one caller cannot take the instance's memory. */
constexpr std::size_t maxBatchBytes = std::size_t{64} * 1024 * 1024;

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

}

caller_session::caller_session(session_environment &environment,
                               std::shared_ptr<const service_hooks> service,
                               std::unique_ptr<caller_stream> stream,
                               strand executor,
                               frame_reader reader,
                               const session_options &options)
    : m_registry(environment.registry)
    , m_context{.environment = environment,
                .service = std::move(service),
                .strand = std::move(executor),
                .caller = caller_channel(std::move(stream), std::move(reader)),
                .settings = session_settings(systemNow(), options)}
    , m_run(m_context)
{
}

caller_session::~caller_session()
{
    m_registry->remove(m_context.ticket.pid);
}

void caller_session::start(const std::string &greeting)
{
    m_context.ticket = m_registry->add(shared_from_this());
    m_context.caller.start(weak_from_this(),
                           {.onReceived =
                                [this] {
                                    if (m_context.phase == session_phase::Idle) {
                                        nextRequest();
                                    }
                                },
                            .onReadFailed = [this] { onCallerGone(); },
                            .onWriting = [this] { m_context.request.onForwarded(); },
                            .onWriteFailed = [this] { closeNow(); }});
    m_run.start(weak_from_this(),
                {.answer = [this](bool reportToken) { finishAnswer(reportToken); },
                 .reportError = [this](const pg_error &error) { reportError(error); },
                 .flushAnswered = [this] { m_context.caller.flush([this] { endRequest(); }); },
                 .close = [this] { closeNow(); }});

    frame_writer writer;
    writer.raw(greeting);
    writer.begin('K').int32(m_context.ticket.pid).int32(m_context.ticket.key).end();
    writeReadyForQuery(writer, 'I');
    m_context.caller.out() = writer.take();
    sessionLog().write(log_level::Debug, std::to_string(m_context.ticket.pid) + " started");
    m_context.caller.flush([this] {
        m_context.caller.read();
        nextRequest();
    });
}

bool caller_session::isBusy() const
{
    return m_context.busy.load(std::memory_order_relaxed);
}

void caller_session::cancelRequest()
{
    asio::dispatch(m_context.strand, [self = shared_from_this()] { self->m_run.cancel(); });
}

void caller_session::drain()
{
    asio::dispatch(m_context.strand, [self = shared_from_this()] {
        self->m_draining = true;
        if (self->m_context.phase == session_phase::Idle && !self->m_run.hasLease() && self->m_context.batch.empty()) {
            self->endForShutdown();
        }
    });
}

void caller_session::abort()
{
    asio::dispatch(m_context.strand, [self = shared_from_this()] {
        if (self->m_context.phase != session_phase::Closed) {
            sessionLog().write(log_level::Warn,
                               std::to_string(self->m_context.ticket.pid)
                                   + " aborted with a request or transaction open");
            self->closeNow();
        }
    });
}

void caller_session::onCallerGone()
{
    m_context.callerGone = true;
    if (m_context.phase == session_phase::Idle) {
        closeNow();
        return;
    }
    m_run.onCallerGone();
}

void caller_session::nextRequest()
{
    while (m_context.phase == session_phase::Idle) {
        const auto frame = m_context.caller.reader().next();
        if (m_context.caller.reader().error()) {
            fail(makeFatal("08P01", std::string(frameErrorName(*m_context.caller.reader().error()))));
            return;
        }
        if (!frame) {
            if (m_context.callerGone) {
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
        const auto progress = m_context.batch.add(*frame);
        if (progress == request_batch::progress::Malformed || progress == request_batch::progress::Unsupported) {
            fail(makeFatal("08P01", std::string("unexpected or malformed message of type '") + frame->type + "'"));
            return;
        }
        if (m_context.batch.allBytes().size() > maxBatchBytes) {
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
    const auto receivedAt = systemNow();
    m_preciseStart = std::chrono::steady_clock::now();
    m_context.caller.beginAnswer();
    const auto info = classifyBatch(m_context.batch, m_context.statements, m_context.environment.statements);
    if (m_context.awaitingSync) {
        m_context.info.cls = std::max(m_context.info.cls, info.cls);
        m_context.info.endsTransaction = m_context.info.endsTransaction || info.endsTransaction;
        m_run.continueAfterFlush();
        return;
    }
    m_context.info = info;
    m_context.request = request(m_context.transaction.scopeOf(m_context.info, true));
    const bool onlySync =
        !m_context.batch.isSimple() && m_context.batch.steps().size() == 1 && m_context.batch.endsWithSync();
    if (onlySync || m_context.info.onlyProxySettings
        || (m_context.batch.isSimple() && m_context.info.cls == statement_class::Empty)) {
        handleLocally();
        return;
    }
    if (const auto error = unsupportedRequestError(
            m_context.info, m_context.batch, !m_context.settings.requestKey().empty(), m_run.hasLease())) {
        m_context.setPhase(session_phase::Running);
        reportError(*error);
        return;
    }
    if (m_context.transaction.isFailed()) {
        answerInFailedTransaction();
        return;
    }
    m_run.begin(receivedAt);
}

void caller_session::handleLocally()
{
    m_context.setPhase(session_phase::Running);
    frame_writer writer;
    if (m_context.info.onlyProxySettings) {
        m_context.statements.apply(m_context.batch);
        writeSettingReplies(writer, m_context.batch, m_context.statements, [this](const proxy_setting &setting) {
            return m_context.settings.apply(setting);
        });
    } else if (m_context.batch.isSimple()) {
        writer.begin('I').end();
    }
    m_context.caller.out() += writer.take();
    if (!m_context.batch.endsWithSync()) {
        m_context.request.onAnswered();
        m_context.caller.flush([this] { endRequest(); });
        return;
    }
    finishAnswer(false);
}

void caller_session::answerInFailedTransaction()
{
    m_context.setPhase(session_phase::Running);
    if (m_context.info.cls == statement_class::Rollback || m_context.info.cls == statement_class::Commit) {
        m_context.transaction.endFailed();
        if (m_context.batch.isSimple()) {
            frame_writer writer;
            writeCommandComplete(writer, "ROLLBACK");
            m_context.caller.out() += writer.take();
            finishAnswer(false);
            return;
        }
        reportError(makeError("40001", "the transaction was rolled back: its target connection was lost"));
        return;
    }
    reportError(makeError("25P02", "current transaction is aborted, commands ignored until end of transaction block"));
}

void caller_session::endForShutdown()
{
    const auto answer = m_context.request.fail(request_failure::Shutdown);
    fail({"FATAL", std::string(answer.sqlState), std::string(answer.message), {}, {}});
}

void caller_session::finishAnswer(bool reportToken)
{
    frame_writer writer;
    if (reportToken) {
        writeParameterStatus(writer, tokenParameter, toString(m_context.settings.state().token()));
    }
    writeReadyForQuery(writer, m_context.transaction.status());
    m_context.caller.out() += writer.take();
    m_context.request.onAnswered();
    m_context.environment.onAnswered(
        m_context.info.cls,
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - m_preciseStart));
    m_context.caller.flush([this] { endRequest(); });
}

/** Ends the request with an error, in place of whatever the target may have answered. */
void caller_session::reportError(const pg_error &error)
{
    if (m_context.awaitingSync && !m_context.batch.endsWithSync()) {
        fail({"FATAL", error.sqlState, error.message, error.detail, error.hint});
        return;
    }
    m_context.awaitingSync = false;
    if (!m_context.caller.hasSent()) {
        m_context.caller.out().clear();
    }
    frame_writer writer;
    writeError(writer, error);
    m_context.caller.out() += writer.take();
    if (!m_context.batch.endsWithSync()) {
        // The rest of the batch up to the Sync has to be ignored, which only a new session state could do.
        fail({"FATAL", error.sqlState, error.message, error.detail, error.hint});
        return;
    }
    finishAnswer(false);
}

void caller_session::endRequest()
{
    m_run.end();
    m_context.batch.clear();
    m_context.setPhase(session_phase::Idle);
    if (m_context.callerGone) {
        closeNow();
        return;
    }
    if (m_draining && !m_run.hasLease() && !m_context.transaction.isFailed()) {
        endForShutdown();
        return;
    }
    nextRequest();
    m_context.caller.read();
}

void caller_session::fail(const pg_error &error)
{
    frame_writer writer;
    writeError(writer, error);
    m_context.caller.out() = writer.take();
    m_context.setPhase(session_phase::Closing);
    m_context.caller.flush([this] { closeNow(); });
}

void caller_session::closeNow()
{
    if (m_context.phase == session_phase::Closed) {
        return;
    }
    m_context.setPhase(session_phase::Closed);
    m_run.close();
    m_context.caller.close();
    m_registry->remove(m_context.ticket.pid);
    sessionLog().write(log_level::Debug, std::to_string(m_context.ticket.pid) + " ended");
}

}
