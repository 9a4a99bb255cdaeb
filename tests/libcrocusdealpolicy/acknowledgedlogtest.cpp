#include "acknowledgedlog.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

class acknowledged_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(acknowledged_log_test);
    CPPUNIT_TEST(nothingIsKnownAtFirst);
    CPPUNIT_TEST(lostLogNeedsAnAnswerOfThePrimary);
    CPPUNIT_TEST(answerFromBeforeTheLossTellsNothing);
    CPPUNIT_TEST(lossOfThePrimaryIsNoLoss);
    CPPUNIT_TEST(primaryOfANewerTermMustHaveAnswered);
    CPPUNIT_TEST(ownCommitsAreRequiredInAnyCase);
    CPPUNIT_TEST(laterPositionsMayNotBeAcknowledged);
    CPPUNIT_TEST(targetThatIsReachedAgainMayHaveLostItsLog);
    CPPUNIT_TEST(targetThatIsWhatItWasEndsTheDoubt);
    CPPUNIT_TEST(shorterLogIsLost);
    CPPUNIT_TEST(answersThatOvertakeEachOtherLoseNoLog);
    CPPUNIT_TEST(logCutBackByALaterTermIsNotLost);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against an instance that has just started and takes the replicas that are left for all. */
    void nothingIsKnownAtFirst()
    {
        CPPUNIT_ASSERT(m_log.isEmpty());
        CPPUNIT_ASSERT(!m_log.isCovered(0));
    }

    /** Guards against promoting without commits that only a replica held which has left. */
    void lostLogNeedsAnAnswerOfThePrimary()
    {
        m_log.recordPrimary(m_primary, 3, {3, 10}, m_now);
        CPPUNIT_ASSERT(m_log.isCovered(3));
        m_log.recordLostLog(m_replica, m_now + 10_ms);
        CPPUNIT_ASSERT(!m_log.isCovered(3));
        m_log.recordPrimary(m_primary, 0, {3, 15}, m_now + 20_ms);
        CPPUNIT_ASSERT(m_log.isCovered(3));
        CPPUNIT_ASSERT((m_log.required() == position{3, 15}));
    }

    /** Guards against an answer that was on its way when the log was lost. */
    void answerFromBeforeTheLossTellsNothing()
    {
        m_log.recordPrimary(m_primary, 3, {3, 10}, m_now);
        m_log.recordLostLog(m_replica, m_now + 10_ms);
        m_log.recordPrimary(m_primary, 3, {3, 15}, m_now + 10_ms);
        CPPUNIT_ASSERT(!m_log.isCovered(3));
    }

    /** Guards against holding back each promotion since the lost primary has started again. */
    void lossOfThePrimaryIsNoLoss()
    {
        m_log.recordPrimary(m_primary, 3, {3, 10}, m_now);
        m_log.recordLostLog(m_primary, m_now + 10_ms);
        CPPUNIT_ASSERT(m_log.isCovered(3));
    }

    /** Guards against counting a former primary, by now a replica that has acknowledged, as the primary. */
    void primaryOfANewerTermMustHaveAnswered()
    {
        m_log.recordPrimary(m_primary, 3, {3, 10}, m_now);
        m_log.recordLostLog(m_primary, m_now + 10_ms);
        CPPUNIT_ASSERT(!m_log.isCovered(4));
        m_log.recordPrimary(m_replica, 4, {3, 12}, m_now + 20_ms);
        CPPUNIT_ASSERT(m_log.isCovered(4));
        m_log.recordPrimary(m_primary, 3, {3, 11}, m_now + 30_ms);
        CPPUNIT_ASSERT(m_log.isCovered(4));
    }

    /** Guards against promoting a target that lacks a commit which this very instance has acknowledged. */
    void ownCommitsAreRequiredInAnyCase()
    {
        m_log.recordPrimary(m_primary, 3, {3, 10}, m_now);
        m_log.recordCommit({3, 14});
        m_log.recordCommit({3, 12});
        CPPUNIT_ASSERT((m_log.required() == position{3, 14}));
    }

    /** Guards against waiting for commits that the lost primary had not yet passed on to any replica. */
    void laterPositionsMayNotBeAcknowledged()
    {
        m_log.recordPrimary(m_primary, 3, {3, 10}, m_now);
        m_log.recordPrimary(m_primary, 3, {3, 20}, m_now + 50_ms);
        CPPUNIT_ASSERT((m_log.required() == position{3, 10}));
    }

    /** Guards against promoting what is left of a log, while no entry tells of the restart that lost it. */
    void targetThatIsReachedAgainMayHaveLostItsLog()
    {
        m_log.recordPrimary(m_primary, 3, {3, 10}, m_now);
        m_log.recordLogInDoubt(m_replica, m_now + 10_ms);
        CPPUNIT_ASSERT(!m_log.isCovered(3));
        m_log.recordPrimary(m_primary, 3, {3, 15}, m_now + 10_ms);
        CPPUNIT_ASSERT(!m_log.isCovered(3));
        m_log.recordPrimary(m_primary, 3, {3, 18}, m_now + 20_ms);
        CPPUNIT_ASSERT(m_log.isCovered(3));
        CPPUNIT_ASSERT((m_log.required() == position{3, 18}));
    }

    /** Guards against a service without a primary after a cut that has only broken connections. */
    void targetThatIsWhatItWasEndsTheDoubt()
    {
        m_log.recordPrimary(m_primary, 3, {3, 10}, m_now);
        m_log.recordLogInDoubt(m_replica, m_now + 10_ms);
        m_log.recordLogKept(m_replica);
        CPPUNIT_ASSERT(m_log.isCovered(3));
        CPPUNIT_ASSERT((m_log.required() == position{3, 10}));
    }

    /** Guards against taking a replica that has started again for one that was never further. */
    void shorterLogIsLost()
    {
        m_log.recordPrimary(m_primary, 3, {3, 10}, m_now);
        CPPUNIT_ASSERT(!m_log.recordSeen(m_replica, 3, {3, 9}, m_now + 10_ms, m_now + 11_ms));
        CPPUNIT_ASSERT(m_log.recordSeen(m_replica, 3, {3, 2}, m_now + 20_ms, m_now + 21_ms));
        CPPUNIT_ASSERT(!m_log.isCovered(3));
        CPPUNIT_ASSERT(!m_log.recordSeen(m_replica, 3, {3, 3}, m_now + 30_ms, m_now + 31_ms));
    }

    /** Guards against holding promotions back since two answers have overtaken each other. */
    void answersThatOvertakeEachOtherLoseNoLog()
    {
        m_log.recordPrimary(m_primary, 3, {3, 10}, m_now);
        CPPUNIT_ASSERT(!m_log.recordSeen(m_replica, 3, {3, 9}, m_now + 12_ms, m_now + 20_ms));
        CPPUNIT_ASSERT(!m_log.recordSeen(m_replica, 3, {3, 8}, m_now + 10_ms, m_now + 21_ms));
        CPPUNIT_ASSERT(m_log.isCovered(3));
    }

    /** Guards against holding promotions back after each change of the primary. */
    void logCutBackByALaterTermIsNotLost()
    {
        m_log.recordPrimary(m_primary, 3, {3, 10}, m_now);
        CPPUNIT_ASSERT(!m_log.recordSeen(m_replica, 3, {3, 9}, m_now + 10_ms, m_now + 11_ms));
        CPPUNIT_ASSERT(!m_log.recordSeen(m_replica, 4, {3, 8}, m_now + 20_ms, m_now + 21_ms));
        CPPUNIT_ASSERT(m_log.isCovered(3));
    }

private:
    acknowledged_log m_log;
    target_id m_primary{"a"};
    target_id m_replica{"b"};
    time_point m_now{1000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(acknowledged_log_test);
