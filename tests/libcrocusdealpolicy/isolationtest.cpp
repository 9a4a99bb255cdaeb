#include "isolation.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;

class isolation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(isolation_test);
    CPPUNIT_TEST(isIsolatedOnlyIfNoOtherDataCentreAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against reporting not ready when only one other data centre is lost, or when there is no traffic. */
    void isIsolatedOnlyIfNoOtherDataCentreAnswers()
    {
        const data_centre_id own("here");
        const time_point now{5000};
        std::vector<target_reachability> targets{
            {own, false, {4990}}, {data_centre_id("b"), true, {4600}}, {data_centre_id("c"), false, {4600}}};
        CPPUNIT_ASSERT(!areOtherDataCentresUnreachable(targets, own, now));
        targets[2].isUnresponsive = true;
        CPPUNIT_ASSERT(areOtherDataCentresUnreachable(targets, own, now));
        targets.push_back({data_centre_id("c"), false, {4900}});
        CPPUNIT_ASSERT(!areOtherDataCentresUnreachable(targets, own, now));
        CPPUNIT_ASSERT(!areOtherDataCentresUnreachable({{own, true, never}}, own, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(isolation_test);
