#include "cannedserver.h"

#include "systemclock.h"

#include <asio/ip/address.hpp>

#include <chrono>

namespace crocusdeal::test
{

canned_server::canned_server(asio::io_context &io, std::vector<std::string> bodies)
    : m_acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , m_bodies(std::move(bodies))
{
    acceptNext();
}

canned_server::~canned_server()
{
    for (const auto &weak : m_streams) {
        if (const auto stream = weak.lock()) {
            stream->close();
        }
    }
}

host_port canned_server::address() const
{
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

void canned_server::acceptNext()
{
    m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        const auto stream = std::make_shared<byte_stream>(std::move(socket));
        m_streams.push_back(stream);
        stream->onData = [this, weak = std::weak_ptr(stream)](std::string &inbound) { serve(weak.lock(), inbound); };
        stream->startReading();
        acceptNext();
    });
}

void canned_server::serve(const std::shared_ptr<byte_stream> &stream, std::string &inbound)
{
    const auto end = inbound.find("\r\n\r\n");
    if (end == std::string::npos || m_next >= m_bodies.size()) {
        return;
    }
    inbound.clear();
    const auto &body = m_bodies[m_next++];
    if (body.empty()) {
        return;
    }
    stream->send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                 + "\r\n\r\n" + body);
}

bool runUntil(asio::io_context &io, const std::function<bool()> &isDone)
{
    const auto end = systemNow() + duration{5000};
    while (!isDone()) {
        if (systemNow() >= end) {
            return false;
        }
        io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

}
