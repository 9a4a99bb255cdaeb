#pragma once

#include "peercodec.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace crocusdeal
{

/** Traffic counters; bytes are payload bytes without IP, UDP and TCP headers. */
struct transport_counters {
    std::array<std::uint64_t, 5> datagramsOut{}; ///< By datagram_kind.
    std::array<std::uint64_t, 5> datagramsIn{};
    std::array<std::uint64_t, 5> datagramBytesOut{};
    std::array<std::uint64_t, 5> datagramBytesIn{};
    std::array<std::uint64_t, 3> framesOut{}; ///< By peer_message_kind.
    std::array<std::uint64_t, 3> framesIn{};
    std::array<std::uint64_t, 3> frameBytesOut{};
    std::array<std::uint64_t, 3> frameBytesIn{};
    std::uint64_t malformed = 0; ///< Datagrams and frames dropped as malformed or of another version.
    std::uint64_t sendErrors = 0;
    std::uint64_t refusedConnections = 0; ///< Above the limit of concurrent inbound connections.
    std::uint64_t timeouts = 0;
};

/**
 * UDP datagrams and one-shot TCP exchanges between instances.
 *
 * All functions run on the strand given. A TCP exchange is one connection with one request frame and one response
 * frame, each with a 4-byte length, a version byte and a kind byte in front.
 */
class peer_transport : public std::enable_shared_from_this<peer_transport>
{
public:
    using strand_type = asio::strand<asio::io_context::executor_type>;
    /** Sends the response of an inbound request; an empty optional closes the connection without one. */
    using reply_function = std::function<void(std::optional<std::string>)>;

    struct hooks {
        std::function<void(const peer_datagram &, const std::string &source)> onDatagram;
        std::function<void(peer_message_kind, std::string payload, reply_function)> onMessage;
    };

    peer_transport(strand_type strand, hooks callbacks);
    ~peer_transport();
    peer_transport(const peer_transport &) = delete;
    peer_transport &operator=(const peer_transport &) = delete;

    /** Binds UDP and TCP to @p address ("host:port"); the error text if that fails. Not on the strand. */
    std::optional<std::string> open(const std::string &address);
    /** Starts to receive. */
    void start();
    void stop();
    /** The bound address; differs from the one given if its port was 0. */
    std::string localAddress() const;

    void send(const std::string &address, const peer_datagram &datagram);
    /** One request and its response over TCP; @p done gets nothing on failure or after @p timeout. */
    void call(const std::string &address,
              peer_message_kind kind,
              const std::string &payload,
              std::chrono::milliseconds timeout,
              std::function<void(std::optional<std::string>)> done);

    /** Inbound exchanges of @p kind that are not finished. */
    std::size_t inboundCount(peer_message_kind kind) const;
    const transport_counters &counters() const;

private:
    class inbound;
    class outbound;

    void receiveNext();
    void acceptNext();

    strand_type m_strand;
    hooks m_hooks;
    asio::ip::udp::socket m_udp;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptDelay;
    asio::ip::udp::endpoint m_source;
    std::array<char, 2048> m_buffer{};
    std::unordered_set<std::shared_ptr<inbound>> m_inbound;
    std::unordered_set<std::shared_ptr<outbound>> m_outbound;
    transport_counters m_counters;
    bool m_stopped = false;
};

}
