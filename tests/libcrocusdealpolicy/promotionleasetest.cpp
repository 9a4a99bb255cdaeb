#include "promotionlease.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;

class promotion_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(promotion_lease_test);
    CPPUNIT_TEST(holderMayClaimBeforeOthers);
    CPPUNIT_TEST(takesOverOnlyAfterTheLeaseExpires);
    CPPUNIT_TEST(doesNotWaitForAStandbyLease);
    CPPUNIT_TEST(refusedTokenIsNeverUsedAgain);
    CPPUNIT_TEST(tokenOfAnEarlierProcessIsNotUsed);
    CPPUNIT_TEST(claimExpiresWhileSuspended);
    CPPUNIT_TEST(promotionOfAnotherProcessIsPendingUntilItIsSettled);
    CPPUNIT_TEST(settledRecordKeepsTheLease);
    CPPUNIT_TEST(restartedHolderKeepsTheLease);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against the lease passing back and forth: the current holder may claim before other instances do. */
    void holderMayClaimBeforeOthers()
    {
        promotion_lease lease("b");
        lease.observe({"a", 7}, {0});
        CPPUNIT_ASSERT(!lease.mayClaim({60000}, {60000}));
        CPPUNIT_ASSERT(lease.mayClaim({60800}, {60000}));
        promotion_lease own("a");
        own.observe({"a", 7}, {0});
        CPPUNIT_ASSERT(own.mayClaim({60000}, {60000}));
    }

    /** Guards against two instances that promote within one lease. */
    void takesOverOnlyAfterTheLeaseExpires()
    {
        promotion_lease lease("b");
        lease.observe({"a", 7}, {0});
        lease.observe({"a", 8}, {10000});
        CPPUNIT_ASSERT(!lease.mayClaim({12000}, {9000}));
        CPPUNIT_ASSERT(lease.mayClaim({15000}, {9000}));
    }

    /** Guards against an outage as long as the lease when the holder has restarted and then fails with the primary. */
    void doesNotWaitForAStandbyLease()
    {
        promotion_lease lease("b");
        lease.observe({"a", 7, promotion_lease_purpose::Standby}, {9900});
        CPPUNIT_ASSERT(!lease.mayClaim({10600}, {10000}));
        CPPUNIT_ASSERT(lease.mayClaim({10800}, {10000}));
    }

    /** Guards against endless retries with a fencing token that the platform refuses. */
    void refusedTokenIsNeverUsedAgain()
    {
        promotion_lease lease("b");
        lease.claimAccepted(9, promotion_lease_purpose::Promotion, {0});
        CPPUNIT_ASSERT(lease.fencingToken() == 9U);
        lease.tokenRejected(9);
        CPPUNIT_ASSERT(!lease.fencingToken());
        lease.claimAccepted(12, promotion_lease_purpose::Promotion, {100});
        CPPUNIT_ASSERT(lease.fencingToken() == 12U);
    }

    /** Guards against using the fencing token of an earlier process of the same instance. */
    void tokenOfAnEarlierProcessIsNotUsed()
    {
        promotion_lease lease("b");
        lease.observe({"b", 5}, {0});
        CPPUNIT_ASSERT(lease.isHeldHere());
        CPPUNIT_ASSERT(!lease.fencingToken());
    }

    /** Guards against a promotion command from a machine that was suspended after its claim. */
    void claimExpiresWhileSuspended()
    {
        promotion_lease lease("b");
        lease.claimAccepted(9, promotion_lease_purpose::Promotion, {0});
        CPPUNIT_ASSERT(!lease.isClaimStale({900}));
        CPPUNIT_ASSERT(lease.isClaimStale({4000}));
    }

    /** Guards against lost commits: the promotion command of an instance that has died is carried out late. */
    void promotionOfAnotherProcessIsPendingUntilItIsSettled()
    {
        promotion_lease lease("b");
        lease.observe({"a", 7, promotion_lease_purpose::Promotion}, {0});
        CPPUNIT_ASSERT(lease.isForeignPromotionPending());
        lease.observe({"a", 8, promotion_lease_purpose::Settled}, {700});
        CPPUNIT_ASSERT(!lease.isForeignPromotionPending());
        promotion_lease restarted("a");
        restarted.observe({"a", 7, promotion_lease_purpose::Promotion}, {0});
        CPPUNIT_ASSERT(restarted.isForeignPromotionPending());
        restarted.claimAccepted(9, promotion_lease_purpose::Promotion, {100});
        CPPUNIT_ASSERT(!restarted.isForeignPromotionPending());
    }

    /** Guards against two promoting instances, and against a lease that is extended by settling its record. */
    void settledRecordKeepsTheLease()
    {
        promotion_lease lease("b");
        lease.observe({"a", 7, promotion_lease_purpose::Promotion}, {0});
        lease.observe({"a", 8, promotion_lease_purpose::Settled}, {3000});
        CPPUNIT_ASSERT(!lease.mayClaim({4900}, {0}));
        CPPUNIT_ASSERT(lease.mayClaim({5000}, {0}));
        promotion_lease uninformed("c");
        uninformed.observe({"a", 8, promotion_lease_purpose::Settled}, {3000});
        CPPUNIT_ASSERT(!uninformed.mayClaim({7900}, {0}));
    }

    /** Guards against two promoting instances: a restarted holder hides its recent promotion command by an advance
     * claim. */
    void restartedHolderKeepsTheLease()
    {
        promotion_lease restarted("a");
        CPPUNIT_ASSERT(restarted.purposeForAdvanceClaim() == promotion_lease_purpose::Standby);
        restarted.observe({"a", 8, promotion_lease_purpose::Settled}, {0});
        CPPUNIT_ASSERT(restarted.purposeForAdvanceClaim() == promotion_lease_purpose::Settled);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(promotion_lease_test);
