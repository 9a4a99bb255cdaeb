#pragma once

#include "targetconnection.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace crocusdeal
{

struct connection_pool_counts {
    int open = 0; ///< Lent, idle and opening.
    int idle = 0;
    int opening = 0;
    int waiting = 0;
    std::uint64_t opened = 0; ///< Since the start.
    std::uint64_t refused = 0; ///< Attempts that the database refused because it was full.
};

/**
 * The connections of this instance to one target.
 *
 * Never holds more than its share. Thread-safe; handlers run without a lock held, on any thread.
 */
class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    using handler = std::function<void(std::shared_ptr<target_connection>, connect_error, const std::string &reason)>;
    using log_line = std::function<void(const std::string &)>;

    connection_pool(asio::io_context &io, target_connection_settings settings, int share, log_line log);

    /** Lends an idle connection, opens one, or waits until one is free. */
    void acquire(handler done);
    /** Takes a connection back; closes it unless it is reusable. */
    void release(std::shared_ptr<target_connection> connection, bool reusable);
    /** Closes idle connections above the new share; lent ones are closed when they come back. */
    void setShare(int share);
    int share() const;
    /** Connections that are not needed are closed after this time without use. */
    void closeIdle(time_point usedBefore);
    connection_pool_counts counts() const;
    const target_address &address() const;

private:
    struct idle_connection {
        std::shared_ptr<target_connection> connection;
        time_point since;
    };
    struct assignment {
        handler done;
        std::shared_ptr<target_connection> connection;
    };

    void open();
    void onOpened(std::shared_ptr<target_connection> connection, connect_error error, const std::string &reason);
    bool mayOpen() const;

    asio::io_context &m_io;
    const target_connection_settings m_settings;
    const log_line m_log;

    mutable std::mutex m_mutex;
    std::vector<idle_connection> m_idle;
    std::deque<handler> m_waiting;
    int m_share;
    int m_open = 0;
    int m_opening = 0;
    std::uint64_t m_opened = 0;
    std::uint64_t m_refused = 0;
    time_point m_notBefore = never; ///< After a refusal for lack of connections.
};

}
