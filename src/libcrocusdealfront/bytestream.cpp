#include "bytestream.h"

#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxBufferedInput = 2097152; // Larger than the largest message, so that any message fits whole.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

}

byte_stream::byte_stream(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
    setOptions();
}

byte_stream::byte_stream(asio::io_context &io)
    : m_socket(io)
{
}

void byte_stream::connect(const host_port &address, std::function<void()> onConnected)
{
    std::error_code error;
    const auto ip = asio::ip::make_address(address.host, error);
    if (!error) {
        m_socket.open(ip.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), error);
    }
    if (error) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), error] { self->fail(error.message()); });
        return;
    }
    setOptions();
    m_socket.async_connect({ip, address.port},
                           [self = shared_from_this(), onConnected = std::move(onConnected)](std::error_code failure) {
                               if (!self->m_isOpen) {
                                   return;
                               }
                               if (failure) {
                                   self->m_wasConnectionRefused = failure == asio::error::connection_refused;
                                   self->fail("connect: " + failure.message());
                                   return;
                               }
                               onConnected();
                               self->startReading();
                           });
}

void byte_stream::setOptions()
{
    std::error_code ignored; // Options only improve latency and failure detection; the connection works without them.
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
    m_socket.non_blocking(true, ignored);
    const int fd = m_socket.native_handle();
    const auto limit = static_cast<unsigned>(peerTimeout.ms);
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof(int));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof(int));
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof(int));
}

void byte_stream::startReading()
{
    m_isPaused = false;
    if (!m_isReading && m_isOpen) {
        readMore();
    }
}

void byte_stream::pauseReading()
{
    m_isPaused = true;
}

void byte_stream::readMore()
{
    m_isReading = true;
    m_socket.async_read_some(asio::buffer(m_chunk),
                             [self = shared_from_this()](std::error_code error, std::size_t count) {
                                 self->m_isReading = false;
                                 if (!self->m_isOpen) {
                                     return;
                                 }
                                 if (error) {
                                     self->fail("read: " + error.message());
                                     return;
                                 }
                                 self->m_inbound.append(self->m_chunk.data(), count);
                                 self->deliverData();
                                 // resumeDelivery() may have begun the next read already; two at once would share
                                 // m_chunk.
                                 if (self->m_isOpen && !self->m_isReading && !self->m_isPaused
                                     && self->m_inbound.size() < maxBufferedInput) {
                                     self->readMore();
                                 }
                             });
}

void byte_stream::deliverData()
{
    if (m_isDelivering || !onData) {
        return;
    }
    m_isDelivering = true;
    const auto self = shared_from_this();
    onData(m_inbound);
    m_isDelivering = false;
    if (m_inbound.empty() && m_inbound.capacity() > m_chunk.size() * 2) {
        m_inbound = {};
    }
}

void byte_stream::resumeDelivery()
{
    if (!m_isOpen) {
        return;
    }
    if (!m_inbound.empty()) {
        deliverData();
    }
    if (m_isOpen && !m_isReading && !m_isPaused && m_inbound.size() < maxBufferedInput) {
        readMore();
    }
}

void byte_stream::send(std::string_view bytes)
{
    if (!m_isOpen) {
        return;
    }
    m_outbound.append(bytes);
    scheduleFlush();
}

void byte_stream::scheduleFlush()
{
    if (m_isFlushScheduled || m_isWriting) {
        return;
    }
    m_isFlushScheduled = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_isFlushScheduled = false;
        self->flush();
    });
}

void byte_stream::flush()
{
    if (!m_isOpen || m_isWriting) {
        return;
    }
    if (m_outbound.empty()) {
        if (m_closesAfterSending) {
            close();
        }
        return;
    }
    m_isWriting = true;
    m_writing.clear();
    m_writing.swap(m_outbound);
    asio::async_write(
        m_socket, asio::buffer(m_writing), [self = shared_from_this()](std::error_code error, std::size_t) {
            self->m_isWriting = false;
            if (!self->m_isOpen) {
                return;
            }
            if (error) {
                self->fail("write: " + error.message());
                return;
            }
            self->flush();
        });
}

void byte_stream::close()
{
    if (!m_isOpen) {
        return;
    }
    m_isOpen = false;
    // A callback may be running; clear them, and release their owner, after the current event handler returns.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->onData = nullptr;
        self->onClosed = nullptr;
    });
    std::error_code ignored; // Nothing can be done about a socket that fails to close.
    m_socket.close(ignored);
}

void byte_stream::closeAfterSending()
{
    m_closesAfterSending = true;
    scheduleFlush();
}

bool byte_stream::isOpen() const
{
    return m_isOpen;
}

bool byte_stream::wasConnectionRefused() const
{
    return m_wasConnectionRefused;
}

std::size_t byte_stream::unsentBytes() const
{
    return m_outbound.size() + (m_isWriting ? m_writing.size() : 0);
}

bool byte_stream::hasBufferedInput() const
{
    return !m_inbound.empty();
}

bool byte_stream::hasUnreadSocketData()
{
    std::error_code error;
    const auto count = m_isOpen ? m_socket.available(error) : 0;
    return !error && count > 0;
}

void byte_stream::fail(const std::string &reason)
{
    if (!m_isOpen) {
        return;
    }
    const auto self = shared_from_this();
    const auto closedHandler = onClosed;
    close();
    if (closedHandler) {
        closedHandler(reason);
    }
}

}
