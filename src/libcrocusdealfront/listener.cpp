#include "listener.h"

#include <asio/ip/address.hpp>

#include <system_error>

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

}
