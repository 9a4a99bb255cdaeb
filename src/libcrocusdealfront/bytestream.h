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
 * A TCP connection that combines everything sent in one iteration of the event loop into one write.
 *
 * Not thread-safe. The callbacks are cleared when the connection ends, so they may hold a shared pointer to their
 * owner.
 */
class byte_stream : public std::enable_shared_from_this<byte_stream>
{
public:
    /** Takes ownership of a connected socket. */
    explicit byte_stream(asio::ip::tcp::socket socket);
    explicit byte_stream(asio::io_context &io);

    /** Called when bytes were appended to @p inbound; the callback erases those it has consumed. */
    std::function<void(std::string &inbound)> onData;
    /** Called when the connection has ended, with a reason for the log. Not called after close(). */
    std::function<void(const std::string &reason)> onClosed;

    /** Connects and then starts reading; a failure is reported through onClosed. */
    void connect(const host_port &address, std::function<void()> onConnected);
    void startReading();
    /** Passes buffered bytes to onData again and resumes reading if it stopped because the buffer was full. */
    void resumeDelivery();
    /** Starts no further reads until startReading() is called; a read in progress still completes. */
    void pauseReading();
    void send(std::string_view bytes);
    void close();
    /** Closes the connection once all buffered output is written. */
    void closeAfterSending();
    bool isOpen() const;
    /** Whether connect() failed because the host refused the connection: nothing listens on the port. */
    bool wasConnectionRefused() const;
    std::size_t unsentBytes() const;
    /** Whether bytes were read that onData has not consumed. */
    bool hasBufferedInput() const;
    /** Whether the kernel's receive buffer holds bytes that were not read yet. */
    bool hasUnreadSocketData();
    /** The connection ends if the remote host acknowledges no data or keep-alive probes for this long. */
    static constexpr duration peerTimeout{1500};

private:
    void readMore();
    void deliverData();
    void scheduleFlush();
    void flush();
    void fail(const std::string &reason);
    void setOptions();

    asio::ip::tcp::socket m_socket;
    std::string m_inbound;
    std::array<char, 2048> m_chunk{};
    std::string m_outbound;
    std::string m_writing;
    bool m_isOpen = true;
    bool m_wasConnectionRefused = false;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isDelivering = false;
    bool m_isFlushScheduled = false;
    bool m_isWriting = false;
    bool m_closesAfterSending = false;
};

}
