#include "hostport.h"

#include <charconv>

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxHostLength = 253;

bool isHost(std::string_view host, bool bracketed)
{
    constexpr std::string_view nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_";
    constexpr std::string_view addressCharacters = "0123456789abcdefABCDEF:.%";
    if (host.empty() || host.size() > maxHostLength) {
        return false;
    }
    return host.find_first_not_of(bracketed ? addressCharacters : nameCharacters) == std::string_view::npos;
}

}

std::string toString(const host_port &address)
{
    const bool bracketed = address.host.find(':') != std::string::npos;
    const auto host = bracketed ? '[' + address.host + ']' : address.host;
    return host + ':' + std::to_string(address.port);
}

std::optional<host_port> parseHostPort(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    const auto portText = text.substr(colon + 1);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size() || port == 0 || !isHost(host, bracketed)) {
        return std::nullopt;
    }
    return host_port{std::string(host), port};
}

}
