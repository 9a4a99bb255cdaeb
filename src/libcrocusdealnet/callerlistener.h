#pragma once

#include "callerstartup.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace crocusdeal
{

/** Accepts caller connections on one address. */
class caller_listener : public std::enable_shared_from_this<caller_listener>
{
public:
    caller_listener(startup_environment &environment, asio::io_context &io);

    /** Throws std::system_error if the address cannot be bound. */
    void listen(const std::string &host, std::uint16_t port);
    void stop();

private:
    void accept();

    startup_environment &m_environment;
    asio::io_context &m_io;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
};

}
