#include "adaptiveconcurrencylimit.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;

class adaptive_concurrency_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(adaptive_concurrency_limit_test);
    CPPUNIT_TEST(decreasesOncePerBatch);
    CPPUNIT_TEST(alwaysLeavesOnePermit);
    CPPUNIT_TEST(increasesWhileTheTargetSucceeds);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against cutting the limit to the minimum for one short overload: refusals of one batch count once. */
    void decreasesOncePerBatch()
    {
        adaptive_concurrency_limit limit(8);
        limit.recordBusy({1000}, {1003});
        limit.recordBusy({1001}, {1004});
        limit.recordBusy({1002}, {1004});
        CPPUNIT_ASSERT_EQUAL(4, limit.permits());
        limit.recordBusy({1005}, {1008});
        CPPUNIT_ASSERT_EQUAL(2, limit.permits());
        CPPUNIT_ASSERT(limit.backoffUntil() > (time_point{1008}));
    }

    /** Guards against starving a service whose target sheds load for a long time. */
    void alwaysLeavesOnePermit()
    {
        adaptive_concurrency_limit limit(4);
        for (int i = 0; i < 100; ++i) {
            limit.recordBusy({1000 + i * 10}, {1005 + i * 10});
            CPPUNIT_ASSERT(limit.permits() >= 1);
        }
        CPPUNIT_ASSERT((limit.backoffUntil() - time_point{1995}).ms <= 100);
    }

    /** Guards against a limit that does not recover, or that exceeds the slots of the target. */
    void increasesWhileTheTargetSucceeds()
    {
        adaptive_concurrency_limit limit(4);
        limit.recordBusy({1000}, {1005});
        limit.recordBusy({1010}, {1015});
        CPPUNIT_ASSERT_EQUAL(1, limit.permits());
        for (int i = 0; i < 100; ++i) {
            limit.recordSuccess();
        }
        CPPUNIT_ASSERT_EQUAL(4, limit.permits());
        limit.setMaximum(2);
        CPPUNIT_ASSERT_EQUAL(2, limit.permits());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adaptive_concurrency_limit_test);
