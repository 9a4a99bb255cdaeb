#include "leadersightings.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

const target_id primary("a");
const target_id nearReplica("b");
const target_id farReplica("c");

replication_report report(bool isPrimary, position received, std::uint64_t pausedAt = 0)
{
    replication_report result;
    result.isPrimary = isPrimary;
    result.term = 3;
    result.received = received;
    result.pausedTerm = pausedAt;
    return result;
}

}

class leader_sightings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leader_sightings_test);
    CPPUNIT_TEST(primaryThatStillFeedsAReplicaIsNotLost);
    CPPUNIT_TEST(targetThatRefusesMayBeThePrimary);
    CPPUNIT_TEST(oldAnswersTellNothing);
    CPPUNIT_TEST(cutOffOnceMostAreMissingForAWhile);
    CPPUNIT_TEST(anyOtherTermOrPauseIsAChange);
    CPPUNIT_TEST(newPauseIsTheChangeOfAnotherInstance);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against replacing a primary that only this instance cannot reach. */
    void primaryThatStillFeedsAReplicaIsNotLost()
    {
        leader_sightings seen;
        seen.take(primary, false, std::nullopt, {1000});
        seen.take(nearReplica, true, report(false, {3, 10}), {1000});
        seen.take(farReplica, true, report(false, {3, 10}), {1000});
        for (std::int64_t now = 1100; now <= 2000; now += 100) {
            const auto grown = static_cast<std::uint64_t>(now);
            seen.take(nearReplica, true, report(false, {3, grown}), {now});
            seen.take(farReplica, true, report(false, {3, 10}), {now});
            CPPUNIT_ASSERT(!seen.isLeaderLost({now}, {1000}));
        }
        seen.take(nearReplica, true, report(false, {3, 2000}), {2300});
        seen.take(farReplica, true, report(false, {3, 10}), {2300});
        CPPUNIT_ASSERT(seen.isLeaderLost({2300}, {1000}));
    }

    /** Guards against LOST: two instances, one of them without the store, that change the primary at the same time. */
    void newPauseIsTheChangeOfAnotherInstance()
    {
        leader_sightings seen;
        seen.take(nearReplica, true, report(false, {3, 10}), {1000});
        CPPUNIT_ASSERT(!seen.isChangeUnderWay({1000}));
        seen.take(nearReplica, true, report(false, {3, 10}, 4), {1100});
        seen.take(nearReplica, true, report(false, {3, 10}, 4), {2500});
        CPPUNIT_ASSERT(seen.isChangeUnderWay({2500}));
        CPPUNIT_ASSERT(!seen.isChangeUnderWay({2600}));
        seen.take(nearReplica, true, report(false, {3, 10}), {2550});
        CPPUNIT_ASSERT(!seen.isChangeUnderWay({2550}));
    }

    /** Guards against taking the primary for lost while its slots are full. */
    void targetThatRefusesMayBeThePrimary()
    {
        leader_sightings seen;
        seen.take(primary, true, std::nullopt, {1000});
        seen.take(nearReplica, true, report(false, {}), {1000});
        CPPUNIT_ASSERT(!seen.isLeaderLost({1000}, {100}));
        seen.take(primary, false, std::nullopt, {1000});
        CPPUNIT_ASSERT(seen.isLeaderLost({1000}, {100}));
        seen.take(primary, true, report(true, {3, 1}), {1000});
        CPPUNIT_ASSERT(!seen.isLeaderLost({1000}, {100}));
        CPPUNIT_ASSERT(seen.hasLeader());
    }

    /** Guards against judging by what was seen before the instance was suspended, or before the present trouble. */
    void oldAnswersTellNothing()
    {
        leader_sightings seen;
        seen.take(primary, false, std::nullopt, {1000});
        seen.take(nearReplica, true, report(false, {}), {1000});
        CPPUNIT_ASSERT(!seen.isLeaderLost({5000}, {100}));
        CPPUNIT_ASSERT(seen.beginAsking(primary));
        seen.forget();
        CPPUNIT_ASSERT(!seen.isLeaderLost({1000}, {100}));
        CPPUNIT_ASSERT(!seen.beginAsking(primary)); // Its answer is still awaited.
    }

    /** Guards against callers that stay with an instance which reaches nothing, and against leaving at one loss. */
    void cutOffOnceMostAreMissingForAWhile()
    {
        leader_sightings seen;
        seen.take(primary, false, std::nullopt, {1000});
        seen.take(nearReplica, false, std::nullopt, {1000});
        seen.take(farReplica, true, report(false, {}), {1000});
        CPPUNIT_ASSERT(!seen.isCutOff({1100}));
        CPPUNIT_ASSERT(seen.isCutOff({1300}));
        seen.take(nearReplica, true, report(false, {}), {1300});
        CPPUNIT_ASSERT(!seen.isCutOff({2000}));
        seen.keepOnly([](const target_id &id) { return id == primary; });
        CPPUNIT_ASSERT(seen.isCutOff({2000}));
    }

    /** Guards against LOST: without the store, only the targets can tell that somebody else has acted. */
    void anyOtherTermOrPauseIsAChange()
    {
        leader_sightings seen;
        seen.take(primary, false, std::nullopt, {1000});
        seen.take(nearReplica, true, report(false, {3, 1}), {1000});
        CPPUNIT_ASSERT(seen.isUnchangedBut(primary, 3));
        CPPUNIT_ASSERT(!seen.isUnchangedBut(primary, 2));
        seen.take(nearReplica, true, report(false, {3, 1}, 4), {1000});
        CPPUNIT_ASSERT(!seen.isUnchangedBut(primary, 3));
        seen.take(nearReplica, false, std::nullopt, {1000});
        CPPUNIT_ASSERT(!seen.isUnchangedBut(primary, 3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_sightings_test);
