#include "placement.h"
#include "swingsimulation.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <utility>
#include <vector>

using namespace crocusdeal;

namespace
{

constexpr double evenBound = 1.3; // Busiest over mean.
constexpr int draws = 1000;

}

class even_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(even_load_test);
    CPPUNIT_TEST(spreadsEvenlyWithOldKnowledge);
    CPPUNIT_TEST(callersWaitNoLongerThanWithTheLowestCost);
    CPPUNIT_TEST(staysNearbyAndOffThePrimary);
    CPPUNIT_TEST(avoidsASlowFailingOrFullTarget);
    CPPUNIT_TEST(sharesOutEquals);
    CPPUNIT_TEST(theNearestOfDistantTargetsIsKept);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against targets that are overrun in turns since all choosers follow the same old figures. */
    void spreadsEvenlyWithOldKnowledge()
    {
        for (const auto &[choosers, delayMs] : {std::pair{36, 500.0}, {77, 2000.0}}) {
            const auto spread = run(swing_way::Spread, choosers, delayMs);
            const auto lowest = run(swing_way::LowestCost, choosers, delayMs);
            CPPUNIT_ASSERT(spread.busiestOverMean <= evenBound);
            CPPUNIT_ASSERT(spread.busiestOverMean <= lowest.busiestOverMean);
        }
    }

    /** Guards against even load that callers pay for. */
    void callersWaitNoLongerThanWithTheLowestCost()
    {
        const auto spread = run(swing_way::Spread, 36, 500);
        const auto lowest = run(swing_way::LowestCost, 36, 500);
        CPPUNIT_ASSERT(spread.p99Ms <= lowest.p99Ms);
        CPPUNIT_ASSERT(spread.refusedShare <= lowest.refusedShare);
    }

    /** Guards against reads that cross data centres or take slots of the primary on a quiet day. */
    void staysNearbyAndOffThePrimary()
    {
        auto distant = candidate(1, 10);
        distant.isLocal = false;
        auto primary = candidate(2, 10);
        primary.isPrimary = true;
        auto behind = candidate(3, 10);
        behind.hasRequiredPosition = false;
        auto unconnected = candidate(4, 10);
        unconnected.hasIdleConnection = false;
        const auto counts = count({candidate(0, 10), distant, primary, behind, unconnected});
        CPPUNIT_ASSERT_EQUAL(draws, counts[0]);
    }

    /** Guards against chance that gives reads to a target which is known to serve them badly. */
    void avoidsASlowFailingOrFullTarget()
    {
        auto failing = candidate(2, 10);
        failing.failureRate = 0.2;
        auto full = candidate(3, 10);
        full.inFlight = full.permits;
        const auto counts = count({candidate(0, 10), candidate(1, 21), failing, full});
        CPPUNIT_ASSERT_EQUAL(draws, counts[0]);
        CPPUNIT_ASSERT(!spreadRead({full}, 0.5));
    }

    /** Guards against a choice by the order of the candidates, which is the same at every instance. */
    void sharesOutEquals()
    {
        const auto counts = count({candidate(0, 10), candidate(1, 10), candidate(2, 10), candidate(3, 10)});
        for (std::size_t i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(counts[i] >= draws / 4 - 1 && counts[i] <= draws / 4 + 1);
        }
    }

    /** Guards against longer ways for the sake of even load, where no target is nearby. */
    void theNearestOfDistantTargetsIsKept()
    {
        std::vector<read_candidate> candidates{candidate(0, 11.4), candidate(1, 17), candidate(2, 11.4)};
        for (auto &each : candidates) {
            each.isLocal = false;
        }
        const auto counts = count(candidates);
        CPPUNIT_ASSERT(counts[1] == 0 && counts[0] > draws / 3 && counts[2] > draws / 3);
    }

private:
    static swing_outcome run(swing_way how, int choosers, double delayMs)
    {
        swing_scenario what;
        what.how = how;
        what.choosers = choosers;
        what.delayMs = delayMs;
        return simulateSwing(what);
    }

    static read_candidate candidate(std::size_t index, double answerMs)
    {
        read_candidate result;
        result.index = index;
        result.permits = 4;
        result.slots = 4;
        result.answerMs = answerMs;
        result.isLocal = true;
        result.hasRequiredPosition = true;
        result.hasIdleConnection = true;
        return result;
    }

    /** How often each candidate is chosen. */
    static std::array<int, 5> count(const std::vector<read_candidate> &candidates)
    {
        std::array<int, 5> counts{};
        for (int i = 0; i < draws; ++i) {
            const auto chosen = spreadRead(candidates, static_cast<double>(i) / draws);
            CPPUNIT_ASSERT(chosen);
            ++counts[*chosen];
        }
        return counts;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(even_load_test);
