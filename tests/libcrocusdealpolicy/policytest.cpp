#include "admissionwindow.h"
#include "failureshare.h"
#include "freshness.h"
#include "isolation.h"
#include "placement.h"
#include "promotionlease.h"
#include "replicalag.h"
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
    CPPUNIT_TEST(coversOnlyWithAnAnswerAskedAfterTheBound);
    CPPUNIT_TEST(neverGivesAPositionThatMissesAnEarlierCommit);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against STALE: an answer that was asked for before the bound may lack later commits. */
    void coversOnlyWithAnAnswerAskedAfterTheBound()
    {
        position_samples samples;
        samples.add({1, 10}, {1000});
        samples.add({1, 20}, {2000});
        CPPUNIT_ASSERT(samples.covering({1000}) == (position{1, 10}));
        CPPUNIT_ASSERT(samples.covering({1001}) == (position{1, 20}));
        CPPUNIT_ASSERT(!samples.covering({2001}));
    }

    /** Guards against a thinned-out sample standing in for a later one. */
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
    CPPUNIT_TEST(connectionHoldsExactlyTheValuesOfTheSession);
    CPPUNIT_TEST(nothingIsDiscardedInATransaction);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against PINNED: a value or name of another session is left on the connection. */
    void connectionHoldsExactlyTheValuesOfTheSession()
    {
        CPPUNIT_ASSERT(rc::check("values follow the session", [](std::uint32_t seed) {
            std::mt19937 random(seed);
            std::vector<session_values> sessions(4);
            connection_values believed;
            std::map<std::string, std::string> held;
            std::map<std::string, prepared_shape> names;
            for (int i = 0; i < 200; ++i) {
                auto &session = sessions[random() % sessions.size()];
                const auto name = std::to_string(random() % 3);
                session.values[name] = std::to_string(random() % 2);
                const prepared_shape shape{random() % 2 == 0 ? effect::Read : effect::Write,
                                           std::to_string(random() % 400)};
                for (const auto &step : believed.prepareFor(session, &shape, false)) {
                    if (step.kind == preparation_step::Discard) {
                        held.clear();
                        names.clear();
                    } else if (step.kind == preparation_step::Set) {
                        held[step.name] = step.value;
                    } else {
                        names[step.name] = {step.preparedEffect, step.value};
                    }
                }
                RC_ASSERT(held == session.values);
                RC_ASSERT(names.at(believed.nameOf(shape)) == shape);
            }
        }));
    }

    /** Guards against a DISCARD in the middle of a transaction. */
    void nothingIsDiscardedInATransaction()
    {
        connection_values values;
        session_values session;
        for (int i = 0; i < 600; ++i) {
            const prepared_shape shape{effect::Read, std::to_string(i)};
            for (const auto &step : values.prepareFor(session, &shape, true)) {
                CPPUNIT_ASSERT(step.kind != preparation_step::Discard);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_values_test);

class duty_claim_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(duty_claim_test);
    CPPUNIT_TEST(theHolderGoesFirst);
    CPPUNIT_TEST(takesOverOnlyAfterTheLease);
    CPPUNIT_TEST(doesNotWaitForAHolderThatOnlyHoldsAToken);
    CPPUNIT_TEST(refusedTokenIsNeverUsedAgain);
    CPPUNIT_TEST(tokenOfAnEarlierProcessIsNotInHand);
    CPPUNIT_TEST(claimGoesStaleWhileSuspended);
    CPPUNIT_TEST(orderOfAnotherProcessIsOpenUntilItIsSettled);
    CPPUNIT_TEST(settledRecordKeepsTheLease);
    CPPUNIT_TEST(restartedHolderKeepsTheLease);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against holders that take turns. */
    void theHolderGoesFirst()
    {
        promotion_lease claim("b");
        claim.observe({"a", 7}, {0});
        CPPUNIT_ASSERT(!claim.mayClaim({60000}, {60000}));
        CPPUNIT_ASSERT(claim.mayClaim({60800}, {60000}));
        promotion_lease own("a");
        own.observe({"a", 7}, {0});
        CPPUNIT_ASSERT(own.mayClaim({60000}, {60000}));
    }

    /** Guards against ONE: two holders that act within one lease. */
    void takesOverOnlyAfterTheLease()
    {
        promotion_lease claim("b");
        claim.observe({"a", 7}, {0});
        claim.observe({"a", 8}, {10000});
        CPPUNIT_ASSERT(!claim.mayClaim({12000}, {9000}));
        CPPUNIT_ASSERT(claim.mayClaim({15000}, {9000}));
    }

    /** Guards against a gap of a whole lease after the holder has started again and died with the primary. */
    void doesNotWaitForAHolderThatOnlyHoldsAToken()
    {
        promotion_lease claim("b");
        claim.observe({"a", 7, promotion_lease_purpose::Standby}, {9900});
        CPPUNIT_ASSERT(!claim.mayClaim({10600}, {10000}));
        CPPUNIT_ASSERT(claim.mayClaim({10800}, {10000}));
    }

    /** Guards against asking again and again with a fencing token that the platform refuses. */
    void refusedTokenIsNeverUsedAgain()
    {
        promotion_lease claim("b");
        claim.claimAccepted(9, promotion_lease_purpose::Order, {0});
        CPPUNIT_ASSERT(claim.fencingToken() == 9U);
        claim.tokenRejected(9);
        CPPUNIT_ASSERT(!claim.fencingToken());
        claim.claimAccepted(12, promotion_lease_purpose::Order, {100});
        CPPUNIT_ASSERT(claim.fencingToken() == 12U);
    }

    /** Guards against acting under a claim that a process of the same name made before its restart. */
    void tokenOfAnEarlierProcessIsNotInHand()
    {
        promotion_lease claim("b");
        claim.observe({"b", 5}, {0});
        CPPUNIT_ASSERT(claim.isHeldHere());
        CPPUNIT_ASSERT(!claim.fencingToken());
    }

    /** Guards against an order by a machine that was suspended after its claim. */
    void claimGoesStaleWhileSuspended()
    {
        promotion_lease claim("b");
        claim.claimAccepted(9, promotion_lease_purpose::Order, {0});
        CPPUNIT_ASSERT(!claim.isClaimStale({900}));
        CPPUNIT_ASSERT(claim.isClaimStale({4000}));
    }

    /** Guards against LOST: an order of an instance that has died is carried out late. */
    void orderOfAnotherProcessIsOpenUntilItIsSettled()
    {
        promotion_lease claim("b");
        claim.observe({"a", 7, promotion_lease_purpose::Order}, {0});
        CPPUNIT_ASSERT(claim.isForeignOrderPending());
        claim.observe({"a", 8, promotion_lease_purpose::Settled}, {700});
        CPPUNIT_ASSERT(!claim.isForeignOrderPending());
        promotion_lease restarted("a");
        restarted.observe({"a", 7, promotion_lease_purpose::Order}, {0});
        CPPUNIT_ASSERT(restarted.isForeignOrderPending());
        restarted.claimAccepted(9, promotion_lease_purpose::Order, {100});
        CPPUNIT_ASSERT(!restarted.isForeignOrderPending());
    }

    /** Guards against ONE, and against a lease that grows with the note that nothing is open. */
    void settledRecordKeepsTheLease()
    {
        promotion_lease claim("b");
        claim.observe({"a", 7, promotion_lease_purpose::Order}, {0});
        claim.observe({"a", 8, promotion_lease_purpose::Settled}, {3000});
        CPPUNIT_ASSERT(!claim.mayClaim({4900}, {0}));
        CPPUNIT_ASSERT(claim.mayClaim({5000}, {0}));
        promotion_lease uninformed("c");
        uninformed.observe({"a", 8, promotion_lease_purpose::Settled}, {3000});
        CPPUNIT_ASSERT(!uninformed.mayClaim({7900}, {0}));
    }

    /** Guards against ONE: a holder that starts again hides by its claim in advance that it has ordered just now. */
    void restartedHolderKeepsTheLease()
    {
        promotion_lease restarted("a");
        CPPUNIT_ASSERT(restarted.purposeForAdvanceClaim() == promotion_lease_purpose::Standby);
        restarted.observe({"a", 8, promotion_lease_purpose::Settled}, {0});
        CPPUNIT_ASSERT(restarted.purposeForAdvanceClaim() == promotion_lease_purpose::Settled);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(duty_claim_test);

class target_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_directory_test);
    CPPUNIT_TEST(drainingReplicaGetsNothingNew);
    CPPUNIT_TEST(drainingPrimaryServesUntilShortlyBeforeItsTime);
    CPPUNIT_TEST(drainingPrimaryServesShortlyAfterLateNews);
    CPPUNIT_TEST(lapseDoesNotProlongTheTimeOfADrainingPrimary);
    CPPUNIT_TEST(lapsedEntryServesForAMoment);
    CPPUNIT_TEST(lapsedTargetIsRememberedForPromotions);
    CPPUNIT_TEST(anotherLifeIsNotDraining);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against DRAIN: new statements at a target that is leaving. */
    void drainingReplicaGetsNothingNew()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), at(0));
        CPPUNIT_ASSERT(!directory.acceptsNewWork(known(directory), false, {1}));
    }

    /** Guards against a gap before the lead has moved, and against DRAIN after it should have. */
    void drainingPrimaryServesUntilShortlyBeforeItsTime()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), at(0));
        CPPUNIT_ASSERT(directory.acceptsNewWork(known(directory), true, {5000}));
        CPPUNIT_ASSERT(!directory.acceptsNewWork(known(directory), true, {6000}));
    }

    /** Guards against DRAIN: an instance that starts, or was cut off, takes an old report for a new one. */
    void drainingPrimaryServesShortlyAfterLateNews()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), {{20000}, never});
        CPPUNIT_ASSERT(directory.acceptsNewWork(known(directory), true, {22000}));
        CPPUNIT_ASSERT(!directory.acceptsNewWork(known(directory), true, {22600}));
        target_directory cutOff(7000_ms);
        cutOff.put(entry(true), {{20000}, {16000}});
        CPPUNIT_ASSERT(!cutOff.acceptsNewWork(known(cutOff), true, {22600}));
    }

    /** Guards against DRAIN: an entry that lapses and comes back is no new report. */
    void lapseDoesNotProlongTheTimeOfADrainingPrimary()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), at(0));
        directory.markRemoved(target_id("t"), at(4000));
        directory.put(entry(true), at(5000));
        CPPUNIT_ASSERT(!directory.acceptsNewWork(known(directory), true, {6000}));
    }

    /** Guards against giving up all targets when the store returns without their entries. */
    void lapsedEntryServesForAMoment()
    {
        target_directory directory(7000_ms);
        directory.put(entry(false), at(0));
        directory.replaceAll({}, at(1000));
        CPPUNIT_ASSERT(directory.acceptsNewWork(known(directory), false, {6000}));
        CPPUNIT_ASSERT(!directory.acceptsNewWork(known(directory), false, {6600}));
    }

    /** Guards against LOST: a target that is cut off with its primary loses its entry and still acknowledges. */
    void lapsedTargetIsRememberedForPromotions()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), at(0));
        directory.markRemoved(target_id("t"), at(1000));
        CPPUNIT_ASSERT(directory.eraseExpired({20000}).empty());
        CPPUNIT_ASSERT(directory.find(target_id("t")) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.eraseExpired({40000}).size());
    }

    /** Guards against keeping a target that has started again under its id out of work. */
    void anotherLifeIsNotDraining()
    {
        target_directory directory(7000_ms);
        directory.put(entry(true), at(0));
        auto reborn = entry(false);
        reborn.incarnation = 2;
        directory.put(reborn, at(100));
        CPPUNIT_ASSERT(directory.acceptsNewWork(known(directory), false, {200}));
    }

