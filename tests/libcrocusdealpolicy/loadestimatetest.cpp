#include "loadestimate.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>
#include <vector>

using namespace crocusdeal;

namespace
{

const target_id target("t");
const instance_id other("i1");
constexpr std::uint64_t life = 7;

reported_load hint(double answerMs, duration age)
{
    reported_load load;
    load.target = target;
    load.incarnation = life;
    load.answerMs = answerMs;
    load.age = age;
    load.inFlight = 2;
    return load;
}

}

class load_estimate_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_estimate_test);
    CPPUNIT_TEST(ownKnowledgeCountsAlone);
    CPPUNIT_TEST(freshHintsCountMoreThanOldKnowledge);
    CPPUNIT_TEST(oldHintsEnd);
    CPPUNIT_TEST(hintsOfAnEarlierLifeAreDropped);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(nonsenseIsIgnored);
    CPPUNIT_TEST(mostTellingComeFirst);
    CPPUNIT_TEST(slowTargetIsTriedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a choice that needs hints, where no instance has links to others. */
    void ownKnowledgeCountsAlone()
    {
        const load_estimates estimates;
        const auto estimate = estimates.estimate(target, life, {12, {1000}}, {1600});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12.0, estimate.answerMs, 0.001);
        CPPUNIT_ASSERT(estimate.age == duration{600});
        CPPUNIT_ASSERT_EQUAL(0, estimate.reporters);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, estimates.estimate(target, life, {10, never}, {1600}).answerMs, 0.001);
    }

    /** Guards against an old figure of the own that hides what others have seen since, and the other way round. */
    void freshHintsCountMoreThanOldKnowledge()
    {
        load_estimates estimates;
        auto load = hint(100, {50});
        load.isFull = true;
        estimates.record(other, load, {10000});
        const auto old = estimates.estimate(target, life, {10, {7000}}, {10000});
        CPPUNIT_ASSERT(old.answerMs > 70 && old.age == duration{50});
        CPPUNIT_ASSERT(old.othersInFlight == 2 && old.fullness > 0.9);
        const auto fresh = estimates.estimate(target, life, {10, {10000}}, {10000});
        CPPUNIT_ASSERT(fresh.answerMs < 50);
        const auto later = estimates.estimate(target, life, {10, {11500}}, {11500});
        CPPUNIT_ASSERT(later.answerMs < 20 && later.fullness < 0.2);
    }

    /** Guards against a target that is avoided for ever since an instance which has gone called it slow. */
    void oldHintsEnd()
    {
        load_estimates estimates;
        estimates.record(other, hint(100, {0}), {10000});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, estimates.estimate(target, life, {10, {1}}, {14001}).answerMs, 0.001);
        estimates.forgetOld({14001});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, estimates.size());
        estimates.record(other, hint(100, {4001}), {10000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, estimates.size());
    }

    /** Guards against the load of a target that has started again since. */
    void hintsOfAnEarlierLifeAreDropped()
    {
        load_estimates estimates;
        estimates.record(other, hint(100, {0}), {10000});
        CPPUNIT_ASSERT_EQUAL(0, estimates.estimate(target, life + 1, {10, {1}}, {10000}).reporters);
    }

    /** Guards against memory that grows with the fleet. */
    void memoryIsBounded()
    {
        load_estimates estimates;
        for (int i = 0; i < 300; ++i) {
            estimates.record(instance_id("i" + std::to_string(i)), hint(10, {0}), {10000});
        }
        CPPUNIT_ASSERT(estimates.size() <= 16);
        estimates.record(instance_id("later"), hint(10, {0}), {20000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, estimates.size());
    }

    /** Guards against a hint of a faulty instance that spoils the estimate for good. */
    void nonsenseIsIgnored()
    {
        load_estimates estimates;
        CPPUNIT_ASSERT(!estimates.record(other, hint(std::numeric_limits<double>::quiet_NaN(), {0}), {10000}));
        CPPUNIT_ASSERT(!estimates.record(other, hint(-1, {0}), {10000}));
        CPPUNIT_ASSERT(!estimates.record(other, hint(1, {-1}), {10000}));
        CPPUNIT_ASSERT(!estimates.record(other, hint(1, {4001}), {10000}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, estimates.size());
    }

    /** Guards against pongs that grow with the number of targets, and leave out what matters. */
    void mostTellingComeFirst()
    {
        std::vector<reported_load> loads(20, hint(10, {0}));
        loads[15].behindAt = position{1, 2};
        loads[16].isFull = true;
        loads[17].inFlight = 30;
        const auto chosen = mostTelling(loads, 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, chosen.size());
        CPPUNIT_ASSERT(chosen[0].behindAt && chosen[1].isFull && chosen[2].inFlight == 30);
        CPPUNIT_ASSERT(mostTelling({}, 8).empty());
    }

    /** Guards against a target that was slow for a moment and gets no read ever again, while it idles. */
    void slowTargetIsTriedAgain()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, fadedAnswerMs(50, {0}, 10), 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(30.0, fadedAnswerMs(50, {10000}, 10), 0.001);
        CPPUNIT_ASSERT(fadedAnswerMs(50, {60000}, 10) < 11);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, fadedAnswerMs(5, {60000}, 10), 0.001);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_estimate_test);
