#include "httpmessage.h"

#include "listener.h"
#include "systemclock.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <optional>

namespace crocusdeal
{

namespace
{

namespace http = boost::beast::http;

constexpr std::uint64_t maxResponse = 8388608;
constexpr int longestInLimits = 10; // A response that trickles in is given up after so many times its limit.
constexpr std::uint64_t maxRequest = 65536;

/** Feeds @p inbound to the parser and erases what it has used; false if the message is malformed. */
template<typename Parser>
bool feed(Parser &parser, std::string &inbound)
{
    std::size_t used = 0;
    while (used < inbound.size() && !parser.is_done()) {
        boost::system::error_code error;
        const auto count = parser.put(boost::asio::const_buffer(inbound.data() + used, inbound.size() - used), error);
        used += count;
        if (error == http::error::need_more) {
            break;
        }
        if (error) {
            return false;
        }
        if (count == 0) {
            break;
        }
    }
    inbound.erase(0, used);
    return true;
}

}

struct http_client::pending_call {
    http_request request;
    std::function<void(http_response)> done;
    duration progressLimit;
    time_point endsAt = never; ///< Whatever the progress.
    deadline_queue::handle limit = 0;
};

class http_client::reader
{
public:
    reader()
    {
        parser.body_limit(maxResponse);
        parser.eager(true);
    }

    http::response_parser<http::string_body> parser;
};

http_client::http_client(asio::io_context &io, deadline_queue &deadlines, host_port address)
    : m_io(io)
    , m_deadlines(deadlines)
    , m_address(std::move(address))
{
}

void http_client::call(http_request request, duration limit, std::function<void(http_response)> done)
{
    auto call = std::make_shared<pending_call>();
    call->request = std::move(request);
    call->done = std::move(done);
    call->progressLimit = limit;
    call->endsAt = systemNow() + limit * longestInLimits;
    armLimit(call);
    m_waiting.push_back(std::move(call));
    begin();
}

void http_client::armLimit(const std::shared_ptr<pending_call> &call)
{
    const auto limit = std::min(systemNow() + call->progressLimit, call->endsAt);
    call->limit = m_deadlines.schedule(limit, [self = shared_from_this(), call] {
        if (self->m_current == call) {
            self->finish({0, {}, "timed out"}, false);
            return;
        }
        std::erase(self->m_waiting, call);
        call->done({0, {}, "timed out before it was sent"});
    });
}

void http_client::close()
{
    if (m_stream) {
        m_stream->close();
        m_stream.reset();
    }
    m_isConnected = false;
}

void http_client::begin()
{
    if (m_current || m_waiting.empty()) {
        return;
    }
    m_current = m_waiting.front();
    m_waiting.erase(m_waiting.begin());
    m_reader = std::make_shared<reader>();
    if (m_stream && m_stream->isOpen() && m_isConnected) {
        sendRequest();
        return;
    }
    const auto self = shared_from_this();
    m_isConnected = false;
    m_stream = std::make_shared<byte_stream>(m_io);
    const auto *stream = m_stream.get();
    m_stream->onData = [self](std::string &inbound) { self->takeData(inbound); };
    m_stream->onClosed = [self, stream](const std::string &reason) {
        if (self->m_stream.get() == stream) {
            self->finish({0, {}, reason}, false);
        }
    };
    m_stream->connect(m_address, [self] {
        self->m_isConnected = true;
        self->sendRequest();
    });
}

void http_client::sendRequest()
{
    const auto &request = m_current->request;
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\nHost: " + toString(m_address) + "\r\n";
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!request.body.empty()) {
        text.append("Content-Type: application/json\r\n");
    }
    if (!request.body.empty() || request.method != "GET") {
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    text.append("\r\n").append(request.body);
    m_stream->send(text);
}

void http_client::abandonCall()
{
    if (m_current) {
        finish({0, {}, "abandoned"}, false);
    }
}

void http_client::takeData(std::string &inbound)
{
    if (!m_current) {
        inbound.clear();
        finish({0, {}, "response to nothing"}, false);
        return;
    }
    m_deadlines.cancel(m_current->limit);
    armLimit(m_current);
    auto &parser = m_reader->parser;
    if (!feed(parser, inbound)) {
        finish({0, {}, "response cannot be read"}, false);
        return;
    }
    if (!parser.is_done()) {
        return;
    }
    auto message = parser.release();
    finish({static_cast<int>(message.result_int()), std::move(message.body()), {}}, message.keep_alive());
}

void http_client::finish(http_response response, bool isConnectionGood)
{
    if (!isConnectionGood) {
        close();
    }
    const auto call = std::exchange(m_current, nullptr);
    m_reader.reset();
    if (call) {
        m_deadlines.cancel(call->limit);
        const auto done = std::exchange(call->done, nullptr);
        done(std::move(response));
    }
    begin();
}

http_server::http_server(asio::io_context &io, handler answer)
    : m_acceptor(io)
    , m_answer(std::move(answer))
{
}

std::string http_server::listen(const host_port &address)
{
    auto problem = openListener(m_acceptor, address);
    if (!problem.empty()) {
        return problem;
    }
    acceptNext();
    return {};
}

void http_server::close()
{
    std::error_code ignored; // Nothing depends on how a listener closes.
    m_acceptor.close(ignored);
}

void http_server::acceptNext()
{
    m_acceptor.async_accept([self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
        if (!self->m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            self->serve(std::make_shared<byte_stream>(std::move(socket)));
        }
        self->acceptNext();
    });
}

void http_server::serve(const std::shared_ptr<byte_stream> &stream)
{
    const auto parser = std::make_shared<std::optional<http::request_parser<http::string_body>>>();
    auto *connection = stream.get();
    stream->onData = [self = shared_from_this(), parser, connection](std::string &inbound) {
        while (!inbound.empty()) {
            if (!*parser) {
                parser->emplace();
                (*parser)->body_limit(maxRequest);
                (*parser)->eager(true);
            }
            if (!feed(**parser, inbound)) {
                inbound.clear();
                connection->close();
                return;
            }
            if (!(*parser)->is_done()) {
                return;
            }
            const auto message = (*parser)->release();
            parser->reset();
            const auto response = self->m_answer(std::string(message.target()));
            connection->send("HTTP/1.1 " + std::to_string(response.status) + (response.status < 300 ? " OK" : " Error")
                             + "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(response.body.size())
                             + "\r\n" + (message.keep_alive() ? "" : "Connection: close\r\n") + "\r\n" + response.body);
            if (!message.keep_alive()) {
                connection->closeAfterSending();
                return;
            }
        }
    };
    stream->startReading();
}

}
