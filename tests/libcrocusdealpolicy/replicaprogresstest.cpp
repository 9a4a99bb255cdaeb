#include "replicaprogress.h"
#include "freshness.h"
#include "replicabackoff.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace crocusdeal;

namespace
{

constexpr double growth = 2; // Offsets a millisecond.
constexpr std::int64_t lagEndsAt = 20000;
constexpr std::int64_t laggedFor = 5000; // By so much the replica is behind until lagEndsAt.
constexpr std::int64_t readEveryMs = 10; // At each instance.
constexpr std::int64_t hintDelayMs = 400;

position logAt(std::int64_t ms)
{
    return {1, static_cast<std::uint64_t>(static_cast<double>(ms) * growth)};
}

}

class replica_progress_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_progress_test);
    CPPUNIT_TEST(projectsTheLogOfAReplica);
    CPPUNIT_TEST(refusalSpeaksAgainstAReplica);
    CPPUNIT_TEST(laggingReplicaStillServesOldReads);
    CPPUNIT_TEST(looserReadIsNoSignOfCatchingUp);
    CPPUNIT_TEST(backsOffForAsLongAsTheReplicaIsBehind);
    CPPUNIT_TEST(oldHintsAreIgnored);
    CPPUNIT_TEST(wrongHintEndsWithTheNextAnswer);
    CPPUNIT_TEST(oneInstanceAsksForAll);
    CPPUNIT_TEST(samplesTellTheGrowth);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against reads that all follow the one replica which was heard last. */
    void projectsTheLogOfAReplica()
    {
        replica_progress progress;
        CPPUNIT_ASSERT(progress.probablyHolds(logAt(1000), {1000}, growth));
        progress.recordHeld(logAt(900), {1000});
        CPPUNIT_ASSERT(progress.probablyHolds(logAt(1400), {1500}, growth));
        CPPUNIT_ASSERT(!progress.probablyHolds(logAt(1401), {1500}, growth));
        CPPUNIT_ASSERT(!progress.probablyHolds({2, 0}, {1500}, growth));
        CPPUNIT_ASSERT(progress.probablyHolds(logAt(3000), {3000}, growth));
        progress.forget();
        CPPUNIT_ASSERT(progress.held() == position{});
    }

    /** Guards against a read for a replica that has just refused one like it, only since it was not heard since. */
    void refusalSpeaksAgainstAReplica()
    {
        replica_progress progress;
        progress.recordHeld(logAt(500), {1000});
        progress.recordRefused(logAt(950), logAt(500), {1000});
        CPPUNIT_ASSERT(!progress.probablyHolds(logAt(3950), {4000}, growth));
        CPPUNIT_ASSERT(progress.probablyHolds(logAt(6950), {7000}, growth));
    }

    /** Guards against a lagging replica that is lost also for reads which it can serve. */
    void laggingReplicaStillServesOldReads()
    {
        replica_progress progress;
        progress.recordHeld(logAt(1000), {2000});
        progress.recordRefused(logAt(1900), logAt(1000), {2000});
        CPPUNIT_ASSERT(progress.holdsWhileLagging(logAt(1100), {2200}, growth));
        CPPUNIT_ASSERT(!progress.holdsWhileLagging(logAt(1101), {2200}, growth));
        CPPUNIT_ASSERT(!replica_progress().holdsWhileLagging(logAt(1), {2200}, growth));
    }

    /** Guards against reads that are refused again and again between others which may be served from an old log. */
    void looserReadIsNoSignOfCatchingUp()
    {
        replica_progress progress;
        CPPUNIT_ASSERT(progress.isCaughtUp(logAt(1), {10}, growth));
        progress.recordRefused(logAt(1900), logAt(1000), {2000});
        CPPUNIT_ASSERT(!progress.isCaughtUp(logAt(1050), {2050}, growth));
        CPPUNIT_ASSERT(progress.isCaughtUp(logAt(1950), {2050}, growth));
    }

    /** Guards against asking a replica that is behind by seconds each second. */
    void backsOffForAsLongAsTheReplicaIsBehind()
    {
        CPPUNIT_ASSERT(timeBehind(logAt(1000), logAt(4000), growth) == duration{3000});
        CPPUNIT_ASSERT(timeBehind(logAt(1000), logAt(4000), 0) == duration{0});
        CPPUNIT_ASSERT(timeBehind({1, 5}, {2, 1}, growth) == duration{0});
        replica_backoff backoff;
        backoff.recordLagging({0}, {10}, {3000});
        CPPUNIT_ASSERT(backoff.isBackingOff({3009}) && !backoff.isBackingOff({3010}));
        replica_backoff far;
        far.recordLagging({0}, {0}, {60000}, 1);
        CPPUNIT_ASSERT(far.isBackingOff({6249}) && !far.isBackingOff({6250}));
        far.recordCaughtUp({100});
        CPPUNIT_ASSERT(!far.isBackingOff({101}));
    }

    /** Guards against a hint that takes away a replica which has served reads since. */
    void oldHintsAreIgnored()
    {
        replica_backoff backoff;
        backoff.recordCaughtUp({1000});
        backoff.recordReported({900}, {3000}, 0);
        CPPUNIT_ASSERT(!backoff.isBackingOff({1001}));
        backoff.recordReported({1100}, {3000}, 0);
        CPPUNIT_ASSERT(backoff.isBackingOff({4100}));
        CPPUNIT_ASSERT(backoff.lastRefusedAt() == never); // Hints of others are not passed on.
    }

    /** Guards against a false position of another instance that is believed for ever, or taken for one seen here. */
    void wrongHintEndsWithTheNextAnswer()
    {
        replica_progress progress;
        progress.recordHeld(logAt(900), {1000});
        progress.recordReported(logAt(9000), {1100});
        CPPUNIT_ASSERT(progress.held() == logAt(900));
        progress.recordHeld(logAt(1000), {1200});
        CPPUNIT_ASSERT(!progress.holdsWhileLagging(logAt(1200), {1200}, growth));
        progress.recordReported(logAt(1000), {1400});
        CPPUNIT_ASSERT(!progress.holdsWhileLagging(logAt(1200), {1500}, growth));
    }

    /** Guards against a replica that is behind for long and is asked by each instance again and again. */
    void oneInstanceAsksForAll()
    {
        const int alone = refusalsOf(36, false, false);
        const int told = refusalsOf(36, true, true);
        CPPUNIT_ASSERT(alone > 0);
        CPPUNIT_ASSERT(told * 4 <= alone);
    }

    /** Guards against a lag that is judged by a log which another primary has written. */
    void samplesTellTheGrowth()
    {
        position_samples samples;
        CPPUNIT_ASSERT_EQUAL(0.0, samples.growthPerMs());
        samples.add(logAt(1000), {1000});
        samples.add(logAt(1200), {1200});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(growth, samples.growthPerMs(), 0.01);
        samples.add({2, 10}, {1300});
        CPPUNIT_ASSERT_EQUAL(0.0, samples.growthPerMs());
    }

