#pragma once

#include "faults.h"
#include "messagehandler.h"
#include "pgframe.h"
#include "replicationfeed.h"
#include "server.h"
#include "sessionhost.h"
#include "sqlsession.h"

#include <asio/basic_stream_socket.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace crocusdeal
{

using strand_socket = asio::basic_stream_socket<asio::ip::tcp, strand_type>;

/** The socket of one client: start-up, reading, writing and the faults that hold traffic. */
class client_connection : public session_host, public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(server &owner, strand_socket socket);
    ~client_connection() override;
    client_connection(const client_connection &) = delete;
    client_connection &operator=(const client_connection &) = delete;

    void start();
    /** Cancels the running statement if the secret is right. From any thread. */
    void cancel(std::int32_t secret);
    /** From any thread. */
    void closeFromOutside();

    std::shared_ptr<session_host> hold() override;
    frame_writer &out() override;
    bool isSyncNext() const override;
    void resume() override;
    void closeNow() override;
    void silence() override;

private:
    void read();
    void process();
    /** The other side has closed the connection. */
    void onEnded();
    bool processFrame();
    void flush();
    void writeRest();
    void finishWrite();

    void onStartup(std::string_view payload);
    void readParameters(payload_reader &reader);
    void openSession();
    void sendWelcome();
    void cancelRunning();
    void reject(const std::string &sqlState, const std::string &message);

    server &m_server;
    strand_socket m_socket;
    asio::steady_timer m_timer;
    peer_name m_peer;
    frame_reader m_reader;
    frame_writer m_writer;
    std::string m_sending;
    std::size_t m_sent = 0;
    bool m_writing = false;
    bool m_processing = false;
    bool m_waiting = false; ///< During the set-up time.
    bool m_held = false; ///< A fault holds the incoming traffic.
    bool m_reading = false;
    bool m_wantsRead = false; ///< Reads on once everything is written.
    bool m_wantsProcess = false; ///< Goes on with received messages once everything is written.
    bool m_closing = false; ///< Closes once everything is written.
    bool m_silent = false;
    bool m_started = false;
    bool m_counted = false;
    std::int32_t m_pid = 0;
    const std::int32_t m_secret;
    session_parameters m_parameters;
    std::mutex m_cancelMutex;
    std::shared_ptr<sql_session> m_cancelTarget; ///< A running scan occupies the strand, so a cancel bypasses it.
    std::unique_ptr<message_handler> m_handler;
    std::unique_ptr<replication_feed> m_feed;
};

}
