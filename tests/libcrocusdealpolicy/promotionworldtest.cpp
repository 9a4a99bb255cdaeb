#include "promotionworld.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

namespace
{

constexpr duration usualListingDelay{500};
constexpr int usuallyHandedOut = 200; // Commits of a history.
constexpr int handedOutInMuchTrouble = 100;
// The store may be slow, or turn a database away that starts.
constexpr duration longListingDelay{3000};
constexpr duration slowestEffect{7000}; // Longer than an attempt waits for the effect of its order.
constexpr std::uint32_t mostHistoriesUntilLoss = 20000;

/** Number of random histories of each kind; CROCUSDEAL_HISTORIES sets another number for longer manual runs. */
int historyCount()
{
    const char *count = std::getenv("CROCUSDEAL_HISTORIES");
    return count == nullptr ? 300 : std::atoi(count);
}

/** The store turns two of three instances away while replicas start again and the primary is out of reach. */
world_troubles troublesOfAwayInstances()
{
    world_troubles troubles;
    troubles.cuts = 2;
    troubles.primaryCrashes = 1;
    troubles.replicaCrashes = 3;
    troubles.joins = 1;
    troubles.lateOrders = 1;
    troubles.listingDelay = longListingDelay;
    troubles.awayInstances = 2;
    return troubles;
}

/** Orders take effect seconds after their answer, while replicas join and the primary is out of reach for a while. */
world_troubles troublesOfSlowOrders()
{
    world_troubles troubles;
    troubles.cuts = 2;
    troubles.primaryCrashes = 1;
    troubles.joins = 4;
    troubles.slowestEffect = slowestEffect;
    troubles.listingDelay = usualListingDelay;
    return troubles;
}

world_troubles troublesOfSlowLateOrders()
{
    auto troubles = troublesOfSlowOrders();
    troubles.lateOrders = 2;
    troubles.deafReplicas = 2;
    troubles.doesLeadEndPauses = true;
    return troubles;
}

bool isAnyLost(const world_troubles &troubles)
{
    for (std::uint32_t seed = 0; seed < mostHistoriesUntilLoss; ++seed) {
        promotion_world world(seed, troubles);
        if (!world.run(12000_ms)) {
            return true;
        }
    }
    return false;
}

bool isAnyRecordFalse(const world_troubles &troubles)
{
    for (std::uint32_t seed = 0; seed < mostHistoriesUntilLoss; ++seed) {
        promotion_world world(seed, troubles);
        world.run(12000_ms);
        if (!world.isRecordTrue()) {
            return true;
        }
    }
    return false;
}

void assertCommitsAreKept(const world_troubles &troubles, int leastHandedOut = usuallyHandedOut)
{
    int promotions = 0;
    int handedOut = 0;
    for (int seed = 0; seed < historyCount(); ++seed) {
        promotion_world world(static_cast<std::uint32_t>(seed), troubles);
        const bool isKept = world.run(12000_ms);
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + "\n" + world.history(), isKept);
        CPPUNIT_ASSERT_MESSAGE("record, seed " + std::to_string(seed) + "\n" + world.history(), world.isRecordTrue());
        promotions += world.promotions();
        handedOut += world.handedOut();
    }
    // Guards against a vacuous pass, in which hardly any history gets as far as a promotion.
    CPPUNIT_ASSERT(promotions > historyCount() / 4);
    CPPUNIT_ASSERT(handedOut > historyCount() * leastHandedOut);
}

}

