#include "httplibrary.h"

#include <csignal>

#ifdef __SANITIZE_THREAD__

#include <httplib.h>

#include <mutex>

namespace crocusdeal
{

namespace
{

/** Gives a fixed input and drops the output. */
class memory_stream : public httplib::Stream
{
public:
    explicit memory_stream(std::string input)
        : m_input(std::move(input))
    {
    }

    bool is_readable() const override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool is_writable() const override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    ssize_t read(char *to, std::size_t size) override
    {
        const auto count = m_input.copy(to, size, m_read);
        m_read += count;
        return static_cast<ssize_t>(count);
    }
    ssize_t write(const char * /*from*/, std::size_t size) override
    {
        return static_cast<ssize_t>(size);
    }
    void get_remote_ip_and_port(std::string & /*ip*/, int & /*port*/) const override // NOLINT
    {
    }
    void get_local_ip_and_port(std::string & /*ip*/, int & /*port*/) const override // NOLINT
    {
    }
    socket_t socket() const override
    {
        return INVALID_SOCKET;
    }

private:
    std::string m_input;
    std::size_t m_read = 0;
};

class warm_server : public httplib::Server
{
public:
    void serve(const std::string &request)
    {
        memory_stream stream(request);
        bool closed = false;
        process_request(stream, true, closed, nullptr);
    }
};

class warm_client : public httplib::ClientImpl
{
public:
    warm_client()
        : ClientImpl("localhost", 1)
    {
    }

    void receive(const std::string &answer)
    {
        memory_stream stream(answer);
        httplib::Request request;
        request.method = "GET";
        request.path = "/";
        httplib::Response response;
        auto error = httplib::Error::Success;
        process_request(stream, request, response, true, error);
    }
};

void exerciseLibrary()
{
    warm_server server;
    server.Get("/a", [](const auto & /*request*/, auto &response) { response.set_content("{}", "application/json"); });
    server.Put("/a", [](const auto & /*request*/, auto &response) { response.set_content("{}", "application/json"); });
    const std::string body = "HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
    server.serve("GET /a?b=%20c HTTP/1.1\r\nHost: a\r\n\r\n");
    server.serve("GET /missing HTTP/1.1\r\nHost: a\r\n\r\n");
    server.serve("PUT /a " + body);
    server.serve("POST /a " + body);
    warm_client client;
    client.receive("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}");
}

}

void prepareHttpLibrary()
{
    std::signal(SIGPIPE, SIG_IGN);
    static std::once_flag done;
    std::call_once(done, exerciseLibrary);
}

}

#else

namespace crocusdeal
{

void prepareHttpLibrary()
{
    std::signal(SIGPIPE, SIG_IGN);
}

}

#endif
