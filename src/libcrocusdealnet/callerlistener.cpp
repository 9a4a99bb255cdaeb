#include "callerlistener.h"

#include "partlog.h"

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>
#include <asio/strand.hpp>

#include <chrono>

namespace crocusdeal
{

namespace
{

/** Without a pause a process that ran out of file descriptors would spin. */
constexpr std::chrono::milliseconds acceptRetryDelay{100};
constexpr int listenBacklog = 4096;

}

caller_listener::caller_listener(startup_environment &environment, asio::io_context &io)
    : m_environment(environment)
    , m_io(io)
    , m_strand(asio::make_strand(io))
    , m_acceptor(m_strand)
    , m_retryTimer(m_strand)
{
}

void caller_listener::listen(const std::string &host, std::uint16_t port)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(host), port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen(listenBacklog);
    asio::post(m_strand, [self = shared_from_this()] { self->accept(); });
}

void caller_listener::accept()
{
    // The socket must not run on the listener's strand, since each session has its own.
    m_acceptor.async_accept(m_io, [self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            static const part_log log("session");
            log.write(log_level::Warn, "accept failed: " + error.message());
            self->m_retryTimer.expires_after(acceptRetryDelay);
            self->m_retryTimer.async_wait([self](std::error_code waitError) {
                if (!waitError) {
                    self->accept();
                }
            });
            return;
        }
        std::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        std::make_shared<caller_startup>(self->m_environment, std::move(socket))->start();
        self->accept();
    });
}

void caller_listener::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        std::error_code ignored;
        self->m_acceptor.close(ignored);
        self->m_retryTimer.cancel();
    });
}

}
