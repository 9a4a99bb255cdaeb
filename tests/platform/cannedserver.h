#pragma once

#include "bytestream.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <string>
#include <vector>

namespace crocusdeal::test
{

/** Answers the HTTP requests that reach a loopback port with the given bodies, in this order; not for an empty one. */
class canned_server
{
public:
    canned_server(asio::io_context &io, std::vector<std::string> bodies);
    ~canned_server();
    canned_server(const canned_server &) = delete;
    canned_server &operator=(const canned_server &) = delete;

    host_port address() const;

private:
    void acceptNext();
    void serve(const std::shared_ptr<byte_stream> &stream, std::string &inbound);

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::string> m_bodies;
    std::size_t m_next = 0;
    std::vector<std::weak_ptr<byte_stream>> m_streams;
};

/** Runs the loop until @p isDone holds; false if it does not within five seconds. */
bool runUntil(asio::io_context &io, const std::function<bool()> &isDone);

}
