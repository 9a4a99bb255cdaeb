#include "frontsession.h"
#include "frontworld.h"
#include "listener.h"

#include <asio/ip/tcp.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

namespace
{

/** One session whose operations need the budget of a workspace, which the test grants when it likes. */
class limited_session
{
public:
    limited_session()
        : m_acceptor(world.io)
    {
        workspace_entry entry;
        entry.name = workspace_id("shop");
        entry.keys.push_back(*access_key_digest::of("k"));
        world.configuration.workspaces = workspace_directory({entry});
        const auto address = world.holdAddress();
        openListener(m_acceptor, address);
        acceptConnections(m_acceptor, [this](asio::ip::tcp::socket socket) { begin(std::move(socket)); });
        caller = std::make_unique<line_client>(world.io, address);
        caller->startUp("fresh", "k");
        CPPUNIT_ASSERT(world.runUntil([this] { return caller->hasAnswer(); }));
        caller->takeAnswer();
    }
    ~limited_session()
    {
        session->close();
        m_acceptor.close();
        world.runFor(20_ms);
    }
    limited_session(const limited_session &) = delete;
    limited_session &operator=(const limited_session &) = delete;

    front_world world;
    std::unique_ptr<line_client> caller;
    std::shared_ptr<front_session> session;
    std::vector<admission_handler> waiting;
    int refunds = 0;

private:
    void begin(asio::ip::tcp::socket socket)
    {
        session_surroundings surroundings;
        surroundings.configuration = [this] {
            return std::make_shared<const routing_configuration>(world.configuration);
        };
        surroundings.accessValidUntil = [] { return std::nullopt; };
        surroundings.prepare = [](const service_id &) {};
        surroundings.run = [](const statement_order &, const session_values &, const outcome_handler &) {
            return nullptr;
        };
        surroundings.admit = [this](const workspace_id &, admission_handler done) {
            waiting.push_back(std::move(done));
        };
        surroundings.refund = [this](const workspace_id &, time_point) { ++refunds; };
        surroundings.leaving = [] { return nullptr; };
        session = std::make_shared<front_session>(
            world.context, std::make_shared<byte_stream>(std::move(socket)), std::move(surroundings));
        session->start();
    }

    asio::ip::tcp::acceptor m_acceptor;
};

}

class front_session_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_session_test);
    CPPUNIT_TEST(requestThatWaitsForItsBudgetIsAnsweredAtTheEnd);
    CPPUNIT_TEST(commitThatWaitsForItsBudgetEndsItsTransaction);
    CPPUNIT_TEST(lateRefusalHoldsUpNoOtherRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against LOST at a stop, and against budget that is lost with what did not begin. */
    void requestThatWaitsForItsBudgetIsAnsweredAtTheEnd()
    {
        limited_session one;
        one.caller->send("QUERY q1 WRITE 1 x");
        CPPUNIT_ASSERT(one.world.runUntil([&] { return one.waiting.size() == 1; }));
        one.session->expire();
        CPPUNIT_ASSERT(one.world.runUntil([&] { return one.caller->hasAnswer(); }));
        assertContains("ERROR BUSY", one.caller->takeAnswer());
        admission granted;
        granted.isAdmitted = true;
        one.waiting.front()(granted);
        one.world.runFor(20_ms);
        CPPUNIT_ASSERT_EQUAL(1, one.refunds);
        CPPUNIT_ASSERT(!one.caller->hasAnswer());
    }

    /** Guards against a session that is left in a failed transaction after its commit was refused. */
    void commitThatWaitsForItsBudgetEndsItsTransaction()
    {
        limited_session one;
        one.world.ask(*one.caller, "BEGIN");
        one.caller->send("QUERY q1 COMMIT");
        CPPUNIT_ASSERT(one.world.runUntil([&] { return one.waiting.size() == 1; }));
        one.session->expire();
        CPPUNIT_ASSERT(one.world.runUntil([&] { return one.caller->hasAnswer(); }));
        assertContains("READY I", one.caller->takeAnswer());
    }

    /** Guards against a caller that waits: its next request was read while the first one waited for its budget. */
    void lateRefusalHoldsUpNoOtherRequest()
    {
        limited_session one;
        one.caller->send("QUERY q1 WRITE 1 x");
        one.caller->send("QUERY q2 SET name value");
        CPPUNIT_ASSERT(one.world.runUntil([&] { return one.waiting.size() == 1; }));
        one.world.runFor(50_ms);
        one.waiting.front()(admission{});
        CPPUNIT_ASSERT(one.world.runUntil([&] { return one.caller->hasAnswer(); }));
        assertContains("ERROR BUSY", one.caller->takeAnswer());
        CPPUNIT_ASSERT(one.world.runUntil([&] { return one.caller->hasAnswer(); }, 1000_ms));
        assertContains("COMPLETE -", one.caller->takeAnswer());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_session_test);
