#include "budgetworld.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

namespace
{

/** Number of random histories; CROCUSDEAL_HISTORIES sets another number for longer manual runs. */
int historyCount()
{
    const char *count = std::getenv("CROCUSDEAL_HISTORIES");
    return count == nullptr ? 200 : std::atoi(count);
}

/** The first of them; CROCUSDEAL_FIRST_SEED lets several processes share a long run. */
int firstSeed()
{
    const char *first = std::getenv("CROCUSDEAL_FIRST_SEED");
    return first == nullptr ? 0 : std::atoi(first);
}

std::string describe(const char *what, double value)
{
    return std::string(what) + " " + std::to_string(value);
}

/** Offers what a token bucket of the limit lets through, most of it in one data centre, and tells the refused share. */
double refusedShare(rate_limit limit, double demand, int instances, int dataCentres, std::uint32_t seed)
{
    budget_world_settings settings{instances, dataCentres, limit, {5000_ms, 0.1, 20}, false};
    budget_world world(seed, settings);
    const duration from{15000};
    const duration until{75000};
    double tokens = limit.burst;
    for (auto time = from; time < until; time = time + 1_ms) {
        tokens = std::min(limit.burst, tokens + limit.perSecond / 1000);
        const bool isOffered = world.below(1000000) < static_cast<int>(limit.perSecond * demand * 1000);
        if (!isOffered || tokens < 1) {
            continue;
        }
        tokens -= 1;
        const int anywhere = world.below(instances);
        const bool isSkewed = world.below(10) < 4;
        const int instance = isSkewed ? anywhere - anywhere % dataCentres : anywhere;
        world.at(time, [&world, instance] { world.operate(instance); });
    }
    world.run(until + 1000_ms);
    return static_cast<double>(world.refused()) / std::max(1, world.refused() + world.admitted());
}

}

class budget_world_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(budget_world_test);
    CPPUNIT_TEST(limitHoldsInAllHistories);
    CPPUNIT_TEST(demandUnderTheLimitIsServed);
    CPPUNIT_TEST(crestsAtTheLimitAreServed);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Guards against more operations than the bound allows, in any window: cuts, freezes, kills, restarts, missed
     * members, changes of the table, late and lost messages, while callers ask for far more than the limit.
     */
    void limitHoldsInAllHistories()
    {
        int admitted = 0;
        int tables = 0;
        double closest = -1e9;
        for (int seed = firstSeed(); seed < firstSeed() + historyCount(); ++seed) {
            std::mt19937 random(static_cast<std::uint32_t>(seed));
            const auto pick = [&](int low, int high) { return low + static_cast<int>(random() % (high - low + 1)); };
            budget_world_settings settings;
            settings.instances = pick(2, 6);
            settings.dataCentres = pick(1, 3);
            settings.limit.perSecond = pick(2, 12);
            settings.limit.burst = settings.limit.perSecond * pick(1, 2);
            settings.bound.slack = pick(0, 1) * 10;
            budget_world world(static_cast<std::uint32_t>(seed), settings);
            world.trouble(100000_ms);
            for (int i = 0; i < 8; ++i) {
                const duration from{pick(5000, 125000)};
                if (pick(0, 2) > 0) {
                    world.hoard(from, duration{pick(0, 1) == 1 ? 480 : 3000});
                    world.flood(from, from + settings.bound.window, 60_ms);
                } else {
                    world.flood(from, from + duration{pick(200, 6000)}, duration{pick(20, 150)});
                }
            }
            world.run(132000_ms);
            const double excess = world.worstExcess();
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + describe(" excess", excess), excess <= 0);
            closest = std::max(closest, excess);
            admitted += world.admitted();
            tables += world.tables();
        }
        // Guards against a vacuous pass, in which hardly anything is admitted or no table is ever changed.
        CPPUNIT_ASSERT(admitted > historyCount() * 50);
        CPPUNIT_ASSERT(tables > historyCount() * 3 / 2);
        CPPUNIT_ASSERT_MESSAGE(describe("closest", closest), closest > -15);
    }

    /** Load: usual demand of small and large workspaces on large fleets. Guards against refusals below the limit. */
    void demandUnderTheLimitIsServed()
    {
        constexpr double usual = 1 / 1.6;
        for (const double perSecond : {4.0, 20.0, 65.0}) {
            for (const int instances : {5, 36}) {
                const double share = refusedShare({perSecond, perSecond}, usual, instances, 3, 7);
                CPPUNIT_ASSERT_MESSAGE(describe("rate", perSecond) + describe(" refused", share), share < 0.01);
            }
        }
    }

    /** Load: all that the limit allows, for a minute. Guards against budget that is lost on the way. */
    void crestsAtTheLimitAreServed()
    {
        for (const double perSecond : {4.0, 20.0, 65.0}) {
            const double share = refusedShare({perSecond, perSecond}, 1.2, 36, 3, 11);
            CPPUNIT_ASSERT_MESSAGE(describe("rate", perSecond) + describe(" refused", share), share < 0.01);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(budget_world_test);
