#include "targetdirectory.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

class target_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_directory_test);
    CPPUNIT_TEST(drainingReplicaGetsNothingNew);
    CPPUNIT_TEST(drainingPrimaryServesUntilShortlyBeforeTheDrainTimeEnds);
    CPPUNIT_TEST(drainingPrimaryServesBrieflyAfterALateReport);
    CPPUNIT_TEST(checksLeaveHalfOfTheTimeForNewWork);
    CPPUNIT_TEST(expiredEntryDoesNotExtendTheDrainTime);
    CPPUNIT_TEST(targetWithExpiredEntryServesBriefly);
    CPPUNIT_TEST(targetWithExpiredEntryIsKeptForPromotions);
    CPPUNIT_TEST(restartedTargetIsNotDraining);
    CPPUNIT_TEST(targetWithoutEntryProvesNoCommits);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against new statements at a draining replica. */
    void drainingReplicaGetsNothingNew()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), at(0));
        CPPUNIT_ASSERT(!directory.acceptsNewWork(known(directory), false, {1}));
    }

    /** Guards against an outage before the primary changes, and against new statements after it should have changed. */
    void drainingPrimaryServesUntilShortlyBeforeTheDrainTimeEnds()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), at(0));
        CPPUNIT_ASSERT(directory.acceptsNewWork(known(directory), true, {5000}));
        CPPUNIT_ASSERT(!directory.acceptsNewWork(known(directory), true, {6000}));
    }

    /** Guards against new statements at a draining target: a started or reconnected instance learns of it late. */
    void drainingPrimaryServesBrieflyAfterALateReport()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), {{20000}, never});
        CPPUNIT_ASSERT(directory.acceptsNewWork(known(directory), true, {22000}));
        CPPUNIT_ASSERT(!directory.acceptsNewWork(known(directory), true, {22600}));
        target_directory cutOff(7000_ms);
        cutOff.put(entry(true), {{20000}, {16000}});
        CPPUNIT_ASSERT(!cutOff.acceptsNewWork(known(cutOff), true, {22600}));
    }

    /** Guards against an outage at a planned change, and against new work that is counted from late news. */
    void checksLeaveHalfOfTheTimeForNewWork()
    {
        for (const auto drainTime : {3000_ms, 7000_ms, 10000_ms}) {
            target_directory directory(drainTime);
            const auto heard = time_point{0} + targetCheckInterval(drainTime);
            directory.put(entry(true), {heard, {0}});
            const auto asLongAgain = heard + (heard - time_point{0}) - 1_ms;
            CPPUNIT_ASSERT(directory.acceptsNewWork(known(directory), true, asLongAgain));
            CPPUNIT_ASSERT(!directory.acceptsNewWork(known(directory), true, time_point{0} + drainTime));
        }
    }

    /** Guards against new statements at a draining target: an entry that expires and returns is not a new report. */
    void expiredEntryDoesNotExtendTheDrainTime()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), at(0));
        directory.markRemoved(target_id("t"), at(4000));
        directory.put(entry(true), at(5000));
        CPPUNIT_ASSERT(!directory.acceptsNewWork(known(directory), true, {6000}));
    }

    /** Guards against dropping all targets when the metadata store comes back without their entries. */
    void targetWithExpiredEntryServesBriefly()
    {
        target_directory directory(7000_ms);
        directory.put(entry(false), at(0));
        directory.replaceAll({}, at(1000));
        CPPUNIT_ASSERT(directory.acceptsNewWork(known(directory), false, {6000}));
        CPPUNIT_ASSERT(!directory.acceptsNewWork(known(directory), false, {6600}));
    }

    /** Guards against lost commits: a target partitioned with its primary loses its entry but still acknowledges. */
    void targetWithExpiredEntryIsKeptForPromotions()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), at(0));
        directory.markRemoved(target_id("t"), at(1000));
        CPPUNIT_ASSERT(directory.eraseExpired({20000}).empty());
        CPPUNIT_ASSERT(directory.find(target_id("t")) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.eraseExpired({40000}).size());
    }

    /** Guards against treating a target as draining after it has restarted under the same id. */
    void restartedTargetIsNotDraining()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), at(0));
        auto afterRestart = entry(false);
        afterRestart.incarnation = 2;
        directory.put(afterRestart, at(100));
        CPPUNIT_ASSERT(directory.acceptsNewWork(known(directory), false, {200}));
    }

    /** Guards against lost commits: some instances do not know, or have dropped, what proves a commit to others. */
    void targetWithoutEntryProvesNoCommits()
    {
        target_directory directory(7000_ms);
        directory.put(entry(false), at(0));
        CPPUNIT_ASSERT(target_directory::mayProveCommits(known(directory), {90000}));
        directory.markRemoved(target_id("t"), at(1000));
        CPPUNIT_ASSERT(target_directory::mayProveCommits(known(directory), {2000}));
        CPPUNIT_ASSERT(!target_directory::mayProveCommits(known(directory), {6000}));
        directory.put(entry(true), at(7000));
        CPPUNIT_ASSERT(target_directory::mayProveCommits(known(directory), {7000}));
        directory.markRemoved(target_id("t"), at(8000));
        CPPUNIT_ASSERT(!target_directory::mayProveCommits(known(directory), {8000}));
    }

private:
    /** The time of a report that was received as soon as its content changed. */
    static directory_update_time at(std::int64_t ms)
    {
        return {{ms}, {ms}};
    }

    static target_entry entry(bool isDraining)
    {
        target_entry result;
        result.id = target_id("t");
        result.service = service_id("s");
        result.isDraining = isDraining;
        result.incarnation = 1;
        return result;
    }

    static const known_target &known(const target_directory &directory)
    {
        return *directory.find(target_id("t"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_directory_test);
