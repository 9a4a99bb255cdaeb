#pragma once

#include <asio/ip/tcp.hpp>

#include <string>

namespace crocusdeal
{

/** Opens, binds and listens; throws asio::system_error, and what parseLoopbackAddress() throws. */
void listenOnLoopback(asio::ip::tcp::acceptor &acceptor, const std::string &address);

}
