#include "controlconnection.h"

#include <libpq-fe.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration connectTimeout{500};

template<typename Number>
bool readNumber(const pg_result *result, int column, Number &value)
{
    const char *text = PQgetvalue(result, 0, column);
    const char *end = text + std::strlen(text);
    const auto [stop, error] = std::from_chars(text, end, value);
    return error == std::errc() && stop == end;
}

}

std::optional<control_row> parseControlRow(const pg_result *result, bool withGranted)
{
    const int first = withGranted ? 1 : 0;
    if (PQresultStatus(result) != PGRES_TUPLES_OK || PQntuples(result) != 1 || PQnfields(result) < first + 6) {
        return std::nullopt;
    }
    control_row row;
    const auto role = targetRoleNames.value(PQgetvalue(result, 0, first + 1));
    const auto at = parsePosition(PQgetvalue(result, 0, first + 2));
    if (!role || !at || !readNumber(result, first, row.status.term)
        || !readNumber(result, first + 3, row.status.connections)
        || !readNumber(result, first + 4, row.status.maxConnections)) {
        return std::nullopt;
    }
    row.status.role = *role;
    row.status.at = *at;
    row.status.following = PQgetvalue(result, 0, first + 5);
    row.granted = withGranted && PQgetvalue(result, 0, 0)[0] == 't';
    return row;
}

control_connection::control_connection(const strand &executor, control_connection_settings settings, clock now)
    : m_strand(executor)
    , m_settings(std::move(settings))
    , m_now(std::move(now))
    , m_timer(executor)
    , m_socket(executor)
{
}

control_connection::~control_connection()
{
    release();
}

bool control_connection::isBusy() const
{
    return static_cast<bool>(m_done);
}

bool control_connection::isOpen() const
{
    return m_state != state::Closed;
}

time_point control_connection::lastUsedAt() const
{
    return m_lastUsedAt;
}

void control_connection::run(std::string sql, bool withGranted, duration timeout, callback done)
{
    m_sql = std::move(sql);
    m_withGranted = withGranted;
    m_timeout = timeout;
    m_done = std::move(done);
    m_lastUsedAt = m_now();
    if (m_state == state::Idle) {
        send();
    } else {
        connect();
    }
}

void control_connection::close()
{
    if (isBusy()) {
        fail(control_error::Disconnected);
    }
    release();
}

void control_connection::connect()
{
    const auto port = std::to_string(m_settings.port);
    const std::array<const char *, 7> names{
        "hostaddr", "port", "user", "dbname", "application_name", "gssencmode", nullptr};
    const std::array<const char *, 7> values{m_settings.address.c_str(),
                                             port.c_str(),
                                             m_settings.user.c_str(),
                                             m_settings.database.c_str(),
                                             m_settings.applicationName.c_str(),
                                             "disable",
                                             nullptr};
    m_connection = PQconnectStartParams(names.data(), values.data(), 0);
    m_state = state::Connecting;
    if (m_connection == nullptr || PQstatus(m_connection) == CONNECTION_BAD) {
        // The callback must not run inside run().
        asio::post(m_strand, [self = shared_from_this(), generation = m_generation] {
            if (generation == self->m_generation) {
                self->fail(control_error::NotConnected);
            }
        });
        return;
    }
    startTimer(connectTimeout);
    waitWritable(&control_connection::continueConnecting);
}

void control_connection::continueConnecting()
{
    switch (PQconnectPoll(m_connection)) {
    case PGRES_POLLING_READING:
        waitReadable(&control_connection::continueConnecting);
        return;
    case PGRES_POLLING_WRITING:
        waitWritable(&control_connection::continueConnecting);
        return;
    case PGRES_POLLING_OK:
        PQsetnonblocking(m_connection, 1);
        send();
        return;
    default:
        fail(control_error::NotConnected);
        return;
    }
}

void control_connection::send()
{
    m_state = state::Running;
    m_sentAt = m_now();
    startTimer(m_timeout);
    if (PQsendQuery(m_connection, m_sql.c_str()) == 0) {
        // An idle connection that the database closed is noticed only here: nothing was sent.
        asio::post(m_strand, [self = shared_from_this(), generation = m_generation] {
            if (generation == self->m_generation) {
                self->fail(control_error::NotConnected);
            }
        });
        return;
    }
    continueSending();
}

