#include "frontworld.h"

#include "systemclock.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

class front_connection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_connection_test);
    CPPUNIT_TEST(connectionLimitIsNoTroubleWithThePrimary);
    CPPUNIT_TEST(unusedConnectionsGoSoonWhereTheyAreScarce);
    CPPUNIT_TEST(lateControlStatementCutsNoOther);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Load: more instances than a target accepts connections. Guards against refusing callers whom the primary could
     * serve, and against surveys that take the slots of targets which are at their limit.
     */
    void connectionLimitIsNoTroubleWithThePrimary()
    {
        front_world world;
        world.start();
        auto &primary = world.group.at("a");
        const auto client = world.connect("fresh");
        assertContains("COMPLETE sig-a", world.ask(*client, "WRITE 1 x"));
        // The connections of this instance go, and others take all that the target accepts.
        CPPUNIT_ASSERT(world.runUntil([&] { return primary.openConnections() == 0; }, 7000_ms));
        for (auto &[id, database] : world.group.databases) {
            database->faults.connectionLimit = 0;
        }
        const auto controls = primary.controls.size();
        const auto other = world.connect("fresh");
        other->send("QUERY w1 WRITE 2 y");
        world.runFor(250_ms);
        CPPUNIT_ASSERT(!other->hasAnswer());
        CPPUNIT_ASSERT(primary.connectionsRefused >= 1 && primary.connectionsRefused <= 4);
        CPPUNIT_ASSERT_EQUAL(0, world.group.at("b").connectionsRefused);
        primary.faults.connectionLimit = 10;
        CPPUNIT_ASSERT(world.runUntil([&] { return other->hasAnswer(); }, 500_ms));
        assertContains("COMPLETE sig-a", other->takeAnswer());
        CPPUNIT_ASSERT_EQUAL(controls, primary.controls.size());
        CPPUNIT_ASSERT(world.store.orders.empty());
    }

    /** Guards against connections held in reserve while the target refuses those of other instances. */
    void unusedConnectionsGoSoonWhereTheyAreScarce()
    {
        front_world world;
        world.start();
        auto &primary = world.group.at("a");
        primary.faults.answerDelay = 40_ms;
        constexpr std::size_t count = 6;
        std::vector<std::unique_ptr<line_client>> clients;
        clients.reserve(count);
        while (clients.size() < count) {
            clients.push_back(world.connect("fresh"));
        }
        primary.faults.connectionLimit = 1;
        for (const auto &client : clients) {
            client->send("QUERY w WRITE 2 y");
        }
        CPPUNIT_ASSERT(world.runUntil([&] { return primary.connectionsRefused > 0; }));
        for (const auto &client : clients) {
            CPPUNIT_ASSERT(world.runUntil([&] { return client->hasAnswer(); }));
            assertContains("COMPLETE sig-a", client->takeAnswer());
        }
        CPPUNIT_ASSERT(world.runUntil([&] { return primary.openConnections() == 0; }, 600_ms));
    }

    /** Guards against a lapsed control statement that cuts the connection of the others, which are about to be
     * answered. */
    void lateControlStatementCutsNoOther()
    {
        front_world world;
        world.start();
        const auto &database = world.group.at("b");
        target_entry entry;
        entry.id = target_id("b");
        entry.service = service_id("svc");
        entry.address = database.address();
        const auto pool = std::make_shared<target_pool>(world.context, entry, connection_allowance{4, false});
        pool->openMore({});
        CPPUNIT_ASSERT(world.runUntil([&] { return pool->hasIdle({}); }));
        const auto idle = pool->takeIdle({});
        world.group.at("b").faults.startupDelay = 500_ms;
        world.group.at("b").faults.controlDelay = 200_ms;
        std::vector<control_reply> late;
        pool->control(control_statement::Status, 0, 100_ms, [&](const control_reply &reply) { late.push_back(reply); });
        pool->giveBack(idle);
        std::vector<control_reply> patient;
        pool->control(
            control_statement::Status, 0, 800_ms, [&](const control_reply &reply) { patient.push_back(reply); });
        CPPUNIT_ASSERT(world.runUntil([&] { return !late.empty(); }));
        CPPUNIT_ASSERT(!late.front().report);
        CPPUNIT_ASSERT(world.runUntil([&] { return !patient.empty(); }));
        CPPUNIT_ASSERT(patient.front().report);
        pool->close();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_connection_test);
