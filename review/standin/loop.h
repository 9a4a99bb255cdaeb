#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace review
{

/** The event loop of the stand-ins; everything runs in its one thread. */
class loop
{
public:
    loop();

    /** Milliseconds since the start. */
    std::int64_t now() const;
    void after(std::int64_t ms, std::function<void()> action);
    void post(std::function<void()> action);
    void runUntil(std::int64_t ms);
    void stop();

    asio::io_context io{1};

private:
    std::int64_t m_startedAt;
};

/** One TCP connection. The handlers are dropped when it ends. */
class connection : public std::enable_shared_from_this<connection>
{
public:
    explicit connection(asio::ip::tcp::socket socket);

    std::function<void(std::string &inbound)> onData;
    std::function<void()> onClosed;

    void start();
    void send(const std::string &text);
    void close();
    void closeAfterSending();
    bool isOpen() const;

private:
    void read();
    void write();

    asio::ip::tcp::socket m_socket;
    std::string m_inbound;
    std::string m_outbound;
    std::string m_writing;
    char m_chunk[16384] = {};
    bool m_isWriting = false;
    bool m_closesAfterSending = false;
};

/** Accepts connections on a loopback port, which stays the same after a restart. */
class listener : public std::enable_shared_from_this<listener>
{
public:
    explicit listener(loop &events);

    std::function<void(std::shared_ptr<connection>)> onConnection;

    void open();
    void close();
    std::string address() const;

private:
    void acceptNext();

    loop &m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
};

/** Connects to a loopback address; @p done gets nothing if that fails. */
void connectTo(loop &events, const std::string &address, std::function<void(std::shared_ptr<connection>)> done);

/** A loopback address with a port on which nobody listens. */
std::string freeAddress(loop &events);

}
