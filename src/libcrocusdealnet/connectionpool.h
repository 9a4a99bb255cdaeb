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
    int open = 0; ///< Lent and idle.
    int idle = 0;
    int opening = 0;
    int waiting = 0;
    std::uint64_t opened = 0; ///< Since the start.
    std::uint64_t refused = 0; ///< Attempts that the database refused because it was full.
};

/** Who decides how many connections there may be; called without a lock held. */
struct connection_pool_hooks {
    std::function<bool()> beginOpening; ///< Whether one more may be opened; if so, it counts from now on.
    std::function<void()> onEstablished;
    std::function<void(bool refused)> onOpenFailed; ///< @p refused: for lack of connections.
    std::function<void()> onClosed; ///< An established connection.
    std::function<void(const std::string &)> log;
};

/**
 * The connections of this instance to one target.
 *
 * Thread-safe; handlers and hooks run without a lock held, on any thread.
 */
class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    using handler = std::function<void(std::shared_ptr<target_connection>, connect_error, const std::string &reason)>;

    connection_pool(asio::io_context &io, target_connection_settings settings, connection_pool_hooks hooks);

    /** Lends an idle connection, opens one, or waits until one is free, at the latest until @p deadline. */
    void acquire(time_point deadline, const handler &done);
    /** Ends the waits whose deadline has passed; to be called each 100 ms. */
    void expireWaits(time_point now);
    /** Takes a connection back; closes it unless it is reusable. */
    void release(std::shared_ptr<target_connection> connection, bool reusable);
    /** Closes @p count connections, idle ones first; lent ones are closed when they come back. */
    void setExcess(int count);
    /** More connections may be opened than before. */
    void openMore();
    /** Connections that are not needed are closed after this time without use. */
    void closeIdle(time_point usedBefore);
    connection_pool_counts counts() const;
    const target_address &address() const;

private:
    struct idle_connection {
        std::shared_ptr<target_connection> connection;
        time_point since;
    };
    struct waiting_request {
        handler done;
        time_point deadline;
    };

    void open();
    void closeConnections(std::vector<idle_connection> closing);
    void onOpened(std::shared_ptr<target_connection> connection, connect_error error, const std::string &reason);

    asio::io_context &m_io;
    const target_connection_settings m_settings;
    const connection_pool_hooks m_hooks;

    mutable std::mutex m_mutex;
    std::vector<idle_connection> m_idle;
    std::deque<waiting_request> m_waiting;
    int m_established = 0;
    int m_excess = 0;
    int m_opening = 0;
    std::uint64_t m_opened = 0;
    std::uint64_t m_refused = 0;
};

}
