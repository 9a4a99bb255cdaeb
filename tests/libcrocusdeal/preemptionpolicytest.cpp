#include "preemptionpolicy.h"
#include "permitholder.h"
#include "permitledger.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

preemption_traits plainRead()
{
    preemption_traits traits;
    traits.isRead = true;
    return traits;
}

/** One long statement too many, and the owner has said that there is no permit for it. */
permit_pressure withoutPermit()
{
    return {1, 0, true};
}

/** A policy whose budget is full. */
preemption_policy busyPolicy()
{
    preemption_policy policy;
    for (std::int64_t i = 0; i < 1000; ++i) {
        policy.onRequest({i});
    }
    return policy;
}

constexpr time_point now{1000};

}

class preemption_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(preemption_policy_test);
    CPPUNIT_TEST(preemptsPlainReadsOnly);
    CPPUNIT_TEST(preemptsOnce);
    CPPUNIT_TEST(overrunsWellAboveTheExpectedTime);
    CPPUNIT_TEST(leavesStatementsWithAPermit);
    CPPUNIT_TEST(waitsForTheAnswerOfTheOwner);
    CPPUNIT_TEST(boundsPreemptionsOnASlowTarget);
    CPPUNIT_TEST(savesUpNoBurstWhileIdle);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against cancelling a write, or a read that cannot be repeated without the caller noticing. */
    void preemptsPlainReadsOnly()
    {
        CPPUNIT_ASSERT(busyPolicy().tryPreempt(plainRead(), withoutPermit(), 0, now));
        for (const auto forbid : {&preemption_traits::inTransaction,
                                  &preemption_traits::isPinned,
                                  &preemption_traits::hasRequestKey,
                                  &preemption_traits::answerStarted}) {
            auto traits = plainRead();
            traits.*forbid = true;
            CPPUNIT_ASSERT(!isPreemptible(traits));
            CPPUNIT_ASSERT(!busyPolicy().tryPreempt(traits, withoutPermit(), 0, now));
        }
        CPPUNIT_ASSERT(!isPreemptible({}));
        CPPUNIT_ASSERT(!busyPolicy().tryPreempt({}, withoutPermit(), 0, now));
    }

    /** Guards against a statement that never ends because each run is cancelled. */
    void preemptsOnce()
    {
        auto traits = plainRead();
        traits.wasPreempted = true;
        CPPUNIT_ASSERT(!busyPolicy().tryPreempt(traits, withoutPermit(), 0, now));
    }

    /** Guards against cancelling statements that only vary as their shape usually does. */
    void overrunsWellAboveTheExpectedTime()
    {
        const preemption_policy policy;
        CPPUNIT_ASSERT(!policy.isOverrunning(50_ms, 1_ms) && policy.isOverrunning(51_ms, 1_ms));
        CPPUNIT_ASSERT(!policy.isOverrunning(120_ms, 60_ms) && policy.isOverrunning(121_ms, 60_ms));
    }

    /** Guards against cancelling work although nobody is short of a slot: a permit covers it, and one is kept free. */
    void leavesStatementsWithAPermit()
    {
        auto policy = busyPolicy();
        CPPUNIT_ASSERT(!policy.tryPreempt(plainRead(), {1, 1, false}, 0, now));
        CPPUNIT_ASSERT(!policy.tryPreempt(plainRead(), {1, 1, true}, 0, now));
        // Of two with one permit the older one goes on.
        CPPUNIT_ASSERT(!policy.tryPreempt(plainRead(), {2, 1, true}, 0, now));
        CPPUNIT_ASSERT(policy.tryPreempt(plainRead(), {2, 1, true}, 1, now));
    }

    /** Guards against cancelling a read for which no permit will come because the owner cannot be reached. */
    void waitsForTheAnswerOfTheOwner()
    {
        CPPUNIT_ASSERT(!busyPolicy().tryPreempt(plainRead(), {1, 0, false}, 0, now));

        permit_ledger_settings settings;
        settings.slots = 2;
        settings.settling = 0_ms;
        permit_ledger ledger(target_id("t"), instance_id("a"), 1, {}, settings, {0});
        permit_holder first(target_id("t"), instance_id("a"), 1);
        permit_holder second(target_id("t"), instance_id("b"), 1);
        const auto exchange = [&](permit_holder &holder, time_point at) {
            holder.setOwner(instance_id("a"));
            holder.setWanted(1);
            // The first answer only names the ledger.
            for (int i = 0; i < 2; ++i) {
                const auto request = holder.poll(at);
                CPPUNIT_ASSERT(request && !holder.isDenied(at));
                holder.onGrant(*ledger.onRequest(*request, at));
            }
        };
        CPPUNIT_ASSERT(!second.isDenied({1}));
        exchange(first, {1});
        exchange(second, {2});
        CPPUNIT_ASSERT(first.places({3}) == 1 && !first.isDenied({3}));
        CPPUNIT_ASSERT(second.places({3}) == 0 && second.isDenied({3}));
        CPPUNIT_ASSERT(!second.isDenied({60'000})); // The answer is out of date.
        // Asking again must not hide the answer: a waiting holder does so all the time.
        CPPUNIT_ASSERT(second.poll({30}) && second.isDenied({30}));
        second.setWanted(0);
        second.setWanted(1); // A new demand, to which the owner has not answered.
        CPPUNIT_ASSERT(!second.isDenied({30}));
    }

    /** Guards against a target that is slow as a whole and loses its capacity to cancelled work. */
    void boundsPreemptionsOnASlowTarget()
    {
        preemption_policy policy;
        int preempted = 0;
        constexpr int requests = 10'000;
        // 100 requests a second, each of which overruns.
        for (std::int64_t i = 0; i < requests; ++i) {
            policy.onRequest({i * 10});
            preempted += policy.tryPreempt(plainRead(), withoutPermit(), 0, {i * 10}) ? 1 : 0;
        }
        CPPUNIT_ASSERT(preempted > 0);
        CPPUNIT_ASSERT(preempted <= requests / 100);
    }

    /** Guards against many preemptions at once after a time without any, when a target becomes slow. */
    void savesUpNoBurstWhileIdle()
    {
        auto policy = busyPolicy();
        for (std::int64_t i = 0; i < 100'000; ++i) {
            policy.onRequest({now.ms + i});
        }
        int preempted = 0;
        for (int i = 0; i < 100; ++i) {
            preempted += policy.tryPreempt(plainRead(), withoutPermit(), 0, {now.ms + 100'000}) ? 1 : 0;
        }
        CPPUNIT_ASSERT(preempted <= 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(preemption_policy_test);
