#pragma once

#include "replicationfeed.h"
#include "server.h"
#include "sqlsession.h"

#include <asio/basic_stream_socket.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** Copies the log of the database that this one follows, as long as it follows one. */
class follower : public std::enable_shared_from_this<follower>
{
public:
    explicit follower(server &owner);

    void start();

private:
    /** Entries of one pull and when they may be applied. */
    struct batch {
        std::chrono::steady_clock::time_point due;
        std::vector<log_entry_ptr> entries;
    };
    using socket_type = asio::basic_stream_socket<asio::ip::tcp, strand_type>;

    void restart();
    void dropReceived();
    void retryLater();
    void connect();
    void pull();
    void read(std::uint64_t attempt);
    void onFrame(std::string_view payload);
    void onPullResult(pull_result result);
    void receive(std::vector<log_entry_ptr> entries);
    void applyNext();
    void takeWriteLock();
    void apply();
    bool holds(bool incoming, std::function<void()> next);

    server &m_server;
    database &m_database;
    strand_type m_strand;
    asio::steady_timer m_retryTimer;
    asio::steady_timer m_lagTimer;
    asio::steady_timer m_timeout;
    std::optional<socket_type> m_socket;
    std::optional<frame_reader> m_reader;
    std::string m_request;
    peer_name m_peer;
    follow_lease m_lease;
    std::deque<batch> m_batches; ///< Received and not applied yet.
    std::vector<position> m_receivedEnds; ///< Term ends of the log with all batches applied.
    bool m_applying = false;
    std::uint64_t m_generation = 0; ///< Callbacks for entries that were dropped since do nothing.
    std::uint64_t m_attempt = 0; ///< Callbacks of an earlier connection do nothing.
};

}
