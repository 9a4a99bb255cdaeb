#pragma once

#include "server.h"

#include <asio/ip/tcp.hpp>

#include <string>

namespace crocusdeal
{

/** Line commands for faults and settings; answers while the database port is frozen or full. */
class admin_port
{
public:
    /** Binds the address; throws asio::system_error. */
    admin_port(server &owner, const std::string &address);

    std::uint16_t port() const;

private:
    void accept();

    server &m_server;
    asio::ip::tcp::acceptor m_acceptor;
};

}
