#include "primaryfailuredetector.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

const target_id primary("a");
const target_id replicaB("b");
const target_id replicaC("c");

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

class primary_failure_detector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(primary_failure_detector_test);
    CPPUNIT_TEST(primaryThatStillReplicatesIsNotLost);
    CPPUNIT_TEST(targetThatRefusesMayBePrimary);
    CPPUNIT_TEST(staleRepliesAreIgnored);
    CPPUNIT_TEST(mostTargetsCountAsUnreachableAfterTimeout);
    CPPUNIT_TEST(otherTermOrPauseCountsAsChange);
    CPPUNIT_TEST(recentPauseMeansChangeInProgress);
    CPPUNIT_TEST(onlyUnpausedReplicaIsFoundIfNoOtherCanBe);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against replacing a primary that only this instance cannot reach. */
    void primaryThatStillReplicatesIsNotLost()
    {
        primary_failure_detector detector;
        detector.recordReply(primary, false, std::nullopt, {1000});
        detector.recordReply(replicaB, true, report(false, {3, 10}), {1000});
        detector.recordReply(replicaC, true, report(false, {3, 10}), {1000});
        for (std::int64_t now = 1100; now <= 2000; now += 100) {
            const auto grown = static_cast<std::uint64_t>(now);
            detector.recordReply(replicaB, true, report(false, {3, grown}), {now});
            detector.recordReply(replicaC, true, report(false, {3, 10}), {now});
            CPPUNIT_ASSERT(!detector.isPrimaryLost({now}, {1000}));
        }
        detector.recordReply(replicaB, true, report(false, {3, 2000}), {2300});
        detector.recordReply(replicaC, true, report(false, {3, 10}), {2300});
        CPPUNIT_ASSERT(detector.isPrimaryLost({2300}, {1000}));
    }

    /**
     * Guards against the loss of acknowledged writes when two instances, one of them without the store, change the
     * primary at the same time.
     */
    void recentPauseMeansChangeInProgress()
    {
        primary_failure_detector detector;
        detector.recordReply(replicaB, true, report(false, {3, 10}), {1000});
        CPPUNIT_ASSERT(!detector.isPrimaryChangeInProgress({1000}));
        detector.recordReply(replicaB, true, report(false, {3, 10}, 4), {1100});
        detector.recordReply(replicaB, true, report(false, {3, 10}, 4), {2500});
        CPPUNIT_ASSERT(detector.isPrimaryChangeInProgress({2500}));
        CPPUNIT_ASSERT(!detector.isPrimaryChangeInProgress({2600}));
        detector.recordReply(replicaB, true, report(false, {3, 10}), {2550});
        CPPUNIT_ASSERT(!detector.isPrimaryChangeInProgress({2550}));
    }

    /**
     * Guards against the loss of acknowledged writes: the target of an open promotion command is taken for another one
     * if a replica that was paused has restarted, or does not report.
     */
    void onlyUnpausedReplicaIsFoundIfNoOtherCanBe()
    {
        primary_failure_detector detector;
        detector.recordReply(primary, true, report(true, {3, 10}), {1000});
        CPPUNIT_ASSERT(detector.beginQuery(replicaB));
        CPPUNIT_ASSERT(!detector.isSurveyComplete());
        detector.recordReply(replicaB, true, report(false, {3, 10}, 4), {1000});
        CPPUNIT_ASSERT(detector.isSurveyComplete());
        CPPUNIT_ASSERT(!detector.onlyUnpausedReplica());
        detector.recordReply(replicaC, true, report(false, {3, 10}), {1000});
        CPPUNIT_ASSERT(detector.onlyUnpausedReplica() == replicaC);
        detector.recordReply(replicaB, false, std::nullopt, {1100});
        CPPUNIT_ASSERT(detector.isSurveyComplete());
        CPPUNIT_ASSERT(!detector.onlyUnpausedReplica());
        detector.recordReply(replicaB, true, report(false, {3, 10}), {1200});
        CPPUNIT_ASSERT(!detector.onlyUnpausedReplica());
    }

    /** Guards against judging the primary lost while it refuses queries because its slots are full. */
    void targetThatRefusesMayBePrimary()
    {
        primary_failure_detector detector;
        detector.recordReply(primary, true, std::nullopt, {1000});
        detector.recordReply(replicaB, true, report(false, {}), {1000});
        CPPUNIT_ASSERT(!detector.isPrimaryLost({1000}, {100}));
        detector.recordReply(primary, false, std::nullopt, {1000});
        CPPUNIT_ASSERT(detector.isPrimaryLost({1000}, {100}));
        detector.recordReply(primary, true, report(true, {3, 1}), {1000});
        CPPUNIT_ASSERT(!detector.isPrimaryLost({1000}, {100}));
        CPPUNIT_ASSERT(detector.hasPrimary());
    }

    /** Guards against judging by replies from before a suspension of the instance or the current suspicion. */
    void staleRepliesAreIgnored()
    {
        primary_failure_detector detector;
        detector.recordReply(primary, false, std::nullopt, {1000});
        detector.recordReply(replicaB, true, report(false, {}), {1000});
        CPPUNIT_ASSERT(!detector.isPrimaryLost({5000}, {100}));
        CPPUNIT_ASSERT(detector.beginQuery(primary));
        detector.discardReplies();
        CPPUNIT_ASSERT(!detector.isPrimaryLost({1000}, {100}));
        CPPUNIT_ASSERT(!detector.beginQuery(primary)); // The earlier query is still pending.
    }

    /**
     * Guards against callers that stay with an instance that reaches no target, and against sending them away when a
     * single target fails.
     */
    void mostTargetsCountAsUnreachableAfterTimeout()
    {
        primary_failure_detector detector;
        detector.recordReply(primary, false, std::nullopt, {1000});
        detector.recordReply(replicaB, false, std::nullopt, {1000});
        detector.recordReply(replicaC, true, report(false, {}), {1000});
        CPPUNIT_ASSERT(!detector.areMostTargetsUnreachable({1100}));
        CPPUNIT_ASSERT(detector.areMostTargetsUnreachable({1300}));
        detector.recordReply(replicaB, true, report(false, {}), {1300});
        CPPUNIT_ASSERT(!detector.areMostTargetsUnreachable({2000}));
        detector.keepOnly([](const target_id &id) { return id == primary; });
        CPPUNIT_ASSERT(detector.areMostTargetsUnreachable({2000}));
    }

    /**
     * Guards against the loss of acknowledged writes: without the store, only the targets show that another instance
     * has acted.
     */
    void otherTermOrPauseCountsAsChange()
    {
        primary_failure_detector detector;
        detector.recordReply(primary, false, std::nullopt, {1000});
        detector.recordReply(replicaB, true, report(false, {3, 1}), {1000});
        CPPUNIT_ASSERT(detector.areOthersUnchanged(primary, 3));
        CPPUNIT_ASSERT(!detector.areOthersUnchanged(primary, 2));
        detector.recordReply(replicaB, true, report(false, {3, 1}, 4), {1000});
        CPPUNIT_ASSERT(!detector.areOthersUnchanged(primary, 3));
        detector.recordReply(replicaB, false, std::nullopt, {1000});
        CPPUNIT_ASSERT(!detector.areOthersUnchanged(primary, 3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(primary_failure_detector_test);
