#include "peertransport.h"

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace crocusdeal
{

namespace
{

using asio::ip::tcp;
using asio::ip::udp;

constexpr std::size_t lengthBytes = 4;
/** Version and kind. */
constexpr std::size_t envelopeBytes = 2;
constexpr std::size_t headerBytes = lengthBytes + envelopeBytes;
/** A peer that opens a connection and sends nothing must not hold it. */
constexpr std::chrono::milliseconds inboundTimeout{10'000};
constexpr std::size_t maxInbound = 64;
constexpr std::chrono::milliseconds acceptRetry{100};

struct host_port {
    asio::ip::address host;
    std::uint16_t port = 0;
};

std::optional<host_port> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    host_port parsed;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, parsed.port);
    std::error_code addressError;
    parsed.host = asio::ip::make_address(host, addressError);
    if (error != std::errc() || stop != end || addressError) {
        return std::nullopt;
    }
    return parsed;
}

template<typename Endpoint>
std::string toText(const Endpoint &endpoint)
{
    const auto host = endpoint.address().to_string();
    const auto port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? '[' + host + "]:" + port : host + ':' + port;
}

std::string makeFrame(peer_message_kind kind, const std::string &payload)
{
    const auto length = static_cast<std::uint32_t>(payload.size() + envelopeBytes);
    std::string frame;
    frame.reserve(payload.size() + headerBytes);
    for (int shift = 24; shift >= 0; shift -= 8) {
        frame.push_back(static_cast<char>(length >> static_cast<unsigned>(shift)));
    }
    frame.push_back(static_cast<char>(peerProtocolVersion));
    frame.push_back(static_cast<char>(kind));
    frame.append(payload);
    return frame;
}

struct frame_header {
    std::size_t payloadBytes = 0;
    peer_message_kind kind = peer_message_kind::Table;
};

std::optional<frame_header> parseHeader(const std::array<unsigned char, headerBytes> &bytes)
{
    const std::size_t length = std::size_t{bytes[0]} << 24U | std::size_t{bytes[1]} << 16U | std::size_t{bytes[2]} << 8U
        | std::size_t{bytes[3]};
    const bool known = bytes[5] <= static_cast<unsigned char>(peer_message_kind::Request);
    if (length < envelopeBytes || length > maxPeerFrameBytes || bytes[4] != peerProtocolVersion || !known) {
        return std::nullopt;
    }
    return frame_header{length - envelopeBytes, static_cast<peer_message_kind>(bytes[5])};
}

std::size_t index(peer_message_kind kind)
{
    return static_cast<std::size_t>(kind);
}

}

/** An accepted connection: one request frame, one response frame. */
class peer_transport::inbound : public std::enable_shared_from_this<inbound>
{
public:
    inbound(std::shared_ptr<peer_transport> owner, tcp::socket socket)
        : m_owner(std::move(owner))
        , m_socket(std::move(socket))
        , m_timer(m_socket.get_executor(), inboundTimeout)
    {
    }

    void start()
    {
        m_timer.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error) {
                ++self->m_owner->m_counters.timeouts;
                self->close();
            }
        });
        asio::async_read(m_socket,
                         asio::buffer(m_header),
                         [self = shared_from_this()](std::error_code error, std::size_t) { self->headerRead(error); });
    }

    void close()
    {
        std::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        m_owner->m_inbound.erase(shared_from_this());
    }

    /** Nothing until the header of the request has been read. */
    std::optional<peer_message_kind> kind() const
    {
        return m_kind;
    }

private:
    void headerRead(std::error_code error)
    {
        if (error) {
            close();
            return;
        }
        const auto header = parseHeader(m_header);
        if (!header) {
            ++m_owner->m_counters.malformed;
            close();
            return;
        }
        m_kind = header->kind;
        m_payload.resize(header->payloadBytes);
        asio::async_read(m_socket,
                         asio::buffer(m_payload),
                         [self = shared_from_this()](std::error_code e, std::size_t) { self->payloadRead(e); });
    }

    void payloadRead(std::error_code error)
    {
        if (error || m_owner->m_stopped) {
            close();
            return;
        }
        auto &counters = m_owner->m_counters;
        ++counters.framesIn[index(*m_kind)];
        counters.frameBytesIn[index(*m_kind)] += m_payload.size() + headerBytes;
        m_owner->m_hooks.onMessage(
            *m_kind, std::move(m_payload), [self = shared_from_this()](std::optional<std::string> response) {
                asio::dispatch(self->m_owner->m_strand, [self, response = std::move(response)]() mutable {
                    self->respond(std::move(response));
                });
            });
    }

    void respond(std::optional<std::string> response)
    {
        if (std::exchange(m_responded, true)) {
            return;
        }
        if (!response || response->size() + envelopeBytes > maxPeerFrameBytes) {
            close();
            return;
        }
        m_response = makeFrame(*m_kind, *response);
        auto &counters = m_owner->m_counters;
        ++counters.framesOut[index(*m_kind)];
        counters.frameBytesOut[index(*m_kind)] += m_response.size();
        asio::async_write(m_socket,
                          asio::buffer(m_response),
                          [self = shared_from_this()](std::error_code, std::size_t) { self->close(); });
    }

    std::shared_ptr<peer_transport> m_owner;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::array<unsigned char, headerBytes> m_header{};
    std::optional<peer_message_kind> m_kind;
    std::string m_payload;
    std::string m_response;
    bool m_responded = false;
};

