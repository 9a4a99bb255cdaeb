#pragma once

#include "clock.h"
#include "grouptypes.h"
#include "nametable.h"
#include "pgframe.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace crocusdeal
{

enum class connect_error {
    None,
    Unreachable, ///< No answer, refused or timed out.
    Full, ///< The database has no free connection (SQLSTATE 53300).
    Rejected, ///< The database answered and refused for another reason.
};

inline constexpr auto connectErrorNames =
    makeNameTable<connect_error>("none", "unreachable", "no free connection", "rejected");

struct target_connection_settings {
    target_address address;
    std::string database;
    std::string user;
    std::string applicationName;
    duration timeout{2000};
};

/**
 * A connection to a target.
 *
 * libpq opens and authenticates it. Afterwards messages are read from and written to its socket unchanged, so that
 * whatever the protocol carries reaches the caller as the database sent it. Used by one owner at a time.
 */
class target_connection
{
public:
    using connect_handler = std::function<void(std::shared_ptr<target_connection>, connect_error, std::string reason)>;

    /** Calls @p handler once, on a thread of @p io. */
    static void open(asio::io_context &io, const target_connection_settings &settings, connect_handler handler);

    ~target_connection();
    target_connection(const target_connection &) = delete;
    target_connection &operator=(const target_connection &) = delete;

    asio::ip::tcp::socket &socket();
    frame_reader &reader();
    const target_id &target() const;
    std::string parameter(const char *name) const;

    /** Names of the prepared statements that the database holds for this connection. */
    std::unordered_set<std::string> &prepared();
    /** The text of the unnamed statement, empty if there is none. */
    std::string &unnamedStatement();

    /** The last in-band state that this connection reported; empty before the first. */
    std::string &lastGroupState();

    /** True if the database closed the idle connection or sent something unasked. */
    bool isStale();

    /** Asks the database to cancel the running statement. Blocks for a connection set-up; use a thread for that. */
    void cancelStatement();

private:
    friend class connect_attempt;
    target_connection(asio::io_context &io, void *connection, target_id target);

    struct state;
    std::unique_ptr<state> m_state;
};

}
