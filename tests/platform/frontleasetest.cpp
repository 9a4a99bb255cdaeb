#include "leasereader.h"
#include "relayworld.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

namespace
{

constexpr int manyConnections = 12; // Each front holds connections of its own.
constexpr int fewConnections = 5; // One front serves for the others.
constexpr duration missingEntryTime{
    6000}; // Until a target whose entry has gone proves nothing, with the way to hear it.

/** A caller of the front that has written once, while no order is open and the store answers. */
std::unique_ptr<line_client> beginWriting(relay_world &fleet, const std::string &front)
{
    auto client = fleet.connect(front, "fresh");
    // The claim in advance comes after one to nine seconds.
    CPPUNIT_ASSERT(fleet.world.runUntil([&] { return !fleet.world.store.leases.empty(); }, 10000_ms));
    fleet.world.runFor(300_ms);
    assertContains("COMPLETE sig", fleet.ask(*client, "WRITE 1 x"));
    return client;
}

/** Ends the connections to both replicas, which are opened anew. */
void renewConnections(relay_world &fleet)
{
    startAgain(fleet.world.group.at("b"));
    startAgain(fleet.world.group.at("c"));
    fleet.world.runFor(800_ms);
}

}

class front_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_lease_test);
    CPPUNIT_TEST(frontThatTheStoreTurnsAwayProvesCommitsByAnother);
    CPPUNIT_TEST(servingFrontThatTheStoreTurnsAwayProvesCommitsByAnother);
    CPPUNIT_TEST(silentStoreHoldsNoCommitsBack);
    CPPUNIT_TEST(nothingIsProvedWhileNobodyReachesTheStore);
    CPPUNIT_TEST(answerThatShowsAnOpenOrderProvesNothing);
    CPPUNIT_TEST(commitThatATargetNamedToAnotherInstanceLacksIsNotHandedOut);
    CPPUNIT_TEST(entryThatGoesWhileTheStoreIsAwayProvesNothingMore);
    CPPUNIT_TEST(targetsStayInForceWhileNobodyReachesTheStore);
    CPPUNIT_TEST(questionsThatWaitShareOneLaterReading);
    CPPUNIT_TEST(silentStoreIsToldAsAFailure);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against writes in doubt, for as long as the store turns one instance away, after connections ended. */
    void frontThatTheStoreTurnsAwayProvesCommitsByAnother()
    {
        relay_world fleet(2, manyConnections);
        const auto client = beginWriting(fleet, "front-1");
        fleet.storeOf("front-1").isAway = true;
        fleet.world.runFor(1500_ms);
        renewConnections(fleet);
        assertContains("COMPLETE sig", fleet.ask(*client, "WRITE 2 y"));
    }

    /** Guards against the same where the other instances hand their work to the one that is turned away. */
    void servingFrontThatTheStoreTurnsAwayProvesCommitsByAnother()
    {
        relay_world fleet(3, fewConnections);
        const auto client = beginWriting(fleet, fleet.relays().front());
        fleet.storeOf(fleet.serving()).isAway = true;
        fleet.world.runFor(1500_ms);
        renewConnections(fleet);
        assertContains("COMPLETE sig", fleet.ask(*client, "WRITE 2 y"));
    }

    /** Guards against writes in doubt until a silent store is known to be away. */
    void silentStoreHoldsNoCommitsBack()
    {
        relay_world fleet(2, manyConnections);
        const auto client = beginWriting(fleet, "front-1");
        fleet.storeOf("front-1").isSilent = true;
        renewConnections(fleet);
        assertContains("COMPLETE sig", fleet.ask(*client, "WRITE 2 y"));
    }

    /** Guards against proofs by instances that know no more than the one that asks. */
    void nothingIsProvedWhileNobodyReachesTheStore()
    {
        relay_world fleet(2, manyConnections);
        const auto client = beginWriting(fleet, "front-1");
        for (const auto &[name, view] : fleet.stores) {
            view->isAway = true;
        }
        fleet.world.runFor(1500_ms);
        renewConnections(fleet);
        assertContains("ERROR INDOUBT", fleet.ask(*client, "WRITE 2 y"));
        fleet.storeOf("front-2").isAway = false;
        fleet.world.runFor(2500_ms);
        assertContains("COMPLETE sig", fleet.ask(*client, "WRITE 3 z"));
    }

    /** Guards against LOST: an order of an instance that reaches the store may overlook what has started again. */
    void answerThatShowsAnOpenOrderProvesNothing()
    {
        relay_world fleet(2, manyConnections);
        const auto client = beginWriting(fleet, "front-1");
        fleet.storeOf("front-1").isAway = true;
        fleet.world.runFor(1500_ms);
        fleet.world.store.claimForAnother({"other", promotion_lease_purpose::Promotion});
        fleet.world.group.at("b").pausedAt = 5;
        renewConnections(fleet);
        assertContains("ERROR INDOUBT", fleet.ask(*client, "WRITE 2 y"));
    }

    /** Guards against LOST: only another instance hears of the open order, whose target does not receive. */
    void commitThatATargetNamedToAnotherInstanceLacksIsNotHandedOut()
    {
        relay_world fleet(2, manyConnections);
        fleet.world.addDatabase("d");
        const auto client = beginWriting(fleet, "front-1");
        fleet.storeOf("front-1").isAway = true;
        fleet.world.runFor(1500_ms);
        fleet.world.store.claimForAnother(
            {"other", promotion_lease_purpose::Promotion, 0, std::vector<target_id>{target_id("c")}});
        fleet.world.group.at("c").faults.isDeaf = true;
        startAgain(fleet.world.group.at("d")); // A new connection makes the instance ask.
        fleet.world.runFor(800_ms);
        assertContains("ERROR INDOUBT", fleet.ask(*client, "WRITE 2 y"));
        fleet.world.group.at("c").faults.isDeaf = false;
        fleet.world.group.at("c").received = fleet.world.group.at("a").received;
        assertContains("COMPLETE sig", fleet.ask(*client, "WRITE 3 z"));
    }

    /** Guards against LOST: only another instance hears that the entry of the one replica that receives has gone. */
    void entryThatGoesWhileTheStoreIsAwayProvesNothingMore()
    {
        relay_world fleet(2, manyConnections);
        const auto client = beginWriting(fleet, "front-1");
        fleet.storeOf("front-1").isAway = true;
        fleet.world.runFor(1500_ms);
        fleet.world.store.removeTarget("b");
        fleet.world.runFor(missingEntryTime);
        fleet.world.group.at("c").faults.isDeaf = true;
        assertContains("ERROR INDOUBT", fleet.ask(*client, "WRITE 2 y"));
        fleet.world.publishEntry("b", false);
        fleet.world.runFor(2000_ms);
        assertContains("COMPLETE sig", fleet.ask(*client, "WRITE 3 z"));
    }

    /** Guards against writes in doubt for as long as the store is away from all. */
    void targetsStayInForceWhileNobodyReachesTheStore()
    {
        relay_world fleet(2, manyConnections);
        const auto client = beginWriting(fleet, "front-1");
        for (const auto &[name, view] : fleet.stores) {
            view->isAway = true;
        }
        fleet.world.runFor(1500_ms);
        fleet.world.store.removeTarget("b");
        fleet.world.runFor(missingEntryTime);
        fleet.world.group.at("c").faults.isDeaf = true;
        assertContains("COMPLETE sig", fleet.ask(*client, "WRITE 2 y"));
    }

    /** Guards against LOST by an answer from before the question, and against a reading for each question. */
    void questionsThatWaitShareOneLaterReading()
    {
        front_world world;
        const auto reader = std::make_shared<lease_reader>(world.context);
        std::vector<lease_reader::update_handler> readings;
        reader->isStoreAway = [] { return false; };
        reader->readStore = [&](lease_reader::update_handler done) { readings.push_back(std::move(done)); };
        std::vector<std::uint64_t> revisions;
        const auto keep = [&](const promotion_lease_list_update &update) { revisions.push_back(update.revision); };
        reader->read(keep);
        reader->read(keep);
        reader->read(keep);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readings.size());
        promotion_lease_list_update update;
        update.revision = 1;
        readings.front()(update);
        CPPUNIT_ASSERT(revisions == std::vector<std::uint64_t>{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readings.size());
        update.revision = 2;
        readings.back()(update);
        const std::vector<std::uint64_t> expected{1, 2, 2};
        CPPUNIT_ASSERT(revisions == expected);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, readings.size());
    }

    /** Guards against an instance that keeps another one waiting which could ask a third one. */
    void silentStoreIsToldAsAFailure()
    {
        front_world world;
        const auto reader = std::make_shared<lease_reader>(world.context);
        bool isAway = false;
        reader->isStoreAway = [&] { return isAway; };
        reader->readStore = [](const lease_reader::update_handler &) {};
        int failures = 0;
        const auto count = [&](const promotion_lease_list_update &update) {
            failures += update.failure == store_failure::None ? 0 : 1;
        };
        reader->read(count);
        CPPUNIT_ASSERT(world.runUntil([&] { return failures == 1; }, 400_ms));
        isAway = true;
        reader->read(count);
        CPPUNIT_ASSERT_EQUAL(2, failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_lease_test);
