#pragma once

#include "hostport.h"

#include <asio/ip/tcp.hpp>

#include <string>

namespace crocusdeal
{

/** Binds @p acceptor to @p address and listens. Returns an empty string on success, otherwise the error. */
std::string openListener(asio::ip::tcp::acceptor &acceptor, const host_port &address);

}
