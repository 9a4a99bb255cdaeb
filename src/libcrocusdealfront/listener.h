#pragma once

#include "hostport.h"

#include <asio/ip/tcp.hpp>

#include <string>

namespace crocusdeal
{

/** Binds @p acceptor to @p address and listens. Empty if it does, else why not. */
std::string openListener(asio::ip::tcp::acceptor &acceptor, const host_port &address);

}
