#pragma once

#include "clock.h"
#include "grouptypes.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

struct pg_conn;
struct pg_result;

namespace crocusdeal
{

/** Why a control statement has no row. */
enum class control_error {
    None,
    NotConnected, ///< The statement was not sent.
    TimedOut, ///< The statement may still take effect.
    Disconnected, ///< The statement may have taken effect.
    ServerError, ///< The database answered with an error.
    BadAnswer, ///< The row does not have the documented columns.
};

inline constexpr auto controlErrorNames =
    makeNameTable<control_error>("none", "not-connected", "timed-out", "disconnected", "server-error", "bad-answer");

/** The row that every group control statement returns. */
struct control_row {
    bool granted = false; ///< Only of orders.
    target_status status;
};

struct control_result {
    control_error error = control_error::None;
    std::string message; ///< Of the error.
    bool refused = false; ///< Not connected, since nothing listens at the address.
    control_row row;
    time_point sentAt = never; ///< When the statement was sent.
};

struct control_connection_settings {
    std::string address; ///< An IP number.
    std::uint16_t port = 0;
    std::string user;
    std::string database;
    std::string applicationName;
};

/** Reads the row of a group control statement; @p withGranted if it begins with the column granted. */
std::optional<control_row> parseControlRow(const pg_result *result, bool withGranted);

/**
 * One non-blocking libpq connection for group control statements.
 *
 * It connects with the first statement. All functions and callbacks run on the strand.
 */
class control_connection : public std::enable_shared_from_this<control_connection>
{
public:
    using strand = asio::strand<asio::io_context::executor_type>;
    using callback = std::function<void(const control_result &)>;
    using clock = std::function<time_point()>;

    control_connection(const strand &executor, control_connection_settings settings, clock now);
    control_connection(const control_connection &) = delete;
    control_connection &operator=(const control_connection &) = delete;
    ~control_connection();

    bool isBusy() const;
    bool isOpen() const;
    time_point lastUsedAt() const;

    /** Runs @p sql, which must not be called while isBusy(); @p timeout counts anew after connecting. */
    void run(std::string sql, bool withGranted, duration timeout, callback done);

    /** Closes; a running statement ends with Disconnected. */
    void close();

private:
    enum class state {
        Closed,
        Connecting,
        Idle,
        Running,
    };

    void connect();
    void continueConnecting();
    void send();
    void continueSending();
    void receive();
    void takeResult();
    void waitReadable(void (control_connection::*next)());
    void waitWritable(void (control_connection::*next)());
    void watchSocket();
    void startTimer(duration timeout);
    void fail(control_error error);
    void finish(control_result result);
    void release();

    strand m_strand;
    control_connection_settings m_settings;
    clock m_now;
    asio::steady_timer m_timer;
    asio::posix::stream_descriptor m_socket;
    pg_conn *m_connection = nullptr;
    state m_state = state::Closed;
    std::uint64_t m_generation = 0;

    std::string m_sql;
    bool m_withGranted = false;
    duration m_timeout{};
    callback m_done;
    time_point m_sentAt = never;
    time_point m_lastUsedAt = never;
};

}
