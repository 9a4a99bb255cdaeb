#include "frontworld.h"

#include "systemclock.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

class front_shutdown_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_shutdown_test);
    CPPUNIT_TEST(answersWhatWasReadBeforeItEnds);
    CPPUNIT_TEST(idleSessionsAreClosedAndTransactionsGetTime);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against LOST: the process ends in the turn in which its last answer is handed to the connection. */
    void answersWhatWasReadBeforeItEnds()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        world.group.at("a").faults.answerDelay = 700_ms;
        bool hasEnded = false;
        world.node->shutdown([&] { hasEnded = true; });
        CPPUNIT_ASSERT(!world.isReady());
        world.runFor(1000_ms);
        client->send("QUERY q WRITE 1 x");
        CPPUNIT_ASSERT(world.runUntil([&] { return client->hasAnswer(); }, 6000_ms));
        const auto answered = systemNow();
        assertContains("COMPLETE sig", client->takeAnswer());
        CPPUNIT_ASSERT(!hasEnded);
        CPPUNIT_ASSERT(world.runUntil([&] { return hasEnded; }, 6000_ms));
        CPPUNIT_ASSERT((systemNow() - answered) >= 200_ms);
    }

    /** Guards against requests that a shutdown cuts. */
    void idleSessionsAreClosedAndTransactionsGetTime()
    {
        front_world world;
        world.start();
        const auto idle = world.connect("fresh");
        const auto busy = world.connect("fresh");
        world.ask(*busy, "BEGIN");
        world.ask(*busy, "WRITE 1 x");
        bool hasEnded = false;
        world.node->shutdown([&] { hasEnded = true; });
        CPPUNIT_ASSERT(world.runUntil([&] { return idle->isClosed(); }, 3000_ms));
        CPPUNIT_ASSERT(!hasEnded && !busy->isClosed());
        assertContains("COMPLETE sig", world.ask(*busy, "COMMIT"));
        CPPUNIT_ASSERT(world.runUntil([&] { return hasEnded; }, 4000_ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_shutdown_test);
