#include "placement.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(prefersAReplicaNearby);
    CPPUNIT_TEST(avoidsASlowOrFullTarget);
    CPPUNIT_TEST(opensAConnectionOnlyIfItSavesTime);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against connection start-ups that take a target's slots from statements when all callers reconnect. */
    void opensAConnectionOnlyIfItSavesTime()
    {
        CPPUNIT_ASSERT(isConnectionWorthOpening(1, 0, 15, 27));
        CPPUNIT_ASSERT(!isConnectionWorthOpening(1, 1, 15, 27));
        CPPUNIT_ASSERT(isConnectionWorthOpening(2, 1, 15, 27));
        CPPUNIT_ASSERT(!isConnectionWorthOpening(3, 2, 15, 27));
        CPPUNIT_ASSERT(!isConnectionWorthOpening(4, 1, 40, 400));
    }

    /** Guards against reads that needlessly take slots of the primary or cross data centres. */
    void prefersAReplicaNearby()
    {
        auto primary = candidate(0);
        primary.isPrimary = true;
        primary.isLocal = true;
        const auto distant = candidate(1);
        auto nearby = candidate(2);
        nearby.isLocal = true;
        CPPUNIT_ASSERT(placeRead({primary, distant, nearby}) == std::size_t{2});
    }

    /** Guards against queueing at a busy or slow target while another is free. */
    void avoidsASlowOrFullTarget()
    {
        auto full = candidate(0);
        full.isLocal = true;
        full.inFlight = full.permits;
        auto slow = candidate(1);
        slow.answerMs = 80;
        const auto free = candidate(2);
        CPPUNIT_ASSERT(placeRead({full, slow, free}) == std::size_t{2});
        CPPUNIT_ASSERT(!placeRead({full}));
    }

private:
    static read_candidate candidate(std::size_t index)
    {
        read_candidate result;
        result.index = index;
        result.permits = 2;
        result.slots = 2;
        result.answerMs = 10;
        result.hasRequiredPosition = true;
        result.hasIdleConnection = true;
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);
