#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <thread>

namespace crocusdeal
{

/**
 * Stands in front of the control address of an instance and passes datagrams and TCP streams in both directions, until
 * it is cut: then it drops the datagrams, and TCP connections end or stay without an answer.
 */
class control_relay
{
public:
    /** Both ports are on 127.0.0.1; @p port is the advertised one. */
    control_relay(std::uint16_t port, std::uint16_t instancePort);
    ~control_relay();
    control_relay(const control_relay &) = delete;
    control_relay &operator=(const control_relay &) = delete;

    void setCut(bool cut);

private:
    using udp = asio::ip::udp;
    using tcp = asio::ip::tcp;

    /** The socket that stands for one sender of datagrams towards the instance. */
    struct datagram_sender {
        udp::socket socket;
        udp::endpoint sender;
        udp::endpoint source;
        std::array<char, 2048> buffer{};
    };

    void receive();
    void receiveAnswer(const std::shared_ptr<datagram_sender> &sender);
    std::shared_ptr<datagram_sender> senderOf(const udp::endpoint &endpoint);
    void accept();
    void join(const std::shared_ptr<tcp::socket> &caller);
    void pump(const std::shared_ptr<tcp::socket> &from, const std::shared_ptr<tcp::socket> &to);

    asio::io_context m_context;
    std::atomic<bool> m_cut = false;
    udp::endpoint m_instance;
    udp::socket m_datagrams;
    tcp::acceptor m_acceptor;
    udp::endpoint m_source;
    std::array<char, 2048> m_buffer{};
    std::map<udp::endpoint, std::shared_ptr<datagram_sender>> m_senders;
    std::thread m_thread;
};

}
