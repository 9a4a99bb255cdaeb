#include "statementcosts.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

class statement_costs_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(statement_costs_test);
    CPPUNIT_TEST(learnsRunningTimes);
    CPPUNIT_TEST(keepsItsJudgementNearTheBound);
    CPPUNIT_TEST(reclassifiesRunningStatements);
    CPPUNIT_TEST(keepsTheBaselineUnderContention);
    CPPUNIT_TEST(boundsTheTable);
    CPPUNIT_TEST(takesOverLongShapes);
    CPPUNIT_TEST(countsARunningStatementUntilItEnds);
    CPPUNIT_TEST(replacesAFirstRunThatWaited);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against treating a statement by an estimate that never follows its running times. */
    void learnsRunningTimes()
    {
        statement_costs costs;
        CPPUNIT_ASSERT(!costs.estimate(1).isKnown && !costs.isLong(1));
        for (std::int64_t i = 0; i < 20; ++i) {
            costs.record(1, 400_ms, {i});
            costs.record(2, 2_ms, {i});
        }
        CPPUNIT_ASSERT(costs.isLong(1) && !costs.isLong(2));
        CPPUNIT_ASSERT(costs.estimate(1).expected == 400_ms && costs.estimate(2).expected == 2_ms);
        for (std::int64_t i = 0; i < 40; ++i) {
            costs.record(1, 3_ms, {i});
        }
        CPPUNIT_ASSERT(!costs.isLong(1) && costs.estimate(1).expected < 10_ms);
        costs.recordAborted(2, 1_ms, {50}); // Says nothing: it may have been about to take 2 ms.
        CPPUNIT_ASSERT(costs.estimate(2).expected == 2_ms);
    }

    /** Guards against a shape that asks for a permit on every second execution. */
    void keepsItsJudgementNearTheBound()
    {
        statement_costs costs;
        costs.record(1, 230_ms, {0});
        for (std::int64_t i = 1; i < 100; ++i) {
            costs.record(1, i % 2 == 0 ? 210_ms : 180_ms, {i});
            CPPUNIT_ASSERT(costs.isLong(1));
        }
    }

    /** Guards against an unexpectedly long statement that keeps the place of short work. */
    void reclassifiesRunningStatements()
    {
        statement_costs costs;
        for (std::int64_t i = 0; i < 20; ++i) {
            costs.record(1, 5_ms, {i});
        }
        CPPUNIT_ASSERT(costs.estimateRunning(1, 4_ms).expected == 5_ms);
        CPPUNIT_ASSERT(!costs.estimateRunning(1, 90_ms).isLong);
        CPPUNIT_ASSERT(costs.estimateRunning(1, 101_ms).isLong);
        CPPUNIT_ASSERT(costs.estimateRunning(7, 300_ms).expected == 600_ms);
    }

    /** Guards against taking the running times of an overloaded target for normal. */
    void keepsTheBaselineUnderContention()
    {
        statement_costs costs;
        for (std::int64_t i = 0; i < 100; ++i) {
            costs.record(1, 10_ms, {i * 10});
        }
        for (std::int64_t i = 100; i < 1100; ++i) {
            costs.record(1, 50_ms, {i * 10});
        }
        CPPUNIT_ASSERT(costs.baseline(1) >= 10 && costs.baseline(1) < 13);
    }

    /** Guards against memory that grows with the number of statement shapes, and against losing those in use. */
    void boundsTheTable()
    {
        statement_costs costs({200_ms, 10_ms, 100});
        for (std::uint64_t i = 2; i < 1000; ++i) {
            costs.record(1, 7_ms, {0});
            costs.record(i, 1_ms, {0});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), costs.size());
        CPPUNIT_ASSERT(costs.estimate(1).isKnown && !costs.estimate(2).isKnown);
        costs.record(0, 1_ms, {0});
        CPPUNIT_ASSERT(!costs.estimate(0).isKnown);
    }

    /** Guards against first executions without a permit, and against a shape that stays long by hearsay. */
    void takesOverLongShapes()
    {
        statement_costs costs;
        costs.adopt({1, 900_ms, true}, {0});
        CPPUNIT_ASSERT(costs.isLong(1) && costs.estimate(1).expected == 900_ms);
        CPPUNIT_ASSERT(costs.measured({0}).empty());
        costs.record(1, 5_ms, {1});
        costs.record(1, 5_ms, {2});
        CPPUNIT_ASSERT(costs.isLong(1));
        costs.record(1, 5_ms, {3});
        CPPUNIT_ASSERT(!costs.isLong(1) && costs.estimate(1).expected == 5_ms);
        // Enough executions of its own: hearsay has no effect but is corrected for a while.
        costs.adopt({1, 900_ms, true}, {4});
        CPPUNIT_ASSERT(!costs.isLong(1));
        CPPUNIT_ASSERT(costs.measured({5}) == (std::vector<shared_shape>{{1, 5_ms, false}}));
        CPPUNIT_ASSERT(costs.measured({40000}).empty());
        costs.adopt({0, 900_ms, true}, {5});
        CPPUNIT_ASSERT(!costs.isLong(0));
    }

    /** Guards against more executions of a long shape that start as short while the first still runs, and against a
     * shape that needs permits because one execution ended with its connection. */
    void countsARunningStatementUntilItEnds()
    {
        statement_costs costs;
        costs.recordRunning(1, 150_ms);
        CPPUNIT_ASSERT(!costs.isLong(1) && !costs.estimate(1).isKnown);
        costs.recordRunning(1, 250_ms);
        CPPUNIT_ASSERT(costs.isLong(1));
        costs.recordEnded(1);
        CPPUNIT_ASSERT(!costs.isLong(1) && !costs.estimate(1).isKnown);
    }

    /** Guards against a point read that waits for permits because its first execution waited in a busy target. */
    void replacesAFirstRunThatWaited()
    {
        statement_costs costs;
        costs.record(1, 900_ms, {0});
        CPPUNIT_ASSERT(costs.isLong(1));
        CPPUNIT_ASSERT(costs.measured({0}) == (std::vector<shared_shape>{{1, 900_ms, true}}));
        costs.record(1, 5_ms, {1});
        CPPUNIT_ASSERT(!costs.isLong(1) && costs.estimate(1).expected == 5_ms);
        CPPUNIT_ASSERT(costs.measured({2}) == (std::vector<shared_shape>{{1, 5_ms, false}}));
        costs.record(2, 900_ms, {0});
        costs.adopt({2, 5_ms, false}, {1});
        CPPUNIT_ASSERT(!costs.isLong(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(statement_costs_test);
