#pragma once

#include "bytestream.h"
#include "deadlinequeue.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crocusdeal
{

struct http_request {
    std::string method;
    std::string target; ///< Path and query.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct http_response {
    int status = 0; ///< 0 if no complete response arrived.
    std::string body;
    std::string reason; ///< Why no complete response arrived.
};

/** Client with one connection to an HTTP server, opened on demand. Calls are queued and sent one at a time. */
class http_client : public std::enable_shared_from_this<http_client>
{
public:
    http_client(asio::io_context &io, deadline_queue &deadlines, host_port address);

    /**
     * @p timeout limits the time without progress, not the whole call: a large response may take longer on a slow link.
     * A call that fails closes the connection, so that the next call opens a new one.
     */
    void call(http_request request, duration timeout, std::function<void(http_response)> done);
    /** Ends the call in progress without a response and closes its connection; queued calls are still sent. */
    void abandonCall();
    void close();

private:
    struct pending_call;
    class reader;

    void armTimeout(const std::shared_ptr<pending_call> &call);
    void startNextCall();
    void sendRequest();
    void handleData(std::string &inbound);
    void finishCall(http_response response, bool isConnectionReusable);

    asio::io_context &m_io;
    deadline_queue &m_deadlines;
    host_port m_address;
    std::shared_ptr<byte_stream> m_stream;
    bool m_isConnected = false;
    std::vector<std::shared_ptr<pending_call>> m_queue;
    std::shared_ptr<pending_call> m_currentCall;
    std::shared_ptr<reader> m_reader;
};

/** Serves small GET requests, such as readiness and metrics. */
class http_server : public std::enable_shared_from_this<http_server>
{
public:
    /** Returns the response to a request for @p path. */
    using handler = std::function<http_response(const std::string &path)>;

    http_server(asio::io_context &io, handler requestHandler);

    /** Returns an empty string on success, otherwise the error. */
    std::string listen(const host_port &address);
    void close();

private:
    void serve(const std::shared_ptr<byte_stream> &stream);

    asio::ip::tcp::acceptor m_acceptor;
    handler m_requestHandler;
};

}
