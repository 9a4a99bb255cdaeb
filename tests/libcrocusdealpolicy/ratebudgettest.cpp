#include "ratebudget.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

constexpr time_point start{1000};
constexpr rate_limit_bound usualBound{5000_ms, 0.1, 20};

}

class rate_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rate_budget_test);
    CPPUNIT_TEST(termsStayBelowTheBound);
    CPPUNIT_TEST(tightBoundShortensTheLife);
    CPPUNIT_TEST(boundWithoutRoomServesNothing);
    CPPUNIT_TEST(bucketStartsEmptyAndFillsToItsCapacity);
    CPPUNIT_TEST(lowerCapacityCutsAtOnce);
    CPPUNIT_TEST(otherHoldersGetAtMostHalf);
    CPPUNIT_TEST(shortPartAsksOnceAndAnswersAll);
    CPPUNIT_TEST(vainRoundIsNotRepeatedSoon);
    CPPUNIT_TEST(laterRequestsGetNothingOfWhatWasAskedBefore);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against an arithmetic that breaks the bound, or leaves less than the burst, on limits of our sites. */
    void termsStayBelowTheBound()
    {
        for (const double perSecond : {4.0, 20.0, 65.0, 260.0}) {
            const auto terms = budgetTerms({perSecond, perSecond}, usualBound);
            const double life = static_cast<double>(terms.life.ms) / 1000;
            const double allowed = (perSecond * 5 + perSecond) * 1.1 + 20;
            CPPUNIT_ASSERT(terms.capacity + perSecond * (5 + life) < allowed);
            CPPUNIT_ASSERT(terms.capacity >= perSecond);
            CPPUNIT_ASSERT(terms.life == 500_ms);
        }
    }

    /** Guards against a capacity that is given up for a long life. */
    void tightBoundShortensTheLife()
    {
        const auto terms = budgetTerms({100, 10}, {5000_ms, 0.05, 0});
        CPPUNIT_ASSERT(terms.life < 500_ms);
        CPPUNIT_ASSERT(terms.life > 0_ms);
        CPPUNIT_ASSERT(terms.capacity >= 5);
    }

    /** Guards against a bound that is broken rather than refused. */
    void boundWithoutRoomServesNothing()
    {
        const auto terms = budgetTerms({100, 1}, {5000_ms, 0, 0});
        CPPUNIT_ASSERT_EQUAL(0.0, terms.capacity);
        CPPUNIT_ASSERT(terms.life == 0_ms);
    }

    /** Guards against a restart that gives out what was given out before. */
    void bucketStartsEmptyAndFillsToItsCapacity()
    {
        budget_bucket bucket;
        bucket.setShare(10, 5, start);
        CPPUNIT_ASSERT_EQUAL(0.0, bucket.available(start));
        CPPUNIT_ASSERT(bucket.timeTo(1, start) == 100_ms);
        CPPUNIT_ASSERT_EQUAL(2.0, bucket.available(start + 200_ms));
        CPPUNIT_ASSERT_EQUAL(5.0, bucket.take(9, start + 9000_ms));
        CPPUNIT_ASSERT_EQUAL(0.0, bucket.available(start + 9000_ms));
        // A clock that is read late gives nothing twice.
        CPPUNIT_ASSERT_EQUAL(0.0, bucket.available(start));
        CPPUNIT_ASSERT_EQUAL(0.0, bucket.available(start + 9000_ms));
    }

    /** Guards against a limit that was lowered and holds only after the bucket is used up. */
    void lowerCapacityCutsAtOnce()
    {
        budget_bucket bucket;
        bucket.setShare(10, 10, start);
        bucket.setShare(10, 2, start + 5000_ms);
        CPPUNIT_ASSERT_EQUAL(2.0, bucket.available(start + 5000_ms));
        bucket.setShare(10, 10, start + 5000_ms);
        CPPUNIT_ASSERT_EQUAL(2.0, bucket.available(start + 5000_ms));
    }

    /** Guards against a holder that empties the others. */
    void otherHoldersGetAtMostHalf()
    {
        budget_part part;
        part.setShare(10, 8, start);
        double granted = 0;
        part.serve(20, true, start + 5000_ms, [&](const auto &answer) { granted = answer.granted; });
        CPPUNIT_ASSERT_EQUAL(4.0, granted);
    }

    /** Guards against a question for each request that waits. */
    void shortPartAsksOnceAndAnswersAll()
    {
        budget_part part;
        part.setShare(0, 8, start);
        std::vector<double> asked;
        std::vector<double> granted;
        part.askOthers = [&](double wanted) { asked.push_back(wanted); };
        part.serve(3, false, start, [&](const auto &answer) { granted.push_back(answer.granted); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked.size());
        CPPUNIT_ASSERT_EQUAL(3.0, asked[0]);
        part.serve(2, false, start, [&](const auto &answer) { granted.push_back(answer.granted); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked.size());
        part.othersAnswered(2, start + 5_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, granted.size());
        CPPUNIT_ASSERT_EQUAL(2.0, granted[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, asked.size());
        part.othersAnswered(0, start + 10_ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, granted.size());
        CPPUNIT_ASSERT(part.isIdle());
    }

    /** Load: demand far above the limit. Guards against questions between holders that grow with it. */
    void vainRoundIsNotRepeatedSoon()
    {
        budget_part part;
        part.setShare(1, 8, start);
        int asked = 0;
        duration retryAfter;
        part.askOthers = [&](double) { ++asked; };
        const auto serve = [&](time_point now) {
            part.serve(1, false, now, [&](const auto &answer) { retryAfter = answer.retryAfter; });
        };
        serve(start);
        part.othersAnswered(0, start);
        CPPUNIT_ASSERT(retryAfter > 0_ms);
        retryAfter = {};
        serve(start + 199_ms);
        CPPUNIT_ASSERT_EQUAL(1, asked);
        CPPUNIT_ASSERT(retryAfter > 0_ms);
        serve(start + 200_ms);
        CPPUNIT_ASSERT_EQUAL(2, asked);
    }

    /** Guards against budget that lives a second life with a request that was sent after it was taken. */
    void laterRequestsGetNothingOfWhatWasAskedBefore()
    {
        budget_part part;
        part.setShare(0, 8, start);
        double first = -1;
        double second = -1;
        part.askOthers = [](double) {};
        part.serve(1, false, start, [&](const auto &answer) { first = answer.granted; });
        part.serve(1, false, start + 1_ms, [&](const auto &answer) { second = answer.granted; });
        part.othersAnswered(2, start + 5_ms);
        CPPUNIT_ASSERT_EQUAL(1.0, first);
        CPPUNIT_ASSERT_EQUAL(-1.0, second);
        part.othersAnswered(0, start + 9_ms);
        CPPUNIT_ASSERT_EQUAL(0.0, second);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_budget_test);
