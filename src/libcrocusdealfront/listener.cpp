#include "listener.h"

#include <asio/ip/address.hpp>

#include <system_error>
#include <utility>

namespace crocusdeal
{

std::string openListener(asio::ip::tcp::acceptor &acceptor, const host_port &address)
{
    std::error_code error;
    const auto ip = asio::ip::make_address(address.host, error);
    const asio::ip::tcp::endpoint endpoint(ip, address.port);
    if (!error) {
        acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error ? toString(address) + ": " + error.message() : std::string();
}

void acceptConnections(asio::ip::tcp::acceptor &acceptor, std::function<void(asio::ip::tcp::socket)> onConnection)
{
    acceptor.async_accept([&acceptor, onConnection = std::move(onConnection)](std::error_code error,
                                                                              asio::ip::tcp::socket socket) mutable {
        if (!acceptor.is_open()) {
            return;
        }
        if (!error) {
            onConnection(std::move(socket));
        }
        acceptConnections(acceptor, std::move(onConnection));
    });
}

}