void control_connection::continueSending()
{
    const int unsent = PQflush(m_connection);
    if (unsent > 0) {
        waitWritable(&control_connection::continueSending);
        return;
    }
    waitReadable(&control_connection::receive);
}

void control_connection::receive()
{
    if (PQconsumeInput(m_connection) == 0) {
        fail(control_error::Disconnected);
        return;
    }
    if (PQisBusy(m_connection) != 0) {
        waitReadable(&control_connection::receive);
        return;
    }
    takeResult();
}

void control_connection::takeResult()
{
    control_result result;
    result.error = control_error::BadAnswer;
    for (;;) {
        if (PQisBusy(m_connection) != 0) {
            waitReadable(&control_connection::receive);
            return;
        }
        const std::unique_ptr<pg_result, void (*)(pg_result *)> part(PQgetResult(m_connection), &PQclear);
        if (!part) {
            break;
        }
        if (const auto row = parseControlRow(part.get(), m_withGranted)) {
            result.error = control_error::None;
            result.row = *row;
        } else if (PQresultStatus(part.get()) == PGRES_FATAL_ERROR) {
            result.error = control_error::ServerError;
            result.message = PQresultErrorMessage(part.get());
        }
    }
    if (PQstatus(m_connection) == CONNECTION_BAD) {
        fail(control_error::Disconnected);
        return;
    }
    m_state = state::Idle;
    finish(std::move(result));
}

// libpq may replace its socket while it connects, for instance after a refused TLS request. Waiting on a duplicate
// keeps Asio's registration apart from the descriptors that libpq closes.
void control_connection::watchSocket()
{
    if (m_socket.is_open() && m_state != state::Connecting) {
        return;
    }
    asio::error_code ignored;
    m_socket.close(ignored);
    m_socket.assign(::dup(PQsocket(m_connection)), ignored);
}

void control_connection::waitReadable(void (control_connection::*next)())
{
    watchSocket();
    m_socket.async_wait(asio::posix::stream_descriptor::wait_read,
                        [self = shared_from_this(), generation = m_generation, next](const asio::error_code &error) {
                            if (generation == self->m_generation && !error) {
                                (self.get()->*next)();
                            }
                        });
}

void control_connection::waitWritable(void (control_connection::*next)())
{
    watchSocket();
    m_socket.async_wait(asio::posix::stream_descriptor::wait_write,
                        [self = shared_from_this(), generation = m_generation, next](const asio::error_code &error) {
                            if (generation == self->m_generation && !error) {
                                (self.get()->*next)();
                            }
                        });
}

void control_connection::startTimer(duration timeout)
{
    m_timer.expires_after(std::chrono::milliseconds(timeout.ms));
    m_timer.async_wait([self = shared_from_this(), generation = m_generation](const asio::error_code &error) {
        if (error || generation != self->m_generation || !self->isBusy()) {
            return;
        }
        if (self->m_timer.expiry() > std::chrono::steady_clock::now()) {
            return;
        }
        self->fail(self->m_state == state::Running ? control_error::TimedOut : control_error::NotConnected);
    });
}

void control_connection::fail(control_error error)
{
    control_result result;
    result.error = error;
    result.message = m_connection != nullptr ? PQerrorMessage(m_connection) : "out of memory";
    // libpq tells the reason in this text only.
    result.refused = m_state == state::Connecting
        && result.message.find(std::generic_category().message(ECONNREFUSED)) != std::string::npos;
    release();
    finish(std::move(result));
}

void control_connection::finish(control_result result)
{
    m_timer.cancel();
    result.sentAt = m_sentAt;
    m_lastUsedAt = m_now();
    auto done = std::move(m_done);
    m_done = nullptr;
    if (done) {
        done(result);
    }
}

void control_connection::release()
{
    ++m_generation;
    asio::error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
    if (m_connection != nullptr) {
        PQfinish(m_connection);
        m_connection = nullptr;
    }
    m_state = state::Closed;
}

}
