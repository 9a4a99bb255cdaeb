#include "platformexchange.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

using asio::ip::tcp;

/** A platform that closes each connection as soon as it is accepted. */
class closing_platform
{
public:
    closing_platform()
        : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_thread([this] { serve(); })
    {
    }
    ~closing_platform()
    {
        m_stopped = true;
        std::error_code ignored;
        tcp::socket(m_io).connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }
    closing_platform(const closing_platform &) = delete;
    closing_platform &operator=(const closing_platform &) = delete;

    host_port address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    void serve()
    {
        while (!m_stopped) {
            std::error_code ignored;
            tcp::socket socket(m_io);
            m_acceptor.accept(socket, ignored);
        }
    }

    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

std::atomic<int> brokenPipes{0};

}

class http_library_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_library_test);
    CPPUNIT_TEST(abortedCallRaisesNoSignal);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a process that SIGPIPE ends because a call was aborted between its connection and its request. */
    void abortedCallRaisesNoSignal()
    {
        const closing_platform platform;
        const auto before = std::signal(SIGPIPE, [](int) { ++brokenPipes; });
        platform_exchange exchange(platform.address(), "i1");
        std::atomic<bool> finished{false};
        std::thread aborting([&] {
            while (!finished) {
                exchange.abortCalls();
            }
        });
        constexpr int calls = 1000;
        int answered = 0;
        for (int i = 0; i < calls; ++i) {
            answered += exchange.call({"GET", "/v1/instances", ""}, 1_s).value ? 1 : 0;
        }
        finished = true;
        aborting.join();
        std::signal(SIGPIPE, before);
        CPPUNIT_ASSERT_EQUAL(0, answered);
        CPPUNIT_ASSERT_EQUAL(0, brokenPipes.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_library_test);
