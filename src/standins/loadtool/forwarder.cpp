#include "forwarder.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <iostream>
#include <memory>
#include <stdexcept>

namespace crocusdeal
{

namespace
{

using asio::ip::tcp;

constexpr std::size_t bufferBytes = 64U << 10U;

tcp::endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("not host:port: " + text);
    }
    const auto address = asio::ip::make_address(text.substr(0, colon));
    if (!address.is_loopback()) {
        throw std::invalid_argument("not a loopback address: " + text);
    }
    return {address, static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

/** A client and its upstream connection; closed together. */
class forwarded_pair : public std::enable_shared_from_this<forwarded_pair>
{
public:
    explicit forwarded_pair(tcp::socket client)
        : m_client(std::move(client))
        , m_upstream(m_client.get_executor())
    {
    }

    void start(const tcp::endpoint &upstream)
    {
        m_upstream.async_connect(upstream, [self = shared_from_this()](asio::error_code error) {
            if (error) {
                return;
            }
            self->m_client.set_option(tcp::no_delay(true), error);
            self->m_upstream.set_option(tcp::no_delay(true), error);
            self->forward(self->m_client, self->m_upstream, self->m_toUpstream);
            self->forward(self->m_upstream, self->m_client, self->m_toClient);
        });
    }

private:
    using buffer_type = std::array<char, bufferBytes>;

    void forward(tcp::socket &from, tcp::socket &to, buffer_type &buffer)
    {
        from.async_read_some(
            asio::buffer(buffer), [&, self = shared_from_this()](asio::error_code error, std::size_t n) {
                if (error) {
                    close();
                    return;
                }
                asio::async_write(to, asio::buffer(buffer, n), [&, self](asio::error_code failed, std::size_t) {
                    failed ? close() : forward(from, to, buffer);
                });
            });
    }

    void close()
    {
        asio::error_code ignored;
        m_client.close(ignored);
        m_upstream.close(ignored);
    }

    tcp::socket m_client;
    tcp::socket m_upstream;
    buffer_type m_toUpstream{};
    buffer_type m_toClient{};
};

void accept(tcp::acceptor &acceptor, const tcp::endpoint &upstream)
{
    acceptor.async_accept([&acceptor, upstream](asio::error_code error, tcp::socket client) {
        if (!error) {
            std::make_shared<forwarded_pair>(std::move(client))->start(upstream);
        }
        accept(acceptor, upstream);
    });
}

}

void runForwarder(const std::string &listen, const std::string &upstream)
{
    asio::io_context context(1);
    tcp::acceptor acceptor(context, parseEndpoint(listen));
    accept(acceptor, parseEndpoint(upstream));
    std::cout << "listening " << acceptor.local_endpoint().port() << std::endl;
    context.run();
}

}
