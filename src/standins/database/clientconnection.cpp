#include "clientconnection.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <random>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxMessageBytes = 64U << 20U;
constexpr std::size_t readBytes = 16U << 10U;
/** Output above this is sent before the next message is read, so that a pipeline stays bounded. */
constexpr std::size_t flushBytes = 64U << 10U;

constexpr std::int32_t protocol3 = 196608;
constexpr std::int32_t cancelCode = 80877102;
constexpr std::int32_t sslCode = 80877103;
constexpr std::int32_t gssCode = 80877104;

std::int32_t randomSecret()
{
    thread_local std::mt19937 engine(std::random_device{}());
    return static_cast<std::int32_t>(engine());
}

/** The settings of "-c name=value -c name=value". */
void readOptions(std::string_view text, session_parameters &parameters)
{
    for (auto at = text.find("-c"); at != std::string_view::npos; at = text.find("-c", at + 1)) {
        const auto begin = text.find_first_not_of(' ', at + 2);
        const auto equals = text.find('=', at);
        if (begin == std::string_view::npos || equals == std::string_view::npos) {
            return;
        }
        const auto end = text.find(' ', equals);
        parameters[std::string(text.substr(begin, equals - begin))] = text.substr(equals + 1, end - equals - 1);
    }
}

}

client_connection::client_connection(server &owner, strand_socket socket)
    : m_server(owner)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_reader(maxMessageBytes)
    , m_secret(randomSecret())
{
}

client_connection::~client_connection()
{
    if (m_pid != 0) {
        m_server.remove(m_pid);
    }
    if (m_counted) {
        m_server.data().closeConnection();
    }
}

void client_connection::start()
{
    asio::error_code error;
    const auto remote = m_socket.remote_endpoint(error);
    if (error) {
        return;
    }
    m_peer.host = remote.address().to_string();
    m_peer.address = m_peer.host + ':' + std::to_string(remote.port());
    m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    m_socket.non_blocking(true, error);
    m_pid = m_server.add(shared_from_this());
    m_reader.setStartup(true);
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->read(); });
}

void client_connection::cancel(std::int32_t secret)
{
    if (m_secret == secret) {
        cancelRunning();
    }
}

void client_connection::cancelRunning()
{
    std::shared_ptr<sql_session> target;
    {
        const std::lock_guard lock(m_cancelMutex);
        target = m_cancelTarget;
    }
    if (target) {
        target->cancel();
    }
}

void client_connection::closeFromOutside()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->closeNow(); });
    cancelRunning();
}

std::shared_ptr<session_host> client_connection::hold()
{
    return shared_from_this();
}

frame_writer &client_connection::out()
{
    return m_writer;
}

bool client_connection::isSyncNext() const
{
    return m_reader.frontType() == 'S';
}

void client_connection::resume()
{
    process();
}

void client_connection::closeNow()
{
    m_silent = true;
    m_timer.cancel();
    asio::error_code ignored;
    m_socket.close(ignored);
}

void client_connection::silence()
{
    m_silent = true;
}

void client_connection::read()
{
    if (m_reading) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_reader.prepare(readBytes), readBytes),
                             [self = shared_from_this()](asio::error_code error, std::size_t count) {
                                 self->m_reading = false;
                                 if (error) {
                                     self->onEnded();
                                     return;
                                 }
                                 self->m_reader.commit(count);
                                 self->process();
                             });
}

void client_connection::onEnded()
{
    const auto again = [self = shared_from_this()] {
        asio::post(self->m_socket.get_executor(), [self] { self->onEnded(); });
    };
    if (!m_server.faults().any() || !m_server.faults().holdsEndOf(m_peer, again)) {
        closeNow();
    }
}

void client_connection::process()
{
    if (m_processing || m_waiting || m_held || !m_socket.is_open()) {
        return;
    }
    const auto again = [self = shared_from_this()] {
        asio::post(self->m_socket.get_executor(), [self] {
            self->m_held = false;
            self->process();
        });
    };
    m_processing = true;
    bool starved = false;
    while (!starved && !m_waiting && m_socket.is_open() && m_writer.str().size() < flushBytes) {
        const bool busy = (m_handler && m_handler->isBusy()) || (m_feed && m_feed->isBusy());
        if (busy || m_closing) {
            break;
        }
        m_held = m_server.faults().any() && m_server.faults().holdsFrom(m_peer, again);
        if (m_held) {
            break;
        }
        starved = !processFrame();
    }
    m_processing = false;
    if (starved && m_reader.error()) {
        reject("08P01", std::string(frameErrorName(*m_reader.error())));
    }
    m_wantsRead = starved && !m_closing;
    m_wantsProcess = m_writer.str().size() >= flushBytes;
    flush();
}

