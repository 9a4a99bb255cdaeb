#include "pgconnection.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

using clock = std::chrono::steady_clock;

std::string stateOf(const PGresult *result)
{
    const char *state = PQresultErrorField(result, PG_DIAG_SQLSTATE);
    return state == nullptr ? "lost" : state;
}

std::string firstValue(const PGresult *result)
{
    return PQntuples(result) > 0 && PQnfields(result) > 0 ? PQgetvalue(result, 0, 0) : "";
}

}

pg_connection::pg_connection(asio::io_context &context, std::chrono::milliseconds timeout)
    : m_descriptor(context)
    , m_timer(context)
    , m_timeout(timeout)
{
}

pg_connection::~pg_connection()
{
    if (m_descriptor.is_open()) {
        m_descriptor.release();
    }
    PQfinish(m_connection);
}

void pg_connection::open(const std::string &connection, bool pipeline, opened_callback opened)
{
    m_opened = std::move(opened);
    m_pipeline = pipeline;
    m_connection = PQconnectStart(connection.c_str());
    if (m_connection == nullptr || PQstatus(m_connection) == CONNECTION_BAD) {
        finishOpen(false);
        return;
    }
    m_timer.expires_after(m_timeout);
    m_timer.async_wait([self = shared_from_this()](asio::error_code error) {
        if (!error && !self->m_open) {
            self->finishOpen(false);
        }
    });
    m_descriptor.assign(PQsocket(m_connection));
    m_descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                            [self = shared_from_this()](asio::error_code e) {
                                if (!e) {
                                    self->pollConnect();
                                }
                            });
}

void pg_connection::pollConnect()
{
    const auto state = PQconnectPoll(m_connection);
    if (state == PGRES_POLLING_OK || state == PGRES_POLLING_FAILED) {
        finishOpen(state == PGRES_POLLING_OK);
        return;
    }
    const auto direction = state == PGRES_POLLING_READING ? asio::posix::stream_descriptor::wait_read
                                                          : asio::posix::stream_descriptor::wait_write;
    m_descriptor.async_wait(direction, [self = shared_from_this()](asio::error_code error) {
        if (!error) {
            self->pollConnect();
        }
    });
}

void pg_connection::finishOpen(bool ok)
{
    m_timer.cancel();
    m_open = ok;
    if (ok) {
        PQsetnonblocking(m_connection, 1);
        if (m_pipeline) {
            PQenterPipelineMode(m_connection);
        }
        watchRead();
    } else if (m_descriptor.is_open()) {
        m_descriptor.release();
    }
    if (const auto opened = std::exchange(m_opened, nullptr)) {
        opened(ok);
    }
}

bool pg_connection::isOpen() const
{
    return m_open;
}

std::string pg_connection::parameterStatus(const char *name) const
{
    const char *value = PQparameterStatus(m_connection, name);
    return value == nullptr ? "" : value;
}

std::string pg_connection::error() const
{
    return PQerrorMessage(m_connection);
}

void pg_connection::close()
{
    m_opened = nullptr;
    fail("lost");
}

void pg_connection::run(std::vector<sql_call> calls, bool simpleProtocol, done_callback done)
{
    request added;
    added.calls = std::move(calls);
    added.simple = simpleProtocol;
    added.done = std::move(done);
    added.deadline = clock::now() + m_timeout;
    m_requests.push_back(std::move(added));
    armTimeout();
    if (m_pipeline) {
        sendPipelined(m_requests.back());
    } else if (m_requests.size() == 1) {
        sendNext();
    }
}

void pg_connection::armTimeout()
{
    if (m_timerArmed || m_requests.empty()) {
        return;
    }
    m_timerArmed = true;
    m_timer.expires_at(m_requests.front().deadline);
    m_timer.async_wait([self = shared_from_this()](asio::error_code error) {
        self->m_timerArmed = false;
        if (error || !self->m_open) {
            return;
        }
        if (!self->m_requests.empty() && self->m_requests.front().deadline <= clock::now()) {
            self->fail("timeout");
            return;
        }
        self->armTimeout();
    });
}

bool pg_connection::send(const request &r, const sql_call &call)
{
    std::vector<const char *> values;
    values.reserve(call.values.size());
    for (const auto &value : call.values) {
        values.push_back(value.c_str());
    }
    const auto count = static_cast<int>(values.size());
    const auto *data = values.data();
    if (r.simple) {
        return PQsendQuery(m_connection, call.sql.c_str()) == 1;
    }
    if (call.preparedName.empty()) {
        return PQsendQueryParams(m_connection, call.sql.c_str(), count, nullptr, data, nullptr, nullptr, 0) == 1;
    }
    return PQsendQueryPrepared(m_connection, call.preparedName.c_str(), count, data, nullptr, nullptr, 0) == 1;
}

void pg_connection::sendPipelined(request &r)
{
    bool sent = true;
    for (std::size_t i = 0; i < r.calls.size(); ++i) {
        const auto &call = r.calls[i];
        if (!call.preparedName.empty()
            && std::find(m_prepared.begin(), m_prepared.end(), call.preparedName) == m_prepared.end()) {
            m_prepared.push_back(call.preparedName);
            sent = sent && PQsendPrepare(m_connection, call.preparedName.c_str(), call.sql.c_str(), 0, nullptr) == 1;
            r.preparesBefore.push_back(i);
        }
        sent = sent && send(r, call);
    }
    sent = sent && PQpipelineSync(m_connection) == 1;
    sent ? flush() : fail("lost");
}