private:
    /** Reads that a lagging replica refuses, of instances that know the gap and hear of each other, or do not. */
    static int refusalsOf(std::size_t instances, bool isGapKnown, bool areHintsHeard)
    {
        std::vector<replica_backoff> backoffs(instances);
        std::vector<std::int64_t> hints;
        int refusals = 0;
        for (std::int64_t now = 0; now < lagEndsAt; ++now) {
            for (std::size_t i = 0; i < instances; ++i) {
                for (std::size_t k = hints.size(); areHintsHeard && k-- > 0 && hints[k] + hintDelayMs >= now;) {
                    if (hints[k] + hintDelayMs == now) {
                        backoffs[i].recordReported({hints[k]}, {laggedFor}, drawOf(i));
                    }
                }
                const bool isReadDue = (now + static_cast<std::int64_t>(i)) % readEveryMs == 0;
                if (!isReadDue || backoffs[i].isBackingOff({now})) {
                    continue;
                }
                backoffs[i].recordLagging({now}, {now}, {isGapKnown ? laggedFor : 0}, drawOf(i));
                hints.push_back(now);
                ++refusals;
            }
        }
        return refusals;
    }

    static double drawOf(std::size_t instance)
    {
        return static_cast<double>(instance * 7 % 10) / 10;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_progress_test);