/** An exchange that this instance started. */
class peer_transport::outbound : public std::enable_shared_from_this<outbound>
{
public:
    outbound(std::shared_ptr<peer_transport> owner,
             peer_message_kind kind,
             const std::string &payload,
             std::function<void(std::optional<std::string>)> done)
        : m_owner(std::move(owner))
        , m_socket(m_owner->m_strand)
        , m_timer(m_owner->m_strand)
        , m_kind(kind)
        , m_request(makeFrame(kind, payload))
        , m_done(std::move(done))
    {
    }

    void start(const host_port &to, std::chrono::milliseconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error) {
                ++self->m_owner->m_counters.timeouts;
                self->finish(std::nullopt);
            }
        });
        m_socket.async_connect(tcp::endpoint(to.host, to.port),
                               [self = shared_from_this()](std::error_code error) { self->connected(error); });
    }

    void finish(std::optional<std::string> response)
    {
        if (!m_done) {
            return;
        }
        const auto done = std::exchange(m_done, nullptr);
        std::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        m_owner->m_outbound.erase(shared_from_this());
        done(std::move(response));
    }

private:
    void connected(std::error_code error)
    {
        if (error) {
            finish(std::nullopt);
            return;
        }
        auto &counters = m_owner->m_counters;
        ++counters.framesOut[index(m_kind)];
        counters.frameBytesOut[index(m_kind)] += m_request.size();
        asio::async_write(m_socket,
                          asio::buffer(m_request),
                          [self = shared_from_this()](std::error_code e, std::size_t) { self->written(e); });
    }

    void written(std::error_code error)
    {
        if (error) {
            finish(std::nullopt);
            return;
        }
        asio::async_read(m_socket, asio::buffer(m_header), [self = shared_from_this()](std::error_code e, std::size_t) {
            self->headerRead(e);
        });
    }

    void headerRead(std::error_code error)
    {
        const auto header = error ? std::nullopt : parseHeader(m_header);
        if (!header || header->kind != m_kind) {
            m_owner->m_counters.malformed += error ? 0 : 1;
            finish(std::nullopt);
            return;
        }
        m_payload.resize(header->payloadBytes);
        asio::async_read(m_socket,
                         asio::buffer(m_payload),
                         [self = shared_from_this()](std::error_code e, std::size_t) { self->payloadRead(e); });
    }

    void payloadRead(std::error_code error)
    {
        if (error) {
            finish(std::nullopt);
            return;
        }
        auto &counters = m_owner->m_counters;
        ++counters.framesIn[index(m_kind)];
        counters.frameBytesIn[index(m_kind)] += m_payload.size() + headerBytes;
        finish(std::move(m_payload));
    }

    std::shared_ptr<peer_transport> m_owner;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    peer_message_kind m_kind;
    std::string m_request;
    std::function<void(std::optional<std::string>)> m_done;
    std::array<unsigned char, headerBytes> m_header{};
    std::string m_payload;
};

peer_transport::peer_transport(strand_type strand, hooks callbacks)
    : m_strand(std::move(strand))
    , m_hooks(std::move(callbacks))
    , m_udp(m_strand)
    , m_acceptor(m_strand)
    , m_acceptDelay(m_strand)
{
}

peer_transport::~peer_transport() = default;

