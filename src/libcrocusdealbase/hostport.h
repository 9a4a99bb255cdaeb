#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocusdeal
{

/** A network address as configured: a host name or IP address, and a TCP or UDP port. */
struct host_port {
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const host_port &, const host_port &) = default;
};

/** The text form "host:port"; an IPv6 address is put in brackets. */
std::string toString(const host_port &address);

/** Reads the text form; nothing if the host is empty or the port is not within 1 to 65535. */
std::optional<host_port> parseHostPort(std::string_view text);

}
