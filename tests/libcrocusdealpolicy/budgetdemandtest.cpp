#include "budgetdemand.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

constexpr time_point start{1000};
constexpr duration life{500};

struct asking {
    asking()
    {
        demand.ask = [this](double wanted, time_point) { asked.push_back(wanted); };
    }

    void admit(time_point now)
    {
        demand.admit(now, [this](const admission &result) { results.push_back(result); });
    }

    budget_demand demand;
    std::vector<double> asked;
    std::vector<admission> results;
};

}

class budget_demand_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(budget_demand_test);
    CPPUNIT_TEST(fewOperationsAreAskedForOneByOne);
    CPPUNIT_TEST(manyOperationsAreAskedForAhead);
    CPPUNIT_TEST(budgetLapsesFromItsQuestion);
    CPPUNIT_TEST(nothingGrantedRefusesWithATime);
    CPPUNIT_TEST(silenceRefusesInTime);
    CPPUNIT_TEST(refundIsUsedAgainUntilItLapses);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against budgets of small workspaces that lapse in the stock of an instance. */
    void fewOperationsAreAskedForOneByOne()
    {
        asking one;
        one.admit(start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one.asked.size());
        CPPUNIT_ASSERT_EQUAL(1.0, one.asked[0]);
        one.demand.answered(1, 1, start, life, {}, start + 1_ms);
        CPPUNIT_ASSERT(one.results.size() == 1 && one.results[0].isAdmitted);
        CPPUNIT_ASSERT(one.results[0].lapsesAt == start + life);
        CPPUNIT_ASSERT_EQUAL(0.0, one.demand.available(start + 1_ms));
    }

    /** Load: 200 operations a second. Guards against a wait for a holder before each of them. */
    void manyOperationsAreAskedForAhead()
    {
        asking one;
        one.demand.ask = [&](double wanted, time_point askedAt) {
            one.asked.push_back(wanted);
            one.demand.answered(wanted, wanted, askedAt, life, {}, askedAt);
        };
        for (int i = 0; i < 1000; ++i) {
            one.admit(start + 5_ms * i);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, one.results.size());
        CPPUNIT_ASSERT(one.asked.size() < 250);
        CPPUNIT_ASSERT(one.demand.takeLapsed() < 1);
    }

    /** Guards against budget that is used later than its holder reckons with. */
    void budgetLapsesFromItsQuestion()
    {
        asking one;
        one.demand.answered(0, 5, start, life, {}, start + 400_ms);
        CPPUNIT_ASSERT_EQUAL(5.0, one.demand.available(start + 499_ms));
        CPPUNIT_ASSERT_EQUAL(0.0, one.demand.available(start + 500_ms));
        one.demand.answered(0, 5, start, life, {}, start + 700_ms);
        CPPUNIT_ASSERT_EQUAL(0.0, one.demand.available(start + 700_ms));
        CPPUNIT_ASSERT_EQUAL(10.0, one.demand.takeLapsed());
    }

    void nothingGrantedRefusesWithATime()
    {
        asking one;
        one.admit(start);
        one.demand.answered(1, 0, start, life, 70_ms, start + 1_ms);
        CPPUNIT_ASSERT(one.results.size() == 1 && !one.results[0].isAdmitted);
        CPPUNIT_ASSERT(one.results[0].isOverLimit);
        CPPUNIT_ASSERT(one.results[0].retryAfter == 70_ms);
    }

    /** Guards against callers that wait for a holder that is gone. */
    void silenceRefusesInTime()
    {
        asking one;
        one.admit(start);
        one.demand.tick(start + 149_ms);
        CPPUNIT_ASSERT(one.results.empty());
        one.demand.tick(start + 150_ms);
        CPPUNIT_ASSERT(one.results.size() == 1 && !one.results[0].isAdmitted && !one.results[0].isOverLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, one.demand.waiting());
    }

    void refundIsUsedAgainUntilItLapses()
    {
        asking one;
        one.demand.refund(start + 100_ms, start);
        one.admit(start + 50_ms);
        CPPUNIT_ASSERT(one.results.size() == 1 && one.results[0].isAdmitted);
        CPPUNIT_ASSERT(one.asked.empty());
        one.demand.refund(start + 100_ms, start + 100_ms);
        CPPUNIT_ASSERT_EQUAL(0.0, one.demand.available(start + 100_ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(budget_demand_test);
