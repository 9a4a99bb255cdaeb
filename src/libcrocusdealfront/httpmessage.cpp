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

constexpr std::uint64_t maxResponseBytes = 8388608;
constexpr int maxTimeoutsPerCall = 10; // A call whose response keeps arriving slowly ends after this many timeouts.
constexpr std::uint64_t maxRequestBytes = 65536;

/** Passes @p inbound to the parser and erases the bytes it consumed. Returns false if the message is malformed. */
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
    duration idleTimeout;
    time_point deadline = never; ///< The call ends then even if it makes progress.
    deadline_queue::handle timer = 0;
};

class http_client::reader
{
public:
    reader()
    {
        parser.body_limit(maxResponseBytes);
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

void http_client::call(http_request request, duration timeout, std::function<void(http_response)> done)
{
    auto call = std::make_shared<pending_call>();
    call->request = std::move(request);
    call->done = std::move(done);
    call->idleTimeout = timeout;
    call->deadline = systemNow() + timeout * maxTimeoutsPerCall;
    armTimeout(call);
    m_queue.push_back(std::move(call));
    startNextCall();
}

void http_client::armTimeout(const std::shared_ptr<pending_call> &call)
{
    const auto expiry = std::min(systemNow() + call->idleTimeout, call->deadline);
    call->timer = m_deadlines.schedule(expiry, [self = shared_from_this(), call] {
        if (self->m_currentCall == call) {
            self->finishCall({0, {}, "timed out"}, false);
            return;
        }
        std::erase(self->m_queue, call);
        call->done({0, {}, "timed out before the request was sent"});
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

void http_client::startNextCall()
{
    if (m_currentCall || m_queue.empty()) {
        return;
    }
    m_currentCall = m_queue.front();
    m_queue.erase(m_queue.begin());
    m_reader = std::make_shared<reader>();
    if (m_stream && m_stream->isOpen() && m_isConnected) {
        sendRequest();
        return;
    }
    const auto self = shared_from_this();
    m_isConnected = false;
    m_stream = std::make_shared<byte_stream>(m_io);
    const auto *stream = m_stream.get();
    m_stream->onData = [self](std::string &inbound) { self->handleData(inbound); };
    m_stream->onClosed = [self, stream](const std::string &reason) {
        if (self->m_stream.get() == stream) {
            self->finishCall({0, {}, reason}, false);
        }
    };
    m_stream->connect(m_address, [self] {
        self->m_isConnected = true;
        self->sendRequest();
    });
}

void http_client::sendRequest()
{
    const auto &request = m_currentCall->request;
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
    if (m_currentCall) {
        finishCall({0, {}, "abandoned"}, false);
    }
}

void http_client::handleData(std::string &inbound)
{
    if (!m_currentCall) {
        inbound.clear();
        finishCall({0, {}, "response to no outstanding request"}, false);
        return;
    }
    m_deadlines.cancel(m_currentCall->timer);
    armTimeout(m_currentCall);
    auto &parser = m_reader->parser;
    if (!feed(parser, inbound)) {
        finishCall({0, {}, "response cannot be read: malformed, or larger than 8388608 bytes"}, false);
        return;
    }
    if (!parser.is_done()) {
        return;
    }
    auto message = parser.release();
    finishCall({static_cast<int>(message.result_int()), std::move(message.body()), {}}, message.keep_alive());
}

void http_client::finishCall(http_response response, bool isConnectionReusable)
{
    if (!isConnectionReusable) {
        close();
    }
    const auto call = std::exchange(m_currentCall, nullptr);
    m_reader.reset();
    if (call) {
        m_deadlines.cancel(call->timer);
        const auto done = std::exchange(call->done, nullptr);
        done(std::move(response));
    }
    startNextCall();
}

http_server::http_server(asio::io_context &io, handler requestHandler)
    : m_acceptor(io)
    , m_requestHandler(std::move(requestHandler))
{
}

std::string http_server::listen(const host_port &address)
{
    auto problem = openListener(m_acceptor, address);
    if (!problem.empty()) {
        return problem;
    }
    acceptConnections(m_acceptor, [self = shared_from_this()](asio::ip::tcp::socket socket) {
        self->serve(std::make_shared<byte_stream>(std::move(socket)));
    });
    return {};
}

void http_server::close()
{
    std::error_code ignored; // A failure to close the listener has no consequences.
    m_acceptor.close(ignored);
}

void http_server::serve(const std::shared_ptr<byte_stream> &stream)
{
    const auto parser = std::make_shared<std::optional<http::request_parser<http::string_body>>>();
    auto *connection = stream.get();
    stream->onData = [self = shared_from_this(), parser, connection](std::string &inbound) {
        while (!inbound.empty()) {
            if (!*parser) {
                parser->emplace();
                (*parser)->body_limit(maxRequestBytes);
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
            const auto response = self->m_requestHandler(std::string(message.target()));
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
