#include "loop.h"

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace review
{

namespace
{

std::int64_t steadyMs()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

const asio::ip::address loopback = asio::ip::make_address("127.0.0.1");
constexpr int firstPort = 12000; // Below the ports that the system gives to outgoing connections.
constexpr int ports = 15000;

std::uint16_t freePort(loop &events)
{
    static int next = static_cast<int>(::getpid()) * 37 % ports;
    for (int tried = 0; tried < ports; ++tried) {
        next = (next + 1) % ports;
        const auto port = static_cast<std::uint16_t>(firstPort + next);
        asio::ip::tcp::acceptor acceptor(events.io);
        std::error_code error;
        acceptor.open(asio::ip::tcp::v4(), error);
        acceptor.bind({loopback, port}, error);
        if (!error) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

}

loop::loop()
    : m_startedAt(steadyMs())
{
}

std::int64_t loop::now() const
{
    return steadyMs() - m_startedAt;
}

void loop::after(std::int64_t ms, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(io, std::chrono::milliseconds(ms));
    timer->async_wait([timer, action = std::move(action)](std::error_code error) {
        if (!error) {
            action();
        }
    });
}

void loop::post(std::function<void()> action)
{
    asio::post(io, std::move(action));
}

void loop::runUntil(std::int64_t ms)
{
    io.restart();
    io.run_for(std::chrono::milliseconds(ms - now()));
}

void loop::stop()
{
    io.stop();
}

connection::connection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
    std::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void connection::start()
{
    read();
}

void connection::read()
{
    m_socket.async_read_some(asio::buffer(m_chunk),
                             [self = shared_from_this()](std::error_code error, std::size_t count) {
                                 if (!self->isOpen()) {
                                     return;
                                 }
                                 if (error) {
                                     self->close();
                                     return;
                                 }
                                 self->m_inbound.append(self->m_chunk, count);
                                 if (const auto handler = self->onData) {
                                     handler(self->m_inbound);
                                 }
                                 if (self->isOpen()) {
                                     self->read();
                                 }
                             });
}

void connection::send(const std::string &text)
{
    m_outbound += text;
    write();
}

void connection::write()
{
    if (m_isWriting || !isOpen()) {
        return;
    }
    if (m_outbound.empty()) {
        if (m_closesAfterSending) {
            close();
        }
        return;
    }
    m_isWriting = true;
    m_writing = std::exchange(m_outbound, {});
    asio::async_write(
        m_socket, asio::buffer(m_writing), [self = shared_from_this()](std::error_code error, std::size_t) {
            self->m_isWriting = false;
            if (error) {
                self->close();
                return;
            }
            self->write();
        });
}

void connection::close()
{
    if (!isOpen()) {
        return;
    }
    std::error_code ignored;
    m_socket.close(ignored);
    const auto handler = std::exchange(onClosed, nullptr);
    // A handler of this connection may be running.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->onData = nullptr; });
    if (handler) {
        handler();
    }
}

void connection::closeAfterSending()
{
    m_closesAfterSending = true;
    write();
}

bool connection::isOpen() const
{
    return m_socket.is_open();
}

listener::listener(loop &events)
    : m_loop(events)
    , m_acceptor(events.io)
{
}

void listener::open()
{
    m_port = m_port == 0 ? freePort(m_loop) : m_port;
    const asio::ip::tcp::endpoint endpoint(loopback, m_port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    acceptNext();
}

void listener::close()
{
    std::error_code ignored;
    m_acceptor.close(ignored);
}

std::string listener::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void listener::acceptNext()
{
    m_acceptor.async_accept([self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        const auto accepted = std::make_shared<connection>(std::move(socket));
        self->onConnection(accepted);
        accepted->start();
        self->acceptNext();
    });
}

void connectTo(loop &events, const std::string &address, std::function<void(std::shared_ptr<connection>)> done)
{
    const auto colon = address.find(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    const auto socket = std::make_shared<asio::ip::tcp::socket>(events.io);
    socket->async_connect({asio::ip::make_address(address.substr(0, colon)), port},
                          [socket, done = std::move(done)](std::error_code error) {
                              done(error ? nullptr : std::make_shared<connection>(std::move(*socket)));
                          });
}

std::string freeAddress(loop &events)
{
    return "127.0.0.1:" + std::to_string(freePort(events));
}

}
