#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/ssl/context.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace crocusdeal
{

/** The byte stream to a caller, in clear or, after startTls(), under TLS. */
class caller_stream
{
public:
    using executor = asio::any_io_executor;
    using handler = std::function<void(std::error_code, std::size_t)>;

    /** Handlers run on @p strand. */
    caller_stream(asio::ip::tcp::socket socket, executor strand);
    ~caller_stream();
    caller_stream(const caller_stream &) = delete;
    caller_stream &operator=(const caller_stream &) = delete;

    void readSome(char *to, std::size_t size, handler done);
    /** @p bytes must stay alive until @p done runs. */
    void write(std::string_view bytes, handler done);
    void startTls(asio::ssl::context &context, std::function<void(std::error_code)> done);
    bool isTls() const;
    void close();
    asio::ip::tcp::socket &socket();

private:
    struct tls_state;
    asio::ip::tcp::socket m_socket;
    executor m_strand;
    std::unique_ptr<tls_state> m_tls;
};

}
