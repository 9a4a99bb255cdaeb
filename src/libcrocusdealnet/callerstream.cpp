#include "callerstream.h"

#include <asio/bind_executor.hpp>
#include <asio/ssl/stream.hpp>
#include <asio/write.hpp>

namespace crocusdeal
{

struct caller_stream::tls_state {
    tls_state(asio::ip::tcp::socket &socket, asio::ssl::context &context)
        : stream(socket, context)
    {
    }

    asio::ssl::stream<asio::ip::tcp::socket &> stream;
};

caller_stream::caller_stream(asio::ip::tcp::socket socket, executor strand)
    : m_socket(std::move(socket))
    , m_strand(std::move(strand))
{
}

caller_stream::~caller_stream() = default;

void caller_stream::readSome(char *to, std::size_t size, handler done)
{
    auto bound = asio::bind_executor(m_strand, std::move(done));
    if (m_tls) {
        m_tls->stream.async_read_some(asio::buffer(to, size), std::move(bound));
    } else {
        m_socket.async_read_some(asio::buffer(to, size), std::move(bound));
    }
}

void caller_stream::write(std::string_view bytes, handler done)
{
    auto bound = asio::bind_executor(m_strand, std::move(done));
    const auto buffer = asio::buffer(bytes.data(), bytes.size());
    if (m_tls) {
        asio::async_write(m_tls->stream, buffer, std::move(bound));
    } else {
        asio::async_write(m_socket, buffer, std::move(bound));
    }
}

void caller_stream::startTls(asio::ssl::context &context, std::function<void(std::error_code)> done)
{
    m_tls = std::make_unique<tls_state>(m_socket, context);
    m_tls->stream.async_handshake(asio::ssl::stream_base::server, asio::bind_executor(m_strand, std::move(done)));
}

bool caller_stream::isTls() const
{
    return m_tls != nullptr;
}

void caller_stream::close()
{
    std::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

asio::ip::tcp::socket &caller_stream::socket()
{
    return m_socket;
}

}
