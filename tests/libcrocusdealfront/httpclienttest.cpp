#include "httpmessage.h"
#include "listener.h"
#include "systemclock.h"

#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

constexpr std::uint16_t anyPort = 0;

/** Responds to the first request with a body of @p pieces bytes, sending one byte every @p interval. */
class slow_server
{
public:
    slow_server(asio::io_context &io, deadline_queue &deadlines, int pieces, duration interval)
        : m_deadlines(deadlines)
        , m_acceptor(io)
        , m_pieces(pieces)
        , m_interval(interval)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), openListener(m_acceptor, {"127.0.0.1", anyPort}));
        m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            m_stream = std::make_shared<byte_stream>(std::move(socket));
            m_stream->onData = [this](std::string &inbound) {
                inbound.clear();
                m_stream->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(m_pieces) + "\r\n\r\n");
                sendPiece();
            };
            m_stream->startReading();
        });
    }

    ~slow_server()
    {
        if (m_stream) {
            m_stream->close();
        }
    }

    slow_server(const slow_server &) = delete;
    slow_server &operator=(const slow_server &) = delete;

    host_port address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void sendPiece()
    {
        if (m_sent == m_pieces) {
            return;
        }
        m_deadlines.scheduleAfter(m_interval, [this] {
            ++m_sent;
            m_stream->send("x");
            sendPiece();
        });
    }

    deadline_queue &m_deadlines;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<byte_stream> m_stream;
    int m_pieces;
    duration m_interval;
    int m_sent = 0;
};

}

class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(largeResponseOnSlowLinkCompletes);
    CPPUNIT_TEST(endlesslySlowResponseTimesOut);
    CPPUNIT_TEST(silentServerTimesOut);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Guards against a timeout on the whole response: on a slow link, an instance would retry reading the list of
     * targets for ever and never start.
     */
    void largeResponseOnSlowLinkCompletes()
    {
        CPPUNIT_ASSERT_EQUAL(200, callOnce(8, 50_ms, 150_ms).status);
    }

    /** Guards against a call that never ends because every byte of the response restarts its timeout. */
    void endlesslySlowResponseTimesOut()
    {
        const auto startedAt = systemNow();
        CPPUNIT_ASSERT_EQUAL(std::string("timed out"), callOnce(1000, 10_ms, 30_ms).reason);
        CPPUNIT_ASSERT(systemNow() - startedAt < 1000_ms);
    }

    /** Guards against waiting longer than the timeout for a store that has stopped responding. */
    void silentServerTimesOut()
    {
        const auto startedAt = systemNow();
        CPPUNIT_ASSERT_EQUAL(std::string("timed out"), callOnce(1, 10000_ms, 100_ms).reason);
        CPPUNIT_ASSERT(systemNow() - startedAt < 500_ms);
    }

private:
    static http_response callOnce(int pieces, duration interval, duration timeout)
    {
        asio::io_context io;
        deadline_queue deadlines(io);
        slow_server server(io, deadlines, pieces, interval);
        const auto client = std::make_shared<http_client>(io, deadlines, server.address());
        std::optional<http_response> result;
        client->call({"GET", "/", {}, {}}, timeout, [&](const http_response &response) { result = response; });
        while (!result) {
            io.run_one();
        }
        client->close();
        deadlines.cancelAll();
        return *result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);
