#include "loopbacklistener.h"

#include "settings.h"

namespace crocusdeal
{

void listenOnLoopback(asio::ip::tcp::acceptor &acceptor, const std::string &address)
{
    const auto [host, port] = parseLoopbackAddress(address);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(host), port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
}

}
