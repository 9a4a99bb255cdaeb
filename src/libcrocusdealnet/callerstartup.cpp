#include "callerstartup.h"

#include "partlog.h"

#include <asio/bind_executor.hpp>

#include <charconv>
#include <chrono>

namespace crocusdeal
{

namespace
{

/** PostgreSQL refuses longer start-up messages as well. */
constexpr std::size_t maxStartupBytes = 10000;
constexpr std::size_t maxCallerMessageBytes = std::size_t{16} * 1024 * 1024;
constexpr std::chrono::seconds startupTimeLimit{10};
constexpr std::size_t readBytes = 1024;

const part_log &sessionLog()
{
    static const part_log log("session");
    return log;
}

std::string greeting()
{
    frame_writer writer;
    writer.begin('R').int32(0).end();
    writeParameterStatus(writer, "server_version", "15.0 (crocusdeal)");
    writeParameterStatus(writer, "server_encoding", "UTF8");
    writeParameterStatus(writer, "client_encoding", "UTF8");
    writeParameterStatus(writer, "DateStyle", "ISO, MDY");
    writeParameterStatus(writer, "TimeZone", "UTC");
    writeParameterStatus(writer, "integer_datetimes", "on");
    writeParameterStatus(writer, "standard_conforming_strings", "on");
    return writer.take();
}

}

caller_startup::caller_startup(startup_environment &environment, asio::ip::tcp::socket socket)
    : m_environment(environment)
    , m_strand(asio::make_strand(environment.sessions.io))
    , m_stream(std::make_unique<caller_stream>(std::move(socket), m_strand))
    , m_timer(environment.sessions.io)
    , m_reader(maxStartupBytes)
{
    m_reader.setStartup(true);
}

void caller_startup::start()
{
    m_timer.expires_after(startupTimeLimit);
    m_timer.async_wait(asio::bind_executor(m_strand, [self = shared_from_this()](std::error_code error) {
        if (!error && self->m_stream) {
            sessionLog().write(log_level::Info, "start-up not complete within 10 s, connection closed");
            self->m_stream->close();
        }
    }));
    read();
}

void caller_startup::read()
{
    char *buffer = m_reader.prepare(readBytes);
    m_stream->readSome(buffer, readBytes, [self = shared_from_this()](std::error_code error, std::size_t bytes) {
        self->onRead(error, bytes);
    });
}

void caller_startup::onRead(std::error_code error, std::size_t bytes)
{
    if (error) {
        close();
        return;
    }
    m_reader.commit(bytes);
    const auto frame = m_reader.next();
    if (m_reader.error()) {
        refuse("08P01", "invalid start-up message: " + std::string(frameErrorName(*m_reader.error())));
        return;
    }
    if (!frame) {
        read();
        return;
    }
    onMessage(parseStartupMessage(frame->payload));
}

void caller_startup::onMessage(const startup_message &message)
{
    switch (message.kind) {
    case startup_kind::TlsRequest:
    case startup_kind::GssRequest:
        answerTlsRequest(message.kind == startup_kind::TlsRequest);
        return;
    case startup_kind::Cancel:
        m_environment.sessions.registry->cancel(message.cancelPid, message.cancelKey);
        close();
        return;
    case startup_kind::Startup:
        beginSession(message);
        return;
    case startup_kind::Unsupported:
        refuse("08P01", "unsupported protocol version; version 3 is supported");
        return;
    case startup_kind::Malformed:
        refuse("08P01", "malformed start-up message");
        return;
    }
}

void caller_startup::answerTlsRequest(bool isTls)
{
    // Bytes sent before the answer would be taken as encrypted ones: a request smuggled in by someone in between.
    if (m_reader.unread() > 0 || m_stream->isTls()) {
        refuse("08P01", "unexpected data after the TLS request");
        return;
    }
    const bool accept = isTls && m_environment.tls;
    m_out = accept ? "S" : "N";
    m_stream->write(m_out, [self = shared_from_this(), accept](std::error_code error, std::size_t) {
        if (error) {
            self->close();
            return;
        }
        if (!accept) {
            self->read();
            return;
        }
        self->m_stream->startTls(*self->m_environment.tls, [self](std::error_code handshakeError) {
            if (handshakeError) {
                self->close();
                return;
            }
            self->read();
        });
    });
}

bool caller_startup::readOptions(const startup_message &message, session_options &options)
{
    if (const auto text = message.option("crocusdeal.session"); text && !text->empty()) {
        options.token = parseSessionToken(*text);
        if (!options.token) {
            refuse("22023", "invalid value for crocusdeal.session: expected group:term/offset");
            return false;
        }
    }
    if (const auto text = message.option("crocusdeal.max_staleness")) {
        std::int64_t ms = 0;
        const auto parsed = std::from_chars(text->data(), text->data() + text->size(), ms);
        if (parsed.ec != std::errc() || parsed.ptr != text->data() + text->size() || ms < 0) {
            refuse("22023", "invalid value for crocusdeal.max_staleness: expected milliseconds of 0 or more");
            return false;
        }
        if (ms > 0) {
            options.maxStaleness = duration{ms};
        }
    }
    return true;
}

void caller_startup::beginSession(const startup_message &message)
{
    if (m_environment.isDraining()) {
        refuse("57P03", "the instance is shutting down");
        return;
    }
    const auto replication = message.parameter("replication");
    if (!replication.empty() && replication != "false" && replication != "off" && replication != "0") {
        refuse("0A000", "replication connections are not supported through crocusdeal");
        return;
    }
    auto database = message.parameter("database");
    if (database.empty()) {
        database = message.parameter("user");
    }
    pg_error refusal;
    auto service = m_environment.findService(database, refusal);
    if (!service) {
        refuse(refusal.sqlState, refusal.message);
        return;
    }
    session_options options;
    if (!readOptions(message, options)) {
        return;
    }
    m_timer.cancel();
    frame_reader reader(maxCallerMessageBytes);
    reader.append(m_reader.takeRaw(m_reader.unread()));
    std::make_shared<caller_session>(
        m_environment.sessions, std::move(service), std::move(m_stream), m_strand, std::move(reader), options)
        ->start(greeting());
}

void caller_startup::refuse(const std::string &sqlState, const std::string &reason)
{
    sessionLog().write(log_level::Info, "start-up refused, " + sqlState + ": " + reason);
    frame_writer writer;
    writeError(writer, {"FATAL", sqlState, reason, {}, {}});
    m_out = writer.take();
    m_stream->write(m_out, [self = shared_from_this()](std::error_code, std::size_t) { self->close(); });
}

void caller_startup::close()
{
    m_timer.cancel();
    if (m_stream) {
        m_stream->close();
    }
}

}
