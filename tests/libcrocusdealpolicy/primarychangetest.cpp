#include "primarychange.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;

class primary_change_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(primary_change_test);
    CPPUNIT_TEST(plannedChangeKeepsToTheTargetOfAnOpenOrder);
    CPPUNIT_TEST(plannedChangeWaitsForAPromotionUnderWay);
    CPPUNIT_TEST(openOrderIsFencedWhileThePrimaryServes);
    CPPUNIT_TEST(acceptedOrderIsCarriedOutAndNotFenced);
    CPPUNIT_TEST(lostPrimaryIsReplacedUnlessAnotherInstanceDoesIt);
    CPPUNIT_TEST(stalledPrimaryIsReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against pausing a replica that a late promotion command makes primary. */
    void plannedChangeKeepsToTheTargetOfAnOpenOrder()
    {
        auto draining = servingPrimary();
        draining.isPrimaryDraining = true;
        CPPUNIT_ASSERT(nextPrimaryStep(draining) == primary_step::PlannedChange);
        draining.isOrderOpen = true;
        CPPUNIT_ASSERT(nextPrimaryStep(draining) == primary_step::FenceOpenOrder);
        draining.isOrderedTargetKnown = true;
        CPPUNIT_ASSERT(nextPrimaryStep(draining) == primary_step::PlannedChange);
        draining.isOrderedTargetKnown = false;
        draining.isSurveyComplete = false;
        CPPUNIT_ASSERT(nextPrimaryStep(draining) == primary_step::None);
    }

    /** Guards against the same while the command has been accepted before its fence. */
    void plannedChangeWaitsForAPromotionUnderWay()
    {
        auto draining = servingPrimary();
        draining.isPrimaryDraining = true;
        draining.mayBePromoting = true;
        CPPUNIT_ASSERT(nextPrimaryStep(draining) == primary_step::None);
    }

    /** Guards against a promotion command that is carried out behind the back of a primary that serves again. */
    void openOrderIsFencedWhileThePrimaryServes()
    {
        auto serving = servingPrimary();
        serving.isOrderOpen = true;
        CPPUNIT_ASSERT(nextPrimaryStep(serving) == primary_step::FenceOpenOrder);
        serving.mayFence = false;
        CPPUNIT_ASSERT(nextPrimaryStep(serving) == primary_step::None);
        serving.mayFence = true;
        serving.isRetryDue = false;
        CPPUNIT_ASSERT(nextPrimaryStep(serving) == primary_step::None);
    }

    /** Guards against LOST: a fence passes for the end of an order that still takes effect. */
    void acceptedOrderIsCarriedOutAndNotFenced()
    {
        auto serving = servingPrimary();
        serving.isOrderOpen = true;
        serving.isOrderedTargetNamed = true;
        serving.isFenceOfUse = false;
        CPPUNIT_ASSERT(nextPrimaryStep(serving) == primary_step::None);
        serving.isOrderedTargetKnown = true;
        CPPUNIT_ASSERT(nextPrimaryStep(serving) == primary_step::PlannedChange);
        serving.mayFence = false;
        CPPUNIT_ASSERT(nextPrimaryStep(serving) == primary_step::None);
    }

    /** Guards against two instances that replace one primary at the same time. */
    void lostPrimaryIsReplacedUnlessAnotherInstanceDoesIt()
    {
        primary_situation lost;
        lost.isRetryDue = true;
        CPPUNIT_ASSERT(nextPrimaryStep(lost) == primary_step::None);
        lost.isPrimaryLost = true;
        CPPUNIT_ASSERT(nextPrimaryStep(lost) == primary_step::ReplaceLost);
        lost.isOthersChange = true;
        CPPUNIT_ASSERT(nextPrimaryStep(lost) == primary_step::None);
    }

    /** Guards against a primary that answers while its commits are not acknowledged. */
    void stalledPrimaryIsReplaced()
    {
        auto stalled = servingPrimary();
        CPPUNIT_ASSERT(nextPrimaryStep(stalled) == primary_step::None);
        stalled.isPrimaryStalled = true;
        CPPUNIT_ASSERT(nextPrimaryStep(stalled) == primary_step::ReplaceStalled);
    }

private:
    primary_situation servingPrimary() const
    {
        primary_situation situation;
        situation.hasPrimary = true;
        situation.isSurveyComplete = true;
        situation.mayFence = true;
        situation.isRetryDue = true;
        return situation;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(primary_change_test);
