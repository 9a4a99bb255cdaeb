#pragma once

#include "hostport.h"

#include <asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace crocusdeal
{

/** Binds @p acceptor to @p address and listens. Returns an empty string on success, otherwise the error. */
std::string openListener(asio::ip::tcp::acceptor &acceptor, const host_port &address);

/** Hands over each connection until @p acceptor is closed. @p onConnection has to keep the acceptor alive. */
void acceptConnections(asio::ip::tcp::acceptor &acceptor, std::function<void(asio::ip::tcp::socket)> onConnection);

}
