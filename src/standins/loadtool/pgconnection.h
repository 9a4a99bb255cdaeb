#pragma once

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include <libpq-fe.h>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** One statement of a request. */
struct sql_call {
    std::string sql;
    std::vector<std::string> values;
    std::string preparedName; ///< Not empty: prepared under this name at its first use on the connection.
};

struct request_outcome {
    std::string sqlState; ///< Empty: all statements succeeded. "lost": the connection ended. "timeout": no answer.
    std::size_t failedAt = 0; ///< Index of the failed statement.
    std::vector<std::string> values; ///< First value of each statement that succeeded.
};

/** A libpq connection on an Asio context. Used from one thread; all callbacks come from the context. */
class pg_connection : public std::enable_shared_from_this<pg_connection>
{
public:
    using opened_callback = std::function<void(bool)>;
    using done_callback = std::function<void(request_outcome)>;

    pg_connection(asio::io_context &context, std::chrono::milliseconds timeout);
    ~pg_connection();
    pg_connection(const pg_connection &) = delete;
    pg_connection &operator=(const pg_connection &) = delete;

    /** With @p pipeline the statements of a request are sent at once, and several requests may be in flight. */
    void open(const std::string &connection, bool pipeline, opened_callback opened);
    /**
     * Runs the statements one after another up to the first error; rolls back a transaction left open.
     *
     * Without a pipeline, the previous request must have ended.
     */
    void run(std::vector<sql_call> calls, bool simpleProtocol, done_callback done);
    /** Ends the connection; requests in flight end as "lost". */
    void close();
    bool isOpen() const;
    std::string parameterStatus(const char *name) const;
    std::string error() const;

private:
    struct request {
        std::vector<sql_call> calls;
        bool simple = false;
        std::size_t answered = 0;
        std::deque<std::size_t> preparesBefore; ///< Pipelined: calls whose result follows that of a Parse.
        bool rollingBack = false;
        request_outcome outcome;
        done_callback done;
        std::chrono::steady_clock::time_point deadline;
    };

    void pollConnect();
    void finishOpen(bool ok);
    void watchRead();
    void onReadable();
    void flush();
    void fail(const std::string &state);
    bool send(const request &r, const sql_call &call);
    void sendNext();
    void sendPipelined(request &r);
    bool readPipelined();
    bool readSequential();
    void onResult(request &r, PGresult *result);
    void afterStatement();
    void finishFront();
    void armTimeout();

    asio::posix::stream_descriptor m_descriptor;
    asio::steady_timer m_timer;
    std::chrono::milliseconds m_timeout;
    PGconn *m_connection = nullptr;
    bool m_open = false;
    bool m_pipeline = false;
    bool m_flushing = false;
    bool m_timerArmed = false;
    opened_callback m_opened;
    std::deque<request> m_requests;
    std::vector<std::string> m_prepared;
};

}
