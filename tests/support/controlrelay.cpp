#include "controlrelay.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <vector>

namespace crocusdeal
{

namespace
{

constexpr std::size_t streamBuffer = 16384;

asio::ip::address loopback()
{
    return asio::ip::address_v4::loopback();
}

}

control_relay::control_relay(std::uint16_t port, std::uint16_t instancePort)
    : m_instance(loopback(), instancePort)
    , m_datagrams(m_context, udp::endpoint(loopback(), port))
    , m_acceptor(m_context, tcp::endpoint(loopback(), port))
{
    receive();
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

control_relay::~control_relay()
{
    m_context.stop();
    m_thread.join();
}

void control_relay::setCut(bool cut)
{
    m_cut = cut;
}

void control_relay::receive()
{
    m_datagrams.async_receive_from(asio::buffer(m_buffer), m_source, [this](std::error_code error, std::size_t count) {
        if (!error && !m_cut) {
            std::error_code ignored;
            senderOf(m_source)->socket.send_to(asio::buffer(m_buffer, count), m_instance, 0, ignored);
        }
        receive();
    });
}

std::shared_ptr<control_relay::datagram_sender> control_relay::senderOf(const udp::endpoint &endpoint)
{
    auto &sender = m_senders[endpoint];
    if (!sender) {
        sender = std::make_shared<datagram_sender>(
            datagram_sender{udp::socket(m_context, udp::endpoint(loopback(), 0)), endpoint, {}, {}});
        receiveAnswer(sender);
    }
    return sender;
}

void control_relay::receiveAnswer(const std::shared_ptr<datagram_sender> &sender)
{
    sender->socket.async_receive_from(
        asio::buffer(sender->buffer), sender->source, [this, sender](std::error_code error, std::size_t count) {
            if (!error && !m_cut) {
                std::error_code ignored;
                m_datagrams.send_to(asio::buffer(sender->buffer, count), sender->sender, 0, ignored);
            }
            receiveAnswer(sender);
        });
}

void control_relay::accept()
{
    m_acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
        if (!error) {
            join(std::make_shared<tcp::socket>(std::move(socket)));
        }
        accept();
    });
}

void control_relay::join(const std::shared_ptr<tcp::socket> &caller)
{
    auto instance = std::make_shared<tcp::socket>(m_context);
    instance->async_connect(tcp::endpoint(m_instance.address(), m_instance.port()),
                            [this, caller, instance](std::error_code error) {
                                if (!error) {
                                    pump(caller, instance);
                                    pump(instance, caller);
                                }
                            });
}

void control_relay::pump(const std::shared_ptr<tcp::socket> &from, const std::shared_ptr<tcp::socket> &to)
{
    auto buffer = std::make_shared<std::vector<char>>(streamBuffer);
    from->async_read_some(asio::buffer(*buffer), [this, from, to, buffer](std::error_code error, std::size_t count) {
        std::error_code ignored;
        if (error || m_cut) {
            to->shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::write(*to, asio::buffer(*buffer, count), ignored);
        pump(from, to);
    });
}

}
