#include "relayworld.h"

#include "systemclock.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

namespace
{

constexpr duration revocationTime{2000};
constexpr duration validFor{1600}; // Four fifths.

void setWorkspaces(relay_world &fleet)
{
    fleet.world.configuration.workspaces.emplace();
    ++fleet.world.configuration.version;
    fleet.world.store.setConfiguration(fleet.world.configuration);
    fleet.world.runFor(500_ms);
}

bool isValid(relay_world &fleet, const std::string &front)
{
    const auto until = fleet.fronts.at(front)->accessValidUntil();
    return until && *until > systemNow();
}

}

class front_evidence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_evidence_test);
    CPPUNIT_TEST(nothingIsBoundWithoutWorkspaces);
    CPPUNIT_TEST(frontThatTheStoreTurnsAwayGoesOnByAnother);
    CPPUNIT_TEST(evidenceOfAllLapsesAndComesBack);
    CPPUNIT_TEST(silentWatchIsAskedAfresh);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against an outage of fleets whose callers have no keys while the store is away. */
    void nothingIsBoundWithoutWorkspaces()
    {
        relay_world fleet(3, 5, revocationTime);
        for (const auto &[name, view] : fleet.stores) {
            view->isAway = true;
        }
        fleet.world.runFor(validFor * 2);
        for (const auto &[name, node] : fleet.fronts) {
            CPPUNIT_ASSERT(!node->accessValidUntil());
            CPPUNIT_ASSERT(node->isReady());
        }
    }

    /** Guards against an outage of one instance that the store turns away while it serves the others. */
    void frontThatTheStoreTurnsAwayGoesOnByAnother()
    {
        relay_world fleet(3, 5, revocationTime);
        setWorkspaces(fleet);
        const auto cutOff = fleet.relays().front();
        fleet.storeOf(cutOff).isAway = true;
        for (int i = 0; i < 30; ++i) {
            fleet.world.runFor(100_ms);
            CPPUNIT_ASSERT(fleet.fronts.at(cutOff)->isReady());
            CPPUNIT_ASSERT(isValid(fleet, cutOff));
        }
    }

    /** Guards against keys that are used for longer than permitted while nobody reaches the store. */
    void evidenceOfAllLapsesAndComesBack()
    {
        relay_world fleet(3, 5, revocationTime);
        setWorkspaces(fleet);
        const auto awayAt = systemNow();
        for (const auto &[name, view] : fleet.stores) {
            view->isAway = true;
        }
        fleet.world.runFor(validFor / 2);
        for (const auto &[name, node] : fleet.fronts) {
            CPPUNIT_ASSERT(node->isReady());
            // Guards against instances that keep up their evidence among themselves.
            CPPUNIT_ASSERT(*node->accessValidUntil() <= awayAt + validFor);
        }
        fleet.world.runFor(validFor / 2 + 50_ms);
        for (const auto &[name, node] : fleet.fronts) {
            CPPUNIT_ASSERT(!node->isReady());
            CPPUNIT_ASSERT(!isValid(fleet, name));
        }
        for (const auto &[name, view] : fleet.stores) {
            view->isAway = false;
        }
        CPPUNIT_ASSERT(fleet.world.runUntil([&] {
            return std::all_of(
                fleet.fronts.begin(), fleet.fronts.end(), [](const auto &entry) { return entry.second->isReady(); });
        }));
    }

    /** Guards against a watch that hears nothing any more, and so proves nothing. */
    void silentWatchIsAskedAfresh()
    {
        relay_world fleet(1, 12, revocationTime);
        setWorkspaces(fleet);
        fleet.world.store.isWatchSilent = true;
        fleet.world.runFor(100_ms);
        fleet.world.store.isWatchSilent = false;
        CPPUNIT_ASSERT(isValid(fleet, "front-1"));
        fleet.world.runFor(validFor + 100_ms);
        CPPUNIT_ASSERT(isValid(fleet, "front-1"));
        CPPUNIT_ASSERT(fleet.fronts.at("front-1")->isReady());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_evidence_test);
