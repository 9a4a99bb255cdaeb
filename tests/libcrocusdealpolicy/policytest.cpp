#include "adaptiveconcurrencylimit.h"
#include "failurerate.h"
#include "freshness.h"
#include "isolation.h"
#include "placement.h"
#include "promotionlease.h"
#include "replicabackoff.h"
#include "sessionvalues.h"
#include "targetdirectory.h"
#include "waitqueue.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

using namespace crocusdeal;
using namespace crocusdeal::literals;

class freshness_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(freshness_test);
    CPPUNIT_TEST(coversOnlyWithAnAnswerRequestedAfterTheBound);
    CPPUNIT_TEST(neverGivesAPositionThatMissesAnEarlierCommit);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against stale reads: an answer requested before the bound may lack commits that the read must see. */
    void coversOnlyWithAnAnswerRequestedAfterTheBound()
    {
        position_samples samples;
        samples.add({1, 10}, {1000});
        samples.add({1, 20}, {2000});
        CPPUNIT_ASSERT(samples.covering({1000}) == (position{1, 10}));
        CPPUNIT_ASSERT(samples.covering({1001}) == (position{1, 20}));
        CPPUNIT_ASSERT(!samples.covering({2001}));
    }

    /** Guards against stale reads: when samples are thinned out, an older one must not stand in for a later one. */
    void neverGivesAPositionThatMissesAnEarlierCommit()
    {
        CPPUNIT_ASSERT(rc::check("covering position", [](std::uint32_t seed) {
            std::mt19937 random(seed);
            position_samples samples;
            std::vector<std::pair<std::int64_t, std::uint64_t>> commits;
            std::int64_t now = 0;
            std::uint64_t last = 0;
            for (int i = 0; i < 300; ++i) {
                now += random() % 40;
                if (random() % 2 == 0) {
                    commits.emplace_back(now, ++last);
                } else {
                    samples.add({1, last}, {now});
                }
                const time_point bound{now - static_cast<std::int64_t>(random() % 500)};
                const auto covering = samples.covering(bound);
                for (const auto &[at, number] : commits) {
                    RC_ASSERT(!covering || at >= bound.ms || number <= covering->offset);
                }
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(freshness_test);

class session_values_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_values_test);
    CPPUNIT_TEST(connectionHasExactlyTheValuesOfTheSession);
    CPPUNIT_TEST(nothingIsDiscardedInATransaction);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against session state leaking: a value or prepared name of another session is left on the connection. */
    void connectionHasExactlyTheValuesOfTheSession()
    {
        CPPUNIT_ASSERT(rc::check("values follow the session", [](std::uint32_t seed) {
            std::mt19937 random(seed);
            std::vector<session_values> sessions(4);
            connection_values connection;
            std::map<std::string, std::string> held;
            std::map<std::string, prepared_shape> names;
            for (int i = 0; i < 200; ++i) {
                auto &session = sessions[random() % sessions.size()];
                const auto name = std::to_string(random() % 3);
                session.values[name] = std::to_string(random() % 2);
                const prepared_shape shape{random() % 2 == 0 ? effect::Read : effect::Write,
                                           std::to_string(random() % 400)};
                for (const auto &step : connection.setUpFor(session, &shape, false)) {
                    if (step.kind == setup_step::Discard) {
                        held.clear();
                        names.clear();
                    } else if (step.kind == setup_step::Set) {
                        held[step.name] = step.value;
                    } else {
                        names[step.name] = {step.preparedEffect, step.value};
                    }
                }
                RC_ASSERT(held == session.values);
                RC_ASSERT(names.at(connection.preparedName(shape)) == shape);
            }
        }));
    }

    /** Guards against a DISCARD within a transaction. */
    void nothingIsDiscardedInATransaction()
    {
        connection_values values;
        session_values session;
        for (int i = 0; i < 600; ++i) {
            const prepared_shape shape{effect::Read, std::to_string(i)};
            for (const auto &step : values.setUpFor(session, &shape, true)) {
                CPPUNIT_ASSERT(step.kind != setup_step::Discard);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_values_test);

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

class target_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_directory_test);
    CPPUNIT_TEST(drainingReplicaGetsNothingNew);
    CPPUNIT_TEST(drainingPrimaryServesUntilShortlyBeforeTheDrainTimeEnds);
    CPPUNIT_TEST(drainingPrimaryServesBrieflyAfterALateReport);
    CPPUNIT_TEST(expiredEntryDoesNotExtendTheDrainTime);
    CPPUNIT_TEST(targetWithExpiredEntryServesBriefly);
    CPPUNIT_TEST(targetWithExpiredEntryIsKeptForPromotions);
    CPPUNIT_TEST(restartedTargetIsNotDraining);
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

class replica_backoff_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_backoff_test);
    CPPUNIT_TEST(backoffGrowsWhileTheReplicaLags);
    CPPUNIT_TEST(oneBurstOfRefusalsCountsOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against sending reads for seconds to a lagging replica that can only refuse them. */
    void backoffGrowsWhileTheReplicaLags()
    {
        replica_backoff backoff;
        backoff.recordLagging({0}, {10});
        CPPUNIT_ASSERT(backoff.isBackingOff({159}));
        CPPUNIT_ASSERT(!backoff.isBackingOff({160}));
        backoff.recordLagging({160}, {165});
        CPPUNIT_ASSERT(backoff.isBackingOff({464}));
        for (std::int64_t at = 1000; at < 20000; at += 2000) {
            backoff.recordLagging({at}, {at});
        }
        CPPUNIT_ASSERT(backoff.isBackingOff({20199}));
        CPPUNIT_ASSERT(!backoff.isBackingOff({20201}));
        backoff.recordCaughtUp();
        CPPUNIT_ASSERT(!backoff.isBackingOff({20100}));
        backoff.recordLagging({21000}, {21000});
        CPPUNIT_ASSERT(!backoff.isBackingOff({21150}));
    }

    /** Guards against a long backoff for a replica that lagged only briefly: one burst of refusals counts once. */
    void oneBurstOfRefusalsCountsOnce()
    {
        replica_backoff backoff;
        for (std::int64_t at = 0; at < 10; ++at) {
            backoff.recordLagging({at}, {10 + at});
        }
        CPPUNIT_ASSERT(!backoff.isBackingOff({160}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_backoff_test);

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(prefersAReplicaNearby);
    CPPUNIT_TEST(avoidsASlowOrFullTarget);
    CPPUNIT_TEST(opensAConnectionOnlyIfItSavesTime);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against connection start-ups that take a target's slots from statements when all callers reconnect. */
    void opensAConnectionOnlyIfItSavesTime()
    {
        CPPUNIT_ASSERT(isConnectionWorthOpening(1, 0, 15, 27));
        CPPUNIT_ASSERT(!isConnectionWorthOpening(1, 1, 15, 27));
        CPPUNIT_ASSERT(isConnectionWorthOpening(2, 1, 15, 27));
        CPPUNIT_ASSERT(!isConnectionWorthOpening(3, 2, 15, 27));
        CPPUNIT_ASSERT(!isConnectionWorthOpening(4, 1, 40, 400));
    }

    /** Guards against reads that needlessly take slots of the primary or cross data centres. */
    void prefersAReplicaNearby()
    {
        auto primary = candidate(0);
        primary.isPrimary = true;
        primary.isLocal = true;
        const auto distant = candidate(1);
        auto nearby = candidate(2);
        nearby.isLocal = true;
        CPPUNIT_ASSERT(placeRead({primary, distant, nearby}) == std::size_t{2});
    }

    /** Guards against queueing at a busy or slow target while another is free. */
    void avoidsASlowOrFullTarget()
    {
        auto full = candidate(0);
        full.isLocal = true;
        full.inFlight = full.permits;
        auto slow = candidate(1);
        slow.answerMs = 80;
        const auto free = candidate(2);
        CPPUNIT_ASSERT(placeRead({full, slow, free}) == std::size_t{2});
        CPPUNIT_ASSERT(!placeRead({full}));
    }

private:
    static read_candidate candidate(std::size_t index)
    {
        read_candidate result;
        result.index = index;
        result.permits = 2;
        result.slots = 2;
        result.answerMs = 10;
        result.hasRequiredPosition = true;
        result.hasIdleConnection = true;
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

class adaptive_concurrency_limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(adaptive_concurrency_limit_test);
    CPPUNIT_TEST(decreasesOncePerBatch);
    CPPUNIT_TEST(alwaysLeavesOnePermit);
    CPPUNIT_TEST(increasesWhileTheTargetSucceeds);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against cutting the limit to the minimum for one short overload: refusals of one batch count once. */
    void decreasesOncePerBatch()
    {
        adaptive_concurrency_limit limit(8);
        limit.recordBusy({1000}, {1003});
        limit.recordBusy({1001}, {1004});
        limit.recordBusy({1002}, {1004});
        CPPUNIT_ASSERT_EQUAL(4, limit.permits());
        limit.recordBusy({1005}, {1008});
        CPPUNIT_ASSERT_EQUAL(2, limit.permits());
        CPPUNIT_ASSERT(limit.backoffUntil() > (time_point{1008}));
    }

    /** Guards against starving a service whose target sheds load for a long time. */
    void alwaysLeavesOnePermit()
    {
        adaptive_concurrency_limit limit(4);
        for (int i = 0; i < 100; ++i) {
            limit.recordBusy({1000 + i * 10}, {1005 + i * 10});
            CPPUNIT_ASSERT(limit.permits() >= 1);
        }
        CPPUNIT_ASSERT((limit.backoffUntil() - time_point{1995}).ms <= 100);
    }

    /** Guards against a limit that does not recover, or that exceeds the slots of the target. */
    void increasesWhileTheTargetSucceeds()
    {
        adaptive_concurrency_limit limit(4);
        limit.recordBusy({1000}, {1005});
        limit.recordBusy({1010}, {1015});
        CPPUNIT_ASSERT_EQUAL(1, limit.permits());
        for (int i = 0; i < 100; ++i) {
            limit.recordSuccess();
        }
        CPPUNIT_ASSERT_EQUAL(4, limit.permits());
        limit.setMaximum(2);
        CPPUNIT_ASSERT_EQUAL(2, limit.permits());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adaptive_concurrency_limit_test);

class failure_rate_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_rate_test);
    CPPUNIT_TEST(failingTargetIsAvoidedAndRetriedLater);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against sending reads to a target that fails two reads in five while its health check succeeds. */
    void failingTargetIsAvoidedAndRetriedLater()
    {
        failure_rate failing;
        for (int i = 0; i < 20; ++i) {
            failing.record(i % 5 < 2, {1000 + i * 10});
        }
        std::vector<read_candidate> candidates(2);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].index = i;
            candidates[i].answerMs = 20;
            candidates[i].permits = 4;
            candidates[i].slots = 4;
            candidates[i].hasIdleConnection = true;
            candidates[i].hasRequiredPosition = true;
        }
        candidates[1].inFlight = 3;
        candidates[0].failureRate = failing.at({1200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *placeRead(candidates));
        candidates[0].failureRate = failing.at({15000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *placeRead(candidates));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_rate_test);

class isolation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(isolation_test);
    CPPUNIT_TEST(isIsolatedOnlyIfNoOtherDataCentreAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against reporting not ready when only one other data centre is lost, or when there is no traffic. */
    void isIsolatedOnlyIfNoOtherDataCentreAnswers()
    {
        const data_centre_id own("here");
        const time_point now{5000};
        std::vector<target_reachability> targets{
            {own, false, {4990}}, {data_centre_id("b"), true, {4600}}, {data_centre_id("c"), false, {4600}}};
        CPPUNIT_ASSERT(!areOtherDataCentresUnreachable(targets, own, now));
        targets[2].isUnresponsive = true;
        CPPUNIT_ASSERT(areOtherDataCentresUnreachable(targets, own, now));
        targets.push_back({data_centre_id("c"), false, {4900}});
        CPPUNIT_ASSERT(!areOtherDataCentresUnreachable(targets, own, now));
        CPPUNIT_ASSERT(!areOtherDataCentresUnreachable({{own, true, never}}, own, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(isolation_test);

class wait_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wait_queue_test);
    CPPUNIT_TEST(placesByPriorityThenByWantedTime);
    CPPUNIT_TEST(refusesOnlyExpiredWork);
    CPPUNIT_TEST(queueMayChangeWhileWorkIsPlaced);
    CPPUNIT_TEST(countsEarlierWorkForThePrimary);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against urgent work waiting behind less urgent work. */
    void placesByPriorityThenByWantedTime()
    {
        wait_queue queue;
        std::string order;
        add(queue, 2, {100}, "c", order);
        add(queue, 1, {300}, "b", order);
        add(queue, 1, {200}, "a", order);
        queue.placeAll();
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), order);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
    }

    /** Guards against refusing work before its time, and against keeping it after. */
    void refusesOnlyExpiredWork()
    {
        wait_queue queue;
        int refused = 0;
        for (const std::int64_t at : {100, 200}) {
            waiting_work work;
            work.refuseAt = {at};
            work.tryPlace = [] { return false; };
            work.refuse = [&refused] { ++refused; };
            queue.add(std::move(work));
        }
        queue.refuseExpired({150});
        CPPUNIT_ASSERT_EQUAL(1, refused);
        CPPUNIT_ASSERT(queue.nextRefusal() == time_point{200});
    }

    /** Guards against using an entry that was removed while another was placed. */
    void queueMayChangeWhileWorkIsPlaced()
    {
        wait_queue queue;
        wait_queue::ticket second = 0;
        waiting_work first;
        first.tryPlace = [&] {
            queue.remove(second);
            return true;
        };
        queue.add(std::move(first));
        waiting_work other;
        other.wantedBy = {1};
        other.tryPlace = [] {
            CPPUNIT_FAIL("removed work was placed");
            return true;
        };
        second = queue.add(std::move(other));
        queue.placeAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
    }

    /** Guards against refusing urgent work because of queued work that it overtakes. */
    void countsEarlierWorkForThePrimary()
    {
        wait_queue queue;
        for (const int priority : {1, 1, 2}) {
            waiting_work work;
            work.priority = priority;
            work.isForPrimary = true;
            queue.add(std::move(work));
        }
        waiting_work read;
        read.priority = 1;
        queue.add(std::move(read));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.aheadAtPrimary(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.aheadAtPrimary(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, queue.aheadAtPrimary(2));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20.0, expectedWaitMs(3, 10, 2), 0.001);
    }

private:
    static void add(wait_queue &queue, int priority, time_point wantedBy, const char *name, std::string &order)
    {
        waiting_work work;
        work.priority = priority;
        work.wantedBy = wantedBy;
        work.tryPlace = [name, &order] {
            order += name;
            return true;
        };
        queue.add(std::move(work));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wait_queue_test);
