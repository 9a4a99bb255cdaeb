#include "freshness.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

using namespace crocusdeal;

class freshness_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(freshness_test);
    CPPUNIT_TEST(coversOnlyWithAnAnswerRequestedAfterTheBound);
    CPPUNIT_TEST(neverGivesAPositionThatMissesAnEarlierCommit);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against stale reads: an answer requested before the bound may lack commits that the read must see. */
    void coversOnlyWithAnAnswerRequestedAfterTheBound()
    {
        position_samples samples;
        samples.add({1, 10}, {1000});
        samples.add({1, 20}, {2000});
        CPPUNIT_ASSERT(samples.covering({1000}) == (position{1, 10}));
        CPPUNIT_ASSERT(samples.covering({1001}) == (position{1, 20}));
        CPPUNIT_ASSERT(!samples.covering({2001}));
    }

    /** Guards against stale reads: when samples are thinned out, an older one must not stand in for a later one. */
    void neverGivesAPositionThatMissesAnEarlierCommit()
    {
        CPPUNIT_ASSERT(rc::check("covering position", [](std::uint32_t seed) {
            std::mt19937 random(seed);
            position_samples samples;
            std::vector<std::pair<std::int64_t, std::uint64_t>> commits;
            std::int64_t now = 0;
            std::uint64_t last = 0;
            for (int i = 0; i < 300; ++i) {
                now += random() % 40;
                if (random() % 2 == 0) {
                    commits.emplace_back(now, ++last);
                } else {
                    samples.add({1, last}, {now});
                }
                const time_point bound{now - static_cast<std::int64_t>(random() % 500)};
                const auto covering = samples.covering(bound);
                for (const auto &[at, number] : commits) {
                    RC_ASSERT(!covering || at >= bound.ms || number <= covering->offset);
                }
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(freshness_test);