private:
    /** News without a gap before it. */
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

class replica_lag_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_lag_test);
    CPPUNIT_TEST(pausesGrowWhileItStaysBehind);
    CPPUNIT_TEST(oneBurstOfRefusalsCountsOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against reads that are sent for seconds to a replica that can only refuse them. */
    void pausesGrowWhileItStaysBehind()
    {
        replica_lag lag;
        lag.refused({0}, {10});
        CPPUNIT_ASSERT(lag.isLagging({159}));
        CPPUNIT_ASSERT(!lag.isLagging({160}));
        lag.refused({160}, {165});
        CPPUNIT_ASSERT(lag.isLagging({464}));
        for (std::int64_t at = 1000; at < 20000; at += 2000) {
            lag.refused({at}, {at});
        }
        CPPUNIT_ASSERT(lag.isLagging({20199}));
        CPPUNIT_ASSERT(!lag.isLagging({20201}));
        lag.held();
        CPPUNIT_ASSERT(!lag.isLagging({20100}));
        lag.refused({21000}, {21000});
        CPPUNIT_ASSERT(!lag.isLagging({21150}));
    }

    /** Guards against giving up a replica that was behind for a moment. */
    void oneBurstOfRefusalsCountsOnce()
    {
        replica_lag lag;
        for (std::int64_t at = 0; at < 10; ++at) {
            lag.refused({at}, {10 + at});
        }
        CPPUNIT_ASSERT(!lag.isLagging({160}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_lag_test);

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(prefersAReplicaNearby);
    CPPUNIT_TEST(avoidsASlowOrFullTarget);
    CPPUNIT_TEST(opensAConnectionOnlyIfItSavesTime);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against start-ups that keep the slots of a target from the statements of all who come back at once. */
    void opensAConnectionOnlyIfItSavesTime()
    {
        CPPUNIT_ASSERT(isConnectionWorthOpening(1, 0, 15, 27));
        CPPUNIT_ASSERT(!isConnectionWorthOpening(1, 1, 15, 27));
        CPPUNIT_ASSERT(isConnectionWorthOpening(2, 1, 15, 27));
        CPPUNIT_ASSERT(!isConnectionWorthOpening(3, 2, 15, 27));
        CPPUNIT_ASSERT(!isConnectionWorthOpening(4, 1, 40, 400));
    }

    /** Guards against reads that take slots of the primary or cross data centres without need. */
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

    /** Guards against queueing behind long work while another target is free. */
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
        result.isKnownToCover = true;
        result.hasIdleConnection = true;
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

class admission_window_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_window_test);
    CPPUNIT_TEST(narrowsOnceForWhatWasSentTogether);
    CPPUNIT_TEST(alwaysLeavesOnePermit);
    CPPUNIT_TEST(opensAgainWhileTheTargetServes);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against giving up a target for one full moment: the refusals of one batch count once. */
    void narrowsOnceForWhatWasSentTogether()
    {
        admission_window window(8);
        window.refused({1000}, {1003});
        window.refused({1001}, {1004});
        window.refused({1002}, {1004});
        CPPUNIT_ASSERT_EQUAL(4, window.permits());
        window.refused({1005}, {1008});
        CPPUNIT_ASSERT_EQUAL(2, window.permits());
        CPPUNIT_ASSERT(window.heldUntil() > (time_point{1008}));
    }

    /** Guards against starving a service whose target sheds for long. */
    void alwaysLeavesOnePermit()
    {
        admission_window window(4);
        for (int i = 0; i < 100; ++i) {
            window.refused({1000 + i * 10}, {1005 + i * 10});
            CPPUNIT_ASSERT(window.permits() >= 1);
        }
        CPPUNIT_ASSERT((window.heldUntil() - time_point{1995}).ms <= 100);
    }

    /** Guards against a window that stays narrow, or grows over what the target offers. */
    void opensAgainWhileTheTargetServes()
    {
        admission_window window(4);
        window.refused({1000}, {1005});
        window.refused({1010}, {1015});
        CPPUNIT_ASSERT_EQUAL(1, window.permits());
        for (int i = 0; i < 100; ++i) {
            window.served();
        }
        CPPUNIT_ASSERT_EQUAL(4, window.permits());
        window.setMost(2);
        CPPUNIT_ASSERT_EQUAL(2, window.permits());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_window_test);

class failure_share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_share_test);
    CPPUNIT_TEST(failingTargetIsPassedOverAndTriedAgainLater);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against reading on at a target that fails two reads in five while its health check is good. */
    void failingTargetIsPassedOverAndTriedAgainLater()
    {
        failure_share failing;
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
            candidates[i].isKnownToCover = true;
        }
        candidates[1].inFlight = 3;
        candidates[0].failureShare = failing.at({1200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *placeRead(candidates));
        candidates[0].failureShare = failing.at({15000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *placeRead(candidates));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_share_test);

class isolation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(isolation_test);
    CPPUNIT_TEST(onlySilenceOfAllOthersCounts);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against turning unready for the loss of one other data centre, or for want of work. */
    void onlySilenceOfAllOthersCounts()
    {
        const data_centre_id own("here");
        const time_point now{5000};
        std::vector<reach_sighting> targets{
            {own, false, {4990}}, {data_centre_id("b"), true, {4600}}, {data_centre_id("c"), false, {4600}}};
        CPPUNIT_ASSERT(!areOtherDataCentresSilent(targets, own, now));
        targets[2].isWithoutAnswer = true;
        CPPUNIT_ASSERT(areOtherDataCentresSilent(targets, own, now));
        targets.push_back({data_centre_id("c"), false, {4900}});
        CPPUNIT_ASSERT(!areOtherDataCentresSilent(targets, own, now));
        CPPUNIT_ASSERT(!areOtherDataCentresSilent({{own, true, never}}, own, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(isolation_test);

class wait_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wait_queue_test);
    CPPUNIT_TEST(placesByPriorityThenByTime);
    CPPUNIT_TEST(refusesOnlyWhatIsDue);
    CPPUNIT_TEST(workMayChangeTheQueueWhileItIsPlaced);
    CPPUNIT_TEST(countsTheWorkForThePrimaryThatGoesFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against urgent work that waits behind work that may wait. */
    void placesByPriorityThenByTime()
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

    /** Guards against refusing work that can still be served, and against keeping what cannot. */
    void refusesOnlyWhatIsDue()
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

    /** Guards against iterating over entries that a placement has removed. */
    void workMayChangeTheQueueWhileItIsPlaced()
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

    /** Guards against refusing urgent work for the length of a queue that it passes. */
    void countsTheWorkForThePrimaryThatGoesFirst()
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