void pg_connection::sendNext()
{
    auto &front = m_requests.front();
    static const sql_call rollback{"ROLLBACK", {}, {}};
    const auto &call = front.rollingBack ? rollback : front.calls[front.answered];
    const bool known = call.preparedName.empty()
        || std::find(m_prepared.begin(), m_prepared.end(), call.preparedName) != m_prepared.end();
    const bool sent = known ? send(front, call)
                            : PQsendPrepare(m_connection, call.preparedName.c_str(), call.sql.c_str(), 0, nullptr) == 1;
    sent ? flush() : fail("lost");
}

void pg_connection::flush()
{
    if (m_flushing) {
        return;
    }
    const int state = PQflush(m_connection);
    if (state < 0) {
        fail("lost");
    } else if (state > 0) {
        m_flushing = true;
        m_descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                [self = shared_from_this()](asio::error_code error) {
                                    self->m_flushing = false;
                                    if (!error && self->m_open) {
                                        self->flush();
                                    }
                                });
    }
}

void pg_connection::watchRead()
{
    m_descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                            [self = shared_from_this()](asio::error_code error) {
                                if (!error && self->m_open) {
                                    self->onReadable();
                                }
                            });
}

void pg_connection::onReadable()
{
    if (PQconsumeInput(m_connection) == 0) {
        fail("lost");
        return;
    }
    while (m_open && !m_requests.empty() && PQisBusy(m_connection) == 0) {
        if (!(m_pipeline ? readPipelined() : readSequential())) {
            break;
        }
    }
    if (m_open && PQstatus(m_connection) == CONNECTION_BAD) {
        fail("lost");
    }
    if (m_open) {
        watchRead();
    }
}

void pg_connection::onResult(request &r, PGresult *result)
{
    const auto status = PQresultStatus(result);
    const bool ok = status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK || status == PGRES_EMPTY_QUERY;
    const auto at = std::min(r.answered, r.calls.size() - 1);
    if (r.rollingBack || !r.outcome.sqlState.empty()) {
        return;
    }
    if (!ok) {
        r.outcome.failedAt = at;
        r.outcome.sqlState = status == PGRES_PIPELINE_ABORTED ? "25P02" : stateOf(result);
    } else if (r.calls[at].sql == "COMMIT" && PQcmdStatus(result) != std::string("COMMIT")) {
        r.outcome.failedAt = at;
        r.outcome.sqlState = "25P02";
    } else if (r.outcome.values.size() <= at) {
        r.outcome.values.push_back(firstValue(result));
    }
}

bool pg_connection::readPipelined()
{
    PGresult *result = PQgetResult(m_connection);
    auto &front = m_requests.front();
    if (result == nullptr) {
        // The end of one statement; the next PQgetResult is for the following one if that has arrived.
        return PQstatus(m_connection) == CONNECTION_OK && PQisBusy(m_connection) == 0;
    }
    const auto status = PQresultStatus(result);
    if (status == PGRES_PIPELINE_SYNC) {
        PQclear(result);
        finishFront();
        return true;
    }
    const bool isPrepare = !front.preparesBefore.empty() && front.preparesBefore.front() == front.answered;
    if (isPrepare) {
        front.preparesBefore.pop_front();
    }
    if (!isPrepare || PQresultStatus(result) != PGRES_COMMAND_OK) {
        onResult(front, result);
    }
    front.answered += isPrepare ? 0 : 1;
    PQclear(result);
    return true;
}

bool pg_connection::readSequential()
{
    PGresult *result = PQgetResult(m_connection);
    if (result != nullptr) {
        onResult(m_requests.front(), result);
        PQclear(result);
        return true;
    }
    afterStatement();
    return true;
}

void pg_connection::afterStatement()
{
    auto &front = m_requests.front();
    if (PQstatus(m_connection) != CONNECTION_OK) {
        fail("lost");
        return;
    }
    const auto &call = front.calls[std::min(front.answered, front.calls.size() - 1)];
    const bool wasPrepare = !call.preparedName.empty() && front.outcome.sqlState.empty()
        && std::find(m_prepared.begin(), m_prepared.end(), call.preparedName) == m_prepared.end();
    if (wasPrepare) {
        m_prepared.push_back(call.preparedName);
        front.outcome.values.resize(front.answered);
        sendNext();
        return;
    }
    ++front.answered;
    const bool failed = !front.outcome.sqlState.empty();
    if (!failed && front.answered < front.calls.size()) {
        sendNext();
        return;
    }
    const auto transaction = PQtransactionStatus(m_connection);
    if (!front.rollingBack && (transaction == PQTRANS_INTRANS || transaction == PQTRANS_INERROR)) {
        front.rollingBack = true;
        front.simple = true;
        sendNext();
        return;
    }
    finishFront();
}

void pg_connection::finishFront()
{
    auto finished = std::move(m_requests.front());
    m_requests.pop_front();
    finished.done(std::move(finished.outcome));
}

void pg_connection::fail(const std::string &state)
{
    if (!m_open && m_requests.empty()) {
        return;
    }
    m_open = false;
    m_timer.cancel();
    if (m_descriptor.is_open()) {
        m_descriptor.release();
    }
    PQfinish(std::exchange(m_connection, nullptr));
    const auto keep = shared_from_this();
    for (auto lost = std::exchange(m_requests, {}); !lost.empty(); lost.pop_front()) {
        auto &ended = lost.front();
        if (ended.outcome.sqlState.empty()) {
            ended.outcome.failedAt = std::min(ended.answered, ended.calls.size() - 1);
            ended.outcome.sqlState = state;
        }
        ended.done(std::move(ended.outcome));
    }
}

}
