#include "settings.h"

#include <asio/ip/address.hpp>

#include <charconv>
#include <stdexcept>

namespace crocusdeal
{

std::atomic<std::int64_t> *runtime_settings::find(std::string_view name)
{
    if (name == "lag_ms") {
        return &lagMs;
    }
    if (name == "connections") {
        return &connections;
    }
    if (name == "slots") {
        return &slots;
    }
    if (name == "connect_ms") {
        return &connectMs;
    }
    if (name == "statement_us") {
        return &statementUs;
    }
    if (name == "idle_transaction_ms") {
        return &idleTransactionMs;
    }
    return nullptr;
}

std::pair<std::string, std::uint16_t> parseLoopbackAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("not host:port: " + text);
    }
    auto host = text.substr(0, colon);
    if (host == "localhost") {
        host = "127.0.0.1";
    }
    std::uint16_t port = 0;
    const auto *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
    if (error != std::errc() || end != last) {
        throw std::invalid_argument("not a port: " + text);
    }
    asio::error_code bad;
    const auto address = asio::ip::make_address(host, bad);
    if (bad || !address.is_loopback()) {
        throw std::invalid_argument("not a loopback address: " + text);
    }
    return {host, port};
}

}
