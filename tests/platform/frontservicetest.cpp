#include "frontworld.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

/** Connections and work for services, as far as callers use them. */
class front_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_service_test);
    CPPUNIT_TEST(unusedServiceTakesNoConnection);
    CPPUNIT_TEST(serviceIsLetGoOfAndServedAgain);
    CPPUNIT_TEST(unusedConnectionsAreClosed);
    CPPUNIT_TEST(wronglyClaimedPrimaryIsFoundOut);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against connections of every instance to every target, more than the targets accept. */
    void unusedServiceTakesNoConnection()
    {
        front_world world;
        world.configuration.services.emplace(service_id("other"), service_policy{12, 1});
        world.store.setConfiguration(world.configuration);
        world.node = std::make_shared<front>(world.context, world.settings, world.store, world.store);
        CPPUNIT_ASSERT(world.node->start().empty());
        CPPUNIT_ASSERT(world.runUntil([&] { return world.isReady(); }));
        world.runFor(300_ms);
        for (const auto &[id, database] : world.group.databases) {
            CPPUNIT_ASSERT_EQUAL(0, database->connectionsSeen);
        }
        const auto client = world.connect("fresh");
        assertContains("COMPLETE sig", world.ask(*client, "WRITE 1 x"));
        CPPUNIT_ASSERT(world.group.at("a").connectionsSeen > 0);
    }

    /** Guards against connections that are kept for callers who have left, and against losing those who come back. */
    void serviceIsLetGoOfAndServedAgain()
    {
        front_world world;
        world.settings.serviceIdleTimeout = 500_ms;
        world.start();
        const auto client = world.connect("own");
        assertContains("COMPLETE sig", world.ask(*client, "WRITE 1 x"));
        CPPUNIT_ASSERT(world.runUntil([&] { return world.group.at("a").openConnections() == 0; }, 2500_ms));
        assertContains("DATAROW x", world.ask(*client, "READ 1"));
        assertContains("COMPLETE sig", world.ask(*client, "WRITE 1 y"));
    }

    /** Guards against a fleet that keeps the connections of a target from those of its instances that need one. */
    void unusedConnectionsAreClosed()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        assertContains("COMPLETE sig", world.ask(*client, "WRITE 1 x"));
        CPPUNIT_ASSERT(world.runUntil([&] { return world.group.at("a").openConnections() == 0; }, 5000_ms));
        assertContains("COMPLETE sig", world.ask(*client, "WRITE 1 y"));
    }

    /** Guards against a service without a primary because of an entry that is older than the last change. */
    void wronglyClaimedPrimaryIsFoundOut()
    {
        front_world world;
        world.group.at("a").isPrimary = false;
        world.group.at("b").isPrimary = true;
        world.start();
        const auto client = world.connect("fresh");
        assertContains("COMPLETE sig", world.ask(*client, "WRITE 1 x"));
        CPPUNIT_ASSERT(world.store.orders.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_service_test);
