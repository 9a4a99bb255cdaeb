#include "targetconnection.h"

#include <asio/bind_executor.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <libpq-fe.h>

#include <array>
#include <chrono>
#include <poll.h>
#include <unistd.h>

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxTargetMessageBytes = std::size_t{1} << 30U;

std::string lastError(PGconn *connection)
{
    std::string text = PQerrorMessage(connection);
    while (!text.empty() && text.back() == '\n') {
        text.pop_back();
    }
    return text;
}

/** libpq gives no SQLSTATE for a failed start-up, so the message tells a full database from other refusals. */
connect_error classifyFailure(const std::string &message)
{
    if (message.find("too many") != std::string::npos
        || message.find("remaining connection slots") != std::string::npos) {
        return connect_error::Full;
    }
    return message.find("FATAL") != std::string::npos ? connect_error::Rejected : connect_error::Unreachable;
}

}

struct target_connection::state {
    state(asio::io_context &io, PGconn *pgConnection, target_id targetId)
        : connection(pgConnection)
        , socket(io)
        , reader(maxTargetMessageBytes)
        , target(std::move(targetId))
    {
    }

    PGconn *connection;
    asio::ip::tcp::socket socket;
    frame_reader reader;
    target_id target;
    std::unordered_set<std::string> prepared;
    std::string unnamedStatement;
    std::string lastGroupState;
};

/** One attempt to open a connection; keeps itself alive until its handler was called. */
class connect_attempt : public std::enable_shared_from_this<connect_attempt>
{
public:
    connect_attempt(asio::io_context &io,
                    target_connection_settings settings,
                    target_connection::connect_handler handler)
        : m_io(io)
        , m_strand(asio::make_strand(io))
        , m_descriptor(io)
        , m_timer(io)
        , m_settings(std::move(settings))
        , m_handler(std::move(handler))
    {
    }

    ~connect_attempt()
    {
        if (m_connection != nullptr) {
            PQfinish(m_connection);
        }
    }

    connect_attempt(const connect_attempt &) = delete;
    connect_attempt &operator=(const connect_attempt &) = delete;

    void start()
    {
        const std::string port = std::to_string(m_settings.address.port);
        const std::array<const char *, 8> keywords{
            "hostaddr", "port", "dbname", "user", "application_name", "sslmode", "gssencmode", nullptr};
        const std::array<const char *, 8> values{m_settings.address.host.c_str(),
                                                 port.c_str(),
                                                 m_settings.database.c_str(),
                                                 m_settings.user.c_str(),
                                                 m_settings.applicationName.c_str(),
                                                 "disable",
                                                 "disable",
                                                 nullptr};
        constexpr int expandNoName = 0;
        m_connection = PQconnectStartParams(keywords.data(), values.data(), expandNoName);
        if (m_connection == nullptr || PQstatus(m_connection) == CONNECTION_BAD) {
            finish(m_connection == nullptr ? "out of memory" : lastError(m_connection));
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds(m_settings.timeout.ms));
        m_timer.async_wait(asio::bind_executor(m_strand, [self = shared_from_this()](std::error_code error) {
            if (!error) {
                self->finish("timed out");
            }
        }));
        wait(PGRES_POLLING_WRITING);
    }

private:
    void wait(PostgresPollingStatusType direction)
    {
        if (!m_descriptor.is_open()) {
            m_descriptor.assign(dup(PQsocket(m_connection)));
        }
        const auto type = direction == PGRES_POLLING_READING ? asio::posix::descriptor_base::wait_read
                                                             : asio::posix::descriptor_base::wait_write;
        m_descriptor.async_wait(type, asio::bind_executor(m_strand, [self = shared_from_this()](std::error_code error) {
                                    if (!error) {
                                        self->poll();
                                    }
                                }));
    }

    void poll()
    {
        if (!m_handler) {
            return;
        }
        const auto status = PQconnectPoll(m_connection);
        if (status == PGRES_POLLING_FAILED) {
            finish(lastError(m_connection));
            return;
        }
        if (status != PGRES_POLLING_OK) {
            wait(status);
            return;
        }
        succeed();
    }

    void succeed()
    {
        m_timer.cancel();
        const int fd = m_descriptor.release();
        std::shared_ptr<target_connection> connection(new target_connection(m_io, m_connection, m_settings.address.id));
        m_connection = nullptr;
        std::error_code error;
        connection->socket().assign(m_settings.address.host.find(':') == std::string::npos ? asio::ip::tcp::v4()
                                                                                           : asio::ip::tcp::v6(),
                                    fd,
                                    error);
        if (!error) {
            connection->socket().non_blocking(true, error);
        }
        connection->lastGroupState() = connection->parameter("group_state");
        const auto handler = std::exchange(m_handler, nullptr);
        if (error) {
            handler(nullptr, connect_error::Unreachable, error.message());
            return;
        }
        handler(std::move(connection), connect_error::None, {});
    }

    void finish(const std::string &reason)
    {
        if (!m_handler) {
            return;
        }
        m_timer.cancel();
        std::error_code ignored;
        m_descriptor.close(ignored);
        const auto handler = std::exchange(m_handler, nullptr);
        handler(nullptr, classifyFailure(reason), reason);
    }

    asio::io_context &m_io;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::posix::stream_descriptor m_descriptor;
    asio::steady_timer m_timer;
    target_connection_settings m_settings;
    target_connection::connect_handler m_handler;
    PGconn *m_connection = nullptr;
};

void target_connection::open(asio::io_context &io, const target_connection_settings &settings, connect_handler handler)
{
    std::make_shared<connect_attempt>(io, settings, std::move(handler))->start();
}

target_connection::target_connection(asio::io_context &io, void *connection, target_id target)
    : m_state(std::make_unique<state>(io, static_cast<PGconn *>(connection), std::move(target)))
{
}

target_connection::~target_connection()
{
    std::error_code ignored;
    m_state->socket.close(ignored);
    PQfinish(m_state->connection);
}

asio::ip::tcp::socket &target_connection::socket()
{
    return m_state->socket;
}

frame_reader &target_connection::reader()
{
    return m_state->reader;
}

const target_id &target_connection::target() const
{
    return m_state->target;
}

std::string target_connection::parameter(const char *name) const
{
    const char *value = PQparameterStatus(m_state->connection, name);
    return value == nullptr ? std::string() : std::string(value);
}

std::unordered_set<std::string> &target_connection::prepared()
{
    return m_state->prepared;
}

std::string &target_connection::unnamedStatement()
{
    return m_state->unnamedStatement;
}

std::string &target_connection::lastGroupState()
{
    return m_state->lastGroupState;
}

bool target_connection::isStale()
{
    if (m_state->reader.unread() > 0) {
        return true;
    }
    pollfd descriptor{m_state->socket.native_handle(), POLLIN, 0};
    return ::poll(&descriptor, 1, 0) != 0;
}

void target_connection::cancelStatement()
{
    PGcancel *cancel = PQgetCancel(m_state->connection);
    if (cancel == nullptr) {
        return;
    }
    std::array<char, 256> error{};
    PQcancel(cancel, error.data(), static_cast<int>(error.size()));
    PQfreeCancel(cancel);
}

}