class promotion_world_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(promotion_world_test);
    CPPUNIT_TEST(primaryComesBackDuringAnAttempt);
    CPPUNIT_TEST(targetJoinsDuringAnAttempt);
    CPPUNIT_TEST(replicaIsLostWithItsLog);
    CPPUNIT_TEST(replicaIsLostBesideADeafOne);
    CPPUNIT_TEST(orderIsCarriedOutLate);
    CPPUNIT_TEST(plannedChangeIsCarriedOutLate);
    CPPUNIT_TEST(orderedTargetStartsAgainBeforeItLeads);
    CPPUNIT_TEST(targetAcknowledgesBeforeItIsListed);
    CPPUNIT_TEST(unlistedTargetAcknowledgesDuringAPlannedChange);
    CPPUNIT_TEST(supersedingCommandIsCarriedOutLate);
    CPPUNIT_TEST(replicaStartsAgainUnlisted);
    CPPUNIT_TEST(replicaIsListedLongAfterItsRestart);
    CPPUNIT_TEST(leasesComeThroughOtherInstances);
    CPPUNIT_TEST(commitsAreLostByInstancesThatAnswerFromMemory);
    CPPUNIT_TEST(orderTakesEffectLongAfterItsAnswer);
    CPPUNIT_TEST(orderTakesEffectLongAfterItsFence);
    CPPUNIT_TEST(commitsAreLostIfAnAnswerPassesForAnEffect);
    CPPUNIT_TEST(recordIsFalseIfAFencePassesForAnEffect);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against deposing a primary that has come back, with what it has acknowledged since, during an attempt. */
    void primaryComesBackDuringAnAttempt()
    {
        world_troubles troubles;
        troubles.primaryCrashes = 2;
        assertCommitsAreKept(troubles);
    }

    /** Guards against a target that acknowledges commits since it joined, unseen by the attempt. */
    void targetJoinsDuringAnAttempt()
    {
        world_troubles troubles;
        troubles.primaryCrashes = 1;
        troubles.joins = 3;
        troubles.isDrained = true;
        assertCommitsAreKept(troubles);
    }

    /** Guards against promoting what is left, once a replica that alone had acknowledged has gone with its log. */
    void replicaIsLostWithItsLog()
    {
        world_troubles troubles;
        troubles.primaryCrashes = 1;
        troubles.replicaCrashes = 3;
        assertCommitsAreKept(troubles);
    }

    /** Guards against promoting a replica that was behind when the only other one was lost with its log. */
    void replicaIsLostBesideADeafOne()
    {
        world_troubles troubles;
        troubles.primaryCrashes = 2;
        troubles.replicaCrashes = 2;
        troubles.deafReplicas = 2;
        troubles.joins = 1;
        assertCommitsAreKept(troubles);
    }

    /** Guards against a late order that meets a primary which is back, and a replica without its pause. */
    void orderIsCarriedOutLate()
    {
        world_troubles troubles;
        troubles.primaryCrashes = 2;
        troubles.replicaCrashes = 2;
        troubles.lateOrders = 2;
        assertCommitsAreKept(troubles);
    }

    /** Guards against repeating an order on the proof of the first one. */
    void plannedChangeIsCarriedOutLate()
    {
        world_troubles troubles;
        troubles.isDrained = true;
        troubles.replicaCrashes = 1;
        troubles.joins = 1;
        troubles.lateOrders = 3;
        assertCommitsAreKept(troubles);
    }

    /** Guards against the lead of a target that has lost its log since the order that names it was accepted. */
    void orderedTargetStartsAgainBeforeItLeads()
    {
        world_troubles troubles;
        troubles.primaryCrashes = 1;
        troubles.replicaCrashes = 3;
        troubles.mayOrderedTargetCrash = true;
        assertCommitsAreKept(troubles);
    }

    /** Guards against handing out what only a target holds that the list of the keeper did not name yet. */
    void targetAcknowledgesBeforeItIsListed()
    {
        world_troubles troubles;
        troubles.cuts = 2;
        troubles.joins = 4;
        troubles.listingDelay = usualListingDelay;
        assertCommitsAreKept(troubles);
    }

    /** Guards against the same beside a primary that serves until it is replaced. */
    void unlistedTargetAcknowledgesDuringAPlannedChange()
    {
        world_troubles troubles;
        troubles.isDrained = true;
        troubles.joins = 4;
        troubles.listingDelay = usualListingDelay;
        assertCommitsAreKept(troubles);
    }

    /** Guards against a command that could not be superseded and is carried out once nobody watches the targets. */
    void supersedingCommandIsCarriedOutLate()
    {
        world_troubles troubles;
        troubles.primaryCrashes = 1;
        troubles.cuts = 1;
        troubles.joins = 3;
        troubles.lateOrders = 2;
        troubles.lateFences = 3;
        troubles.listingDelay = usualListingDelay;
        assertCommitsAreKept(troubles);
    }

    /** Guards against taking a replica that has started again, without its log and its pause, for what it was. */
    void replicaStartsAgainUnlisted()
    {
        world_troubles troubles;
        troubles.cuts = 1;
        troubles.replicaCrashes = 2;
        troubles.joins = 1;
        troubles.listingDelay = usualListingDelay;
        assertCommitsAreKept(troubles);
    }

    /** Guards against trusting a restarted replica as a witness once a time has passed, before its entry tells of it.
     */
    void replicaIsListedLongAfterItsRestart()
    {
        world_troubles troubles;
        troubles.cuts = 1;
        troubles.replicaCrashes = 2;
        troubles.joins = 1;
        troubles.listingDelay = longListingDelay;
        assertCommitsAreKept(troubles);
    }

    /** Guards against LOST by answers of other instances that are late, lost or from before their suspension. */
    void leasesComeThroughOtherInstances()
    {
        assertCommitsAreKept(troublesOfAwayInstances(), handedOutInMuchTrouble);
    }

    /** Guards against a model that is blind to it: an answer has to be read after the question has come. */
    void commitsAreLostByInstancesThatAnswerFromMemory()
    {
        auto troubles = troublesOfAwayInstances();
        troubles.arePeersBehind = true;
        CPPUNIT_ASSERT(isAnyLost(troubles));
    }

    /** Guards against LOST: an order counts as over once it is answered, or some time later. */
    void orderTakesEffectLongAfterItsAnswer()
    {
        assertCommitsAreKept(troublesOfSlowOrders(), handedOutInMuchTrouble);
    }

    /** Guards against LOST: an order that was carried out without an answer counts as over once it is fenced. */
    void orderTakesEffectLongAfterItsFence()
    {
        assertCommitsAreKept(troublesOfSlowLateOrders(), handedOutInMuchTrouble);
    }

    /** Guards against a model that is blind to what orderTakesEffectLongAfterItsAnswer guards against. */
    void commitsAreLostIfAnAnswerPassesForAnEffect()
    {
        auto troubles = troublesOfSlowOrders();
        troubles.isAnswerTakenForEffect = true;
        CPPUNIT_ASSERT(isAnyLost(troubles));
    }

    /** Guards against a model that is blind to what orderTakesEffectLongAfterItsFence guards against. */
    void recordIsFalseIfAFencePassesForAnEffect()
    {
        auto troubles = troublesOfSlowLateOrders();
        troubles.doesFenceEndOrders = true;
        CPPUNIT_ASSERT(isAnyRecordFalse(troubles));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(promotion_world_test);