bool client_connection::processFrame()
{
    const auto frame = m_reader.next();
    if (!frame) {
        return false;
    }
    if (!m_started) {
        onStartup(frame->payload);
    } else if (m_feed) {
        m_feed->handle(*frame);
    } else {
        m_handler->handle(*frame);
    }
    return true;
}

void client_connection::flush()
{
    if (m_writing || !m_socket.is_open()) {
        return;
    }
    if (m_silent) {
        m_writer.take();
    }
    if (m_writer.empty()) {
        finishWrite();
        return;
    }
    m_writing = true;
    m_sending = m_writer.take();
    m_sent = 0;
    writeRest();
}

void client_connection::writeRest()
{
    const auto again = [self = shared_from_this()] {
        asio::post(self->m_socket.get_executor(), [self] { self->writeRest(); });
    };
    if (m_server.faults().any() && m_server.faults().holdsTo(m_peer, again)) {
        return;
    }
    // Most answers fit into the socket buffer, so a direct attempt saves a turn through the event loop.
    asio::error_code error;
    m_sent += m_socket.write_some(asio::buffer(m_sending) + m_sent, error);
    if (error && error != asio::error::would_block) {
        onEnded();
        return;
    }
    if (m_sent == m_sending.size()) {
        m_writing = false;
        finishWrite();
        return;
    }
    m_socket.async_wait(strand_socket::wait_write, [self = shared_from_this()](asio::error_code failed) {
        if (!failed) {
            self->writeRest();
        }
    });
}

void client_connection::finishWrite()
{
    if (!m_writer.empty() && !m_silent) {
        flush();
        return;
    }
    if (m_closing) {
        closeNow();
        return;
    }
    if (std::exchange(m_wantsRead, false)) {
        read();
    } else if (std::exchange(m_wantsProcess, false)) {
        process();
    }
}

void client_connection::onStartup(std::string_view payload)
{
    payload_reader reader(payload);
    const auto code = reader.readInt32();
    if (code == sslCode || code == gssCode) {
        m_writer.raw("N");
        return;
    }
    if (code == cancelCode) {
        const auto pid = reader.readInt32();
        m_server.cancel(pid, reader.readInt32());
        m_closing = true;
        return;
    }
    if (code != protocol3) {
        reject("08P01", "unsupported protocol version");
        return;
    }
    m_started = true;
    m_reader.setStartup(false);
    readParameters(reader);
    if (m_parameters.contains("replication")) {
        m_feed = std::make_unique<replication_feed>(m_server.data(), *this, m_socket.get_executor());
        return;
    }
    openSession();
}

void client_connection::readParameters(payload_reader &reader)
{
    for (;;) {
        const std::string name(reader.readString());
        if (name.empty()) {
            break;
        }
        const auto value = reader.readString();
        if (name == "options") {
            readOptions(value, m_parameters);
        } else {
            m_parameters[name] = value;
        }
    }
    if (const auto found = m_parameters.find("application_name"); found != m_parameters.end()) {
        m_peer.application = found->second;
    }
}

void client_connection::openSession()
{
    auto &settings = m_server.settings();
    if (!m_server.data().openConnection()) {
        reject("53300", "sorry, too many clients already");
        return;
    }
    m_counted = true;
    m_waiting = true;
    m_timer.expires_after(std::chrono::milliseconds(settings.connectMs));
    m_timer.async_wait([self = shared_from_this()](asio::error_code error) {
        self->m_waiting = false;
        if (!error) {
            self->sendWelcome();
            self->process();
        }
    });
}

void client_connection::sendWelcome()
{
    m_handler = std::make_unique<message_handler>(m_server, *this, m_socket.get_executor(), m_pid, m_parameters);
    {
        const std::lock_guard lock(m_cancelMutex);
        m_cancelTarget = m_handler->session();
    }
    m_writer.begin('R').int32(0).end();
    writeParameterStatus(m_writer, "server_version", "15.0");
    writeParameterStatus(m_writer, "server_encoding", "UTF8");
    writeParameterStatus(m_writer, "client_encoding", "UTF8");
    writeParameterStatus(m_writer, "DateStyle", "ISO, MDY");
    writeParameterStatus(m_writer, "TimeZone", "UTC");
    writeParameterStatus(m_writer, "integer_datetimes", "on");
    writeParameterStatus(m_writer, "standard_conforming_strings", "on");
    writeParameterStatus(m_writer, "application_name", m_peer.application);
    m_writer.begin('K').int32(m_pid).int32(m_secret).end();
    m_handler->sendReady();
}

void client_connection::reject(const std::string &sqlState, const std::string &message)
{
    writeError(m_writer, {"FATAL", sqlState, message, {}, {}});
    m_closing = true;
}

}
