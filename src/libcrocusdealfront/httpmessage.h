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
    int status = 0; ///< 0 if there was no complete response.
    std::string body;
    std::string reason; ///< Why there was none.
};

/** One connection to an HTTP server, opened when it is needed; calls are made one after another. */
class http_client : public std::enable_shared_from_this<http_client>
{
public:
    http_client(asio::io_context &io, deadline_queue &deadlines, host_port address);

    /**
     * @p limit is the time without progress: a large response may take longer on a slow link. A call that fails closes
     * the connection, so the next opens a new one.
     */
    void call(http_request request, duration limit, std::function<void(http_response)> done);
    /** Ends the call that is under way without a response, and its connection; the calls behind it go on. */
    void abandonCall();
    void close();

private:
    struct pending_call;
    class reader;

    void armLimit(const std::shared_ptr<pending_call> &call);
    void begin();
    void sendRequest();
    void takeData(std::string &inbound);
    void finish(http_response response, bool isConnectionGood);

    asio::io_context &m_io;
    deadline_queue &m_deadlines;
    host_port m_address;
    std::shared_ptr<byte_stream> m_stream;
    bool m_isConnected = false;
    std::vector<std::shared_ptr<pending_call>> m_waiting;
    std::shared_ptr<pending_call> m_current;
    std::shared_ptr<reader> m_reader;
};

/** Serves small GET requests: readiness and metrics. */
class http_server : public std::enable_shared_from_this<http_server>
{
public:
    /** Gives the response to a path. */
    using handler = std::function<http_response(const std::string &path)>;

    http_server(asio::io_context &io, handler answer);

    /** Empty if it listens, else why not. */
    std::string listen(const host_port &address);
    void close();

private:
    void acceptNext();
    void serve(const std::shared_ptr<byte_stream> &stream);

    asio::ip::tcp::acceptor m_acceptor;
    handler m_answer;
};

}
