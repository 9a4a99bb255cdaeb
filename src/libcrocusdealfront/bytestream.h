#pragma once

#include "clock.h"
#include "hostport.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace crocusdeal
{

/**
 * A TCP connection that gathers what is sent within one turn of the loop into one write.
 *
 * Used by one thread. The hooks are dropped when the connection ends, so they may hold their owner.
 */
class byte_stream : public std::enable_shared_from_this<byte_stream>
{
public:
    /** Takes over a connected socket. */
    explicit byte_stream(asio::ip::tcp::socket socket);
    explicit byte_stream(asio::io_context &io);

    /** New bytes were added to @p inbound; the hook erases what it has used. */
    std::function<void(std::string &inbound)> onData;
    /** The connection has ended, with a reason for the log. Not called after close(). */
    std::function<void(const std::string &reason)> onClosed;

    /** Connects and then starts to read; a failure is told by onClosed. */
    void connect(const host_port &address, std::function<void()> onConnected);
    void startReading();
    /** Hands bytes that are already there to onData again. */
    void pokeData();
    /** Stops taking bytes in until startReading(). */
    void pauseReading();
    void send(std::string_view bytes);
    void close();
    /** Closes once everything is written. */
    void closeAfterSending();
    bool isOpen() const;
    /** The other end's machine answered that nothing listens there. */
    bool wasRefused() const;
    std::size_t unsent() const;
    /** Bytes that have arrived and were not used. */
    bool hasInbound() const;
    /** Whether bytes wait in the kernel that were not read yet. */
    bool hasUnread();
    /** Ends the connection if the other end's machine does not answer for this time. */
    static constexpr duration silenceLimit{1500};

private:
    void readMore();
    void handOver();
    void flushSoon();
    void flush();
    void fail(const std::string &reason);
    void setOptions();

    asio::ip::tcp::socket m_socket;
    std::string m_inbound;
    std::array<char, 2048> m_chunk{};
    std::string m_outbound;
    std::string m_writing;
    bool m_isOpen = true;
    bool m_wasRefused = false;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isHandingOver = false;
    bool m_isFlushPlanned = false;
    bool m_isWriting = false;
    bool m_closesAfterSending = false;
};

}