std::optional<std::string> peer_transport::open(const std::string &address)
{
    const auto parsed = parseAddress(address);
    if (!parsed) {
        return "control address is not IP:PORT: " + address;
    }
    try {
        const tcp::endpoint listen(parsed->host, parsed->port);
        m_acceptor.open(listen.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(listen);
        m_acceptor.listen();
        const udp::endpoint datagrams(parsed->host, m_acceptor.local_endpoint().port());
        m_udp.open(datagrams.protocol());
        m_udp.bind(datagrams);
        m_udp.non_blocking(true);
    } catch (const std::system_error &error) {
        return "cannot listen on " + address + ": " + error.what();
    }
    return std::nullopt;
}

void peer_transport::start()
{
    receiveNext();
    acceptNext();
}

void peer_transport::stop()
{
    if (std::exchange(m_stopped, true)) {
        return;
    }
    std::error_code ignored;
    m_udp.close(ignored);
    m_acceptor.close(ignored);
    m_acceptDelay.cancel();
    const auto accepted = m_inbound;
    for (const auto &connection : accepted) {
        connection->close();
    }
    const auto started = m_outbound;
    for (const auto &exchange : started) {
        exchange->finish(std::nullopt);
    }
}

std::string peer_transport::localAddress() const
{
    std::error_code error;
    const auto endpoint = m_udp.local_endpoint(error);
    return error ? std::string() : toText(endpoint);
}

void peer_transport::receiveNext()
{
    m_udp.async_receive_from(
        asio::buffer(m_buffer), m_source, [self = shared_from_this()](std::error_code error, std::size_t count) {
            if (self->m_stopped) {
                return;
            }
            if (!error) {
                const auto datagram = decodeDatagram(std::string_view(self->m_buffer.data(), count));
                if (datagram) {
                    const auto kind = static_cast<std::size_t>(datagram->kind);
                    ++self->m_counters.datagramsIn[kind];
                    self->m_counters.datagramBytesIn[kind] += count;
                    self->m_hooks.onDatagram(*datagram, toText(self->m_source));
                } else {
                    ++self->m_counters.malformed;
                }
            }
            // An error here reports an earlier send to a closed port; it does not concern the socket.
            self->receiveNext();
        });
}

void peer_transport::acceptNext()
{
    m_acceptor.async_accept([self = shared_from_this()](std::error_code error, tcp::socket socket) {
        if (self->m_stopped) {
            return;
        }
        if (!error && self->m_inbound.size() < maxInbound) {
            const auto connection = std::make_shared<inbound>(self, std::move(socket));
            self->m_inbound.insert(connection);
            connection->start();
        } else if (!error) {
            ++self->m_counters.refusedConnections;
        }
        if (!error) {
            self->acceptNext();
            return;
        }
        // Without the delay a lack of file descriptors would make this a busy loop.
        self->m_acceptDelay.expires_after(acceptRetry);
        self->m_acceptDelay.async_wait([self](std::error_code stopped) {
            if (!stopped && !self->m_stopped) {
                self->acceptNext();
            }
        });
    });
}

void peer_transport::send(const std::string &address, const peer_datagram &datagram)
{
    const auto to = parseAddress(address);
    if (!to || m_stopped) {
        ++m_counters.sendErrors;
        return;
    }
    const auto bytes = encodeDatagram(datagram);
    std::error_code error;
    m_udp.send_to(asio::buffer(bytes), udp::endpoint(to->host, to->port), 0, error);
    if (error) {
        // A lost datagram is within the protocol; the next probe repeats what it carried.
        ++m_counters.sendErrors;
        return;
    }
    const auto kind = static_cast<std::size_t>(datagram.kind);
    ++m_counters.datagramsOut[kind];
    m_counters.datagramBytesOut[kind] += bytes.size();
}

void peer_transport::call(const std::string &address,
                          peer_message_kind kind,
                          const std::string &payload,
                          std::chrono::milliseconds timeout,
                          std::function<void(std::optional<std::string>)> done)
{
    const auto to = parseAddress(address);
    if (!to || m_stopped || payload.size() + envelopeBytes > maxPeerFrameBytes) {
        asio::post(m_strand, [done = std::move(done)] { done(std::nullopt); });
        return;
    }
    const auto exchange = std::make_shared<outbound>(shared_from_this(), kind, payload, std::move(done));
    m_outbound.insert(exchange);
    exchange->start(*to, timeout);
}

std::size_t peer_transport::inboundCount(peer_message_kind kind) const
{
    const auto count = std::count_if(
        m_inbound.begin(), m_inbound.end(), [kind](const auto &connection) { return connection->kind() == kind; });
    return static_cast<std::size_t>(count);
}

const transport_counters &peer_transport::counters() const
{
    return m_counters;
}

}
