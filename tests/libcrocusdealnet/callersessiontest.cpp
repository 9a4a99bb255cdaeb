#include "callersession.h"
#include "callerstream.h"

#include <asio/ip/tcp.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

using namespace crocusdeal;

namespace
{

using asio::ip::tcp;

constexpr std::size_t maxMessageBytes = std::size_t{1024} * 1024;

/** The parts of an instance that its sessions use. */
struct instance_parts {
    explicit instance_parts(asio::io_context &io)
        : environment{io, std::make_shared<session_registry>(1), statements, nullptr, nullptr}
    {
    }

    statement_cache statements{1};
    session_environment environment;
};

class caller_session_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_session_test);
    CPPUNIT_TEST(outlivesItsInstance);
    CPPUNIT_TEST(closedSessionLeavesTheRegistry);
    CPPUNIT_TEST_SUITE_END();

    std::optional<asio::io_context> m_io;
    std::unique_ptr<instance_parts> m_instance;
    std::unique_ptr<tcp::socket> m_caller;

    void beginSession()
    {
        tcp::acceptor acceptor(*m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        m_caller = std::make_unique<tcp::socket>(*m_io);
        m_caller->connect(acceptor.local_endpoint());
        const auto strand = asio::make_strand(*m_io);
        auto stream = std::make_unique<caller_stream>(acceptor.accept(), strand);
        std::make_shared<caller_session>(m_instance->environment,
                                         std::make_shared<service_hooks>(),
                                         std::move(stream),
                                         strand,
                                         frame_reader(maxMessageBytes),
                                         session_options{})
            ->start({});
        // The rest of the start-up answer is written, then the session waits for the first request.
        m_io->run_one();
        m_io->poll();
        m_io->restart();
    }

public:
    void setUp() override
    {
        m_io.emplace();
        m_instance = std::make_unique<instance_parts>(*m_io);
    }

    void tearDown() override
    {
        m_caller.reset();
        m_io.reset();
        m_instance.reset();
    }

    /**
     * Guards against an instance that ends with an error after its shutdown: the aborted read of a closed session was
     * still queued when the threads stopped, and dropping it removed the session from a registry that was gone.
     */
    void outlivesItsInstance()
    {
        beginSession();
        const std::weak_ptr<session_registry> registry = m_instance->environment.registry;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.lock()->size());
        m_instance.reset();
        CPPUNIT_ASSERT(!registry.expired());
        m_caller.reset();
        m_io.reset();
        CPPUNIT_ASSERT(registry.expired());
    }

    /** Guards against a shutdown that waits for a session whose caller has left. */
    void closedSessionLeavesTheRegistry()
    {
        beginSession();
        m_caller->close();
        m_io->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_instance->environment.registry->size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_session_test);

}
