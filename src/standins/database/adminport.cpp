#include "adminport.h"

#include "loopbacklistener.h"

#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <istream>
#include <memory>
#include <sstream>
#include <stdexcept>

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxLineBytes = 4096;

class admin_connection : public std::enable_shared_from_this<admin_connection>
{
public:
    admin_connection(server &owner, asio::ip::tcp::socket socket)
        : m_server(owner)
        , m_socket(std::move(socket))
        , m_buffer(maxLineBytes)
    {
    }

    void read()
    {
        asio::async_read_until(
            m_socket, m_buffer, '\n', [self = shared_from_this()](asio::error_code error, std::size_t) {
                if (!error) {
                    self->answer();
                }
            });
    }

private:
    void answer()
    {
        std::istream input(&m_buffer);
        std::string line;
        std::getline(input, line);
        std::istringstream fields(line);
        std::vector<std::string> words;
        for (std::string word; fields >> word;) {
            words.push_back(word);
        }
        try {
            m_answer = m_server.command(words) + '\n';
        } catch (const std::invalid_argument &error) {
            m_answer = std::string("error ") + error.what() + '\n';
        }
        asio::async_write(
            m_socket, asio::buffer(m_answer), [self = shared_from_this()](asio::error_code error, std::size_t) {
                if (!error) {
                    self->read();
                }
            });
    }

    server &m_server;
    asio::ip::tcp::socket m_socket;
    asio::streambuf m_buffer;
    std::string m_answer;
};

}

admin_port::admin_port(server &owner, const std::string &address)
    : m_server(owner)
    , m_acceptor(owner.context())
{
    listenOnLoopback(m_acceptor, address);
    accept();
}

std::uint16_t admin_port::port() const
{
    return m_acceptor.local_endpoint().port();
}

void admin_port::accept()
{
    m_acceptor.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
        if (!error) {
            std::make_shared<admin_connection>(m_server, std::move(socket))->read();
        }
        accept();
    });
}

}
