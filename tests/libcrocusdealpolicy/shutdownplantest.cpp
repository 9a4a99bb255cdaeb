#include "shutdownplan.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

class shutdown_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_plan_test);
    CPPUNIT_TEST(statementBeginsOnlyIfItsLimitComesBeforeTheEnd);
    CPPUNIT_TEST(longStatementBeginsInTheFirstHalf);
    CPPUNIT_TEST(transactionsHaveTheFirstHalf);
    CPPUNIT_TEST(answersComeBeforeTheProcessEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against LOST: a statement is begun that is still under way when the process ends. */
    void statementBeginsOnlyIfItsLimitComesBeforeTheEnd()
    {
        const shutdown_plan plan({1000}, 6000_ms);
        CPPUNIT_ASSERT(plan.mayBeginStatement({1000}, 800_ms));
        CPPUNIT_ASSERT(plan.mayBeginStatement({5800}, 800_ms));
        for (std::int64_t ms = 4000; ms < 8000; ++ms) {
            const bool isOver = time_point{ms} + 800_ms < plan.answersDueAt();
            CPPUNIT_ASSERT(isOver || !plan.mayBeginStatement({ms}, 800_ms));
        }
    }

    /** Guards against refusals without need: a limit beyond the end is seldom reached. */
    void longStatementBeginsInTheFirstHalf()
    {
        const shutdown_plan plan({1000}, 6000_ms);
        CPPUNIT_ASSERT(plan.mayBeginStatement({3999}, 30000_ms));
        CPPUNIT_ASSERT(!plan.mayBeginStatement({4000}, 30000_ms));
        const shutdown_plan longer({1000}, 60000_ms);
        CPPUNIT_ASSERT(longer.mayBeginStatement({3999}, 120000_ms));
        CPPUNIT_ASSERT(!longer.mayBeginStatement({4000}, 120000_ms));
        const shutdown_plan shorter({1000}, 2000_ms);
        CPPUNIT_ASSERT(!shorter.mayBeginStatement({2000}, 30000_ms));
    }

    /** Guards against transactions that are begun only to be rolled back. */
    void transactionsHaveTheFirstHalf()
    {
        const shutdown_plan plan({1000}, 6000_ms);
        CPPUNIT_ASSERT(plan.mayBeginTransaction({3999}));
        CPPUNIT_ASSERT(!plan.endsTransactions({3999}));
        CPPUNIT_ASSERT(!plan.mayBeginTransaction({4000}));
        CPPUNIT_ASSERT(plan.endsTransactions({4000}));
    }

    /** Guards against answers that are cut with the process. */
    void answersComeBeforeTheProcessEnds()
    {
        const shutdown_plan plan({1000}, 6000_ms);
        CPPUNIT_ASSERT(plan.answersDueAt() < plan.processEndsAt());
        CPPUNIT_ASSERT(plan.processEndsAt() < time_point{7000});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_plan_test);
