#include "replicabackoff.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;

class replica_backoff_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_backoff_test);
    CPPUNIT_TEST(backoffGrowsWhileTheReplicaLags);
    CPPUNIT_TEST(oneBurstOfRefusalsCountsOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against sending reads for seconds to a lagging replica that can only refuse them. */
    void backoffGrowsWhileTheReplicaLags()
    {
        replica_backoff backoff;
        backoff.recordLagging({0}, {10});
        CPPUNIT_ASSERT(backoff.isBackingOff({159}));
        CPPUNIT_ASSERT(!backoff.isBackingOff({160}));
        backoff.recordLagging({160}, {165});
        CPPUNIT_ASSERT(backoff.isBackingOff({464}));
        for (std::int64_t at = 1000; at < 20000; at += 2000) {
            backoff.recordLagging({at}, {at});
        }
        CPPUNIT_ASSERT(backoff.isBackingOff({20199}));
        CPPUNIT_ASSERT(!backoff.isBackingOff({20201}));
        backoff.recordCaughtUp();
        CPPUNIT_ASSERT(!backoff.isBackingOff({20100}));
        backoff.recordLagging({21000}, {21000});
        CPPUNIT_ASSERT(!backoff.isBackingOff({21150}));
    }

    /** Guards against a long backoff for a replica that lagged only briefly: one burst of refusals counts once. */
    void oneBurstOfRefusalsCountsOnce()
    {
        replica_backoff backoff;
        for (std::int64_t at = 0; at < 10; ++at) {
            backoff.recordLagging({at}, {10 + at});
        }
        CPPUNIT_ASSERT(!backoff.isBackingOff({160}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_backoff_test);
