#include "failurerate.h"
#include "placement.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;

class failure_rate_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_rate_test);
    CPPUNIT_TEST(failingTargetIsAvoidedAndRetriedLater);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against sending reads to a target that fails two reads in five while its health check succeeds. */
    void failingTargetIsAvoidedAndRetriedLater()
    {
        failure_rate failing;
        for (int i = 0; i < 20; ++i) {
            failing.record(i % 5 < 2, {1000 + i * 10});
        }
        std::vector<read_candidate> candidates(2);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].index = i;
            candidates[i].answerMs = 20;
            candidates[i].permits = 4;
            candidates[i].slots = 4;
            candidates[i].hasIdleConnection = true;
            candidates[i].hasRequiredPosition = true;
        }
        candidates[1].inFlight = 3;
        candidates[0].failureRate = failing.at({1200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *placeRead(candidates));
        candidates[0].failureRate = failing.at({15000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *placeRead(candidates));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_rate_test);
