#include "frontworld.h"

#include "systemclock.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

class front_drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_drain_test);
    CPPUNIT_TEST(leavingPrimaryGetsNothingNewAfterItsTime);
    CPPUNIT_TEST(checkWithoutHistoryReadsTheList);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against DRAIN (review/10): a report that is heard late is counted from when it was heard. */
    void leavingPrimaryGetsNothingNewAfterItsTime()
    {
        front_world world;
        world.settings.drainTime = 4000_ms;
        world.store.staleAge = 3000_ms;
        world.start();
        world.runFor(world.store.staleAge);
        world.store.loseOrders = true;
        world.store.orderDelay = 20000_ms;
        auto &primary = world.group.at("a");
        world.publishEntry("a", true);
        const auto reported = systemNow();
        duration last{0};
        while (systemNow() - reported < 6000_ms) {
            const auto before = primary.statements.size();
            const auto client = world.connect("fresh");
            world.ask(*client, "WRITE 1 x");
            last = primary.statements.size() > before ? systemNow() - reported : last;
        }
        CPPUNIT_ASSERT(last <= world.settings.drainTime);
        // Guards against an outage while the successor is chosen.
        CPPUNIT_ASSERT(last >= world.settings.drainTime / 4);
    }

    /** Guards against evidence that grows old, and calls in vain, once the store has forgotten its history. */
    void checkWithoutHistoryReadsTheList()
    {
        front_world world;
        world.settings.drainTime = 4000_ms;
        world.start();
        world.store.forgetHistory();
        const auto listed = world.store.calls["list"];
        const auto checked = world.store.calls["target check"];
        world.runFor(5000_ms);
        CPPUNIT_ASSERT(world.store.calls["list"] > listed);
        CPPUNIT_ASSERT(world.store.calls["target check"] - checked <= 5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_drain_test);
