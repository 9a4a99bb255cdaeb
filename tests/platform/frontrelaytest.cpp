#include "relayworld.h"

#include "bytestream.h"
#include "relaycodec.h"
#include "systemclock.h"

#include <asio/ip/address.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

namespace
{

int timesRunAnywhere(front_world &world, const std::string &text)
{
    int count = 0;
    for (const auto &[id, database] : world.group.databases) {
        count += timesRun(*database, text);
    }
    return count;
}

}

class front_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_relay_test);
    CPPUNIT_TEST(moreInstancesThanConnectionsServeAllCallers);
    CPPUNIT_TEST(transactionsAndValuesTravelWithTheWork);
    CPPUNIT_TEST(sessionReadsItsWriteWhoeverServes);
    CPPUNIT_TEST(killedInstanceLeavesItsWritesInDoubtAndItsReadsServed);
    CPPUNIT_TEST(transactionAtAKilledInstanceIsAborted);
    CPPUNIT_TEST(commitAtAKilledInstanceIsInDoubt);
    CPPUNIT_TEST(leavingInstanceFinishesWhatItServes);
    CPPUNIT_TEST(transactionAtALeavingInstanceHasItsTime);
    CPPUNIT_TEST(workThatALeavingInstanceCannotEndIsServedByAnother);
    CPPUNIT_TEST(callerThatLeavesLeavesNothingOpen);
    CPPUNIT_TEST(silentInstanceIsLeftForReads);
    CPPUNIT_TEST(strangersAndMalformedMessagesAreCutOff);
    CPPUNIT_TEST(smallFleetServesWithoutRelays);
    CPPUNIT_TEST(pongsTellOfTheLoadOfTargets);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Load: five instances before targets that accept six connections, all callers at once. Guards against connections
     * and status requests that grow with the fleet, and against refusals for want of a connection.
     */
    void moreInstancesThanConnectionsServeAllCallers()
    {
        relay_world fleet(5, 6);
        for (auto &[id, database] : fleet.world.group.databases) {
            database->faults.connectionLimit = 6;
            database->faults.answerDelay = 5_ms;
        }
        std::vector<std::unique_ptr<line_client>> clients;
        for (int i = 1; i <= 5; ++i) {
            for (const char *database : {"fresh", "own", "stale"}) {
                clients.push_back(fleet.connect("front-" + std::to_string(i), database));
            }
        }
        for (int round = 0; round < 10; ++round) {
            for (const auto &client : clients) {
                client->send("QUERY q READ 1");
            }
            for (const auto &client : clients) {
                CPPUNIT_ASSERT(fleet.world.runUntil([&] { return client->hasAnswer(); }));
                assertContains("COMPLETE sig", client->takeAnswer());
            }
        }
        int seen = 0;
        int refused = 0;
        std::size_t controls = 0;
        for (const auto &[id, database] : fleet.world.group.databases) {
            seen += database->connectionsSeen;
            refused += database->connectionsRefused;
            controls += database->controls.size();
        }
        CPPUNIT_ASSERT_EQUAL(0, refused);
        CPPUNIT_ASSERT(seen <= 12);
        CPPUNIT_ASSERT(controls <= 6);
    }

    /** Guards against PINNED and MIXED over a relay: values, prepared names and open transactions of other sessions. */
    void transactionsAndValuesTravelWithTheWork()
    {
        relay_world fleet(3, 4);
        const auto relays = fleet.relays();
        const auto first = fleet.connect(relays[0], "fresh");
        const auto second = fleet.connect(relays[1], "fresh");
        assertContains("COMPLETE -", fleet.ask(*first, "PREPARE s1 WRITE shape1"));
        assertContains("COMPLETE -", fleet.ask(*second, "PREPARE s1 READ shape2"));
        assertContains("COMPLETE -", fleet.ask(*first, "SET mode a"));
        assertContains("COMPLETE sig-a", fleet.ask(*first, "EXECUTE s1 7 seven"));
        assertContains("DATAROW seven", fleet.ask(*second, "EXECUTE s1 7"));
        assertContains("READY T", fleet.ask(*first, "BEGIN"));
        assertContains("READY T", fleet.ask(*first, "WRITE 8 eight"));
        assertContains("COMPLETE", fleet.ask(*second, "WRITE 9 nine"));
        assertContains("READY T", fleet.ask(*first, "READ 8"));
        assertContains("READY I", fleet.ask(*first, "COMMIT"));
        assertContains("DATAROW eight", fleet.ask(*second, "READ 8"));
        assertContains("READY T", fleet.ask(*first, "BEGIN"));
        fleet.ask(*first, "WRITE 10 ten");
        assertContains("READY I", fleet.ask(*first, "ROLLBACK"));
        CPPUNIT_ASSERT(!contains(fleet.ask(*second, "READ 10"), "DATAROW ten"));
    }

    /** Guards against STALE on read_your_writes: the next statement is served by another instance, which knows less. */
    void sessionReadsItsWriteWhoeverServes()
    {
        relay_world fleet(4, 4);
        const auto client = fleet.connect(fleet.relays().front(), "own");
        for (int i = 0; i < 2; ++i) {
            fleet.world.group.at("b").faults.isDeaf = true;
            const auto data = "v" + std::to_string(i);
            assertContains("COMPLETE sig-a", fleet.ask(*client, "WRITE 5 " + data));
            fleet.kill(fleet.serving());
            for (int read = 0; read < 4; ++read) {
                assertContains("DATAROW " + data, fleet.ask(*client, "READ 5"));
            }
            if (fleet.relays().empty()) {
                break;
            }
        }
    }

    /**
     * Load: writes and reads under way when the instance that serves them is killed. Guards against TWICE, against a
     * promise about a write that ran, and against callers that wait for the whole limit.
     */
    void killedInstanceLeavesItsWritesInDoubtAndItsReadsServed()
    {
        relay_world fleet(3, 4);
        const auto relay = fleet.relays().front();
        const auto writer = fleet.connect(relay, "fresh");
        const auto reader = fleet.connect(relay, "fresh");
        assertContains("COMPLETE", fleet.ask(*writer, "WRITE 1 before"));
        for (auto &[id, database] : fleet.world.group.databases) {
            database->faults.answerDelay = 150_ms;
        }
        writer->send("QUERY w1 WRITE 2 once");
        reader->send("QUERY w2 READ 1");
        fleet.world.runFor(60_ms);
        fleet.kill(fleet.serving());
        const auto killedAt = systemNow();
        CPPUNIT_ASSERT(fleet.world.runUntil([&] { return writer->hasAnswer(); }, 300_ms));
        assertContains("ERROR INDOUBT", writer->takeAnswer());
        CPPUNIT_ASSERT(fleet.world.runUntil([&] { return reader->hasAnswer(); }, 700_ms));
        assertContains("DATAROW before", reader->takeAnswer());
        CPPUNIT_ASSERT(systemNow() - killedAt < 700_ms);
        assertContains("COMPLETE", fleet.ask(*writer, "WRITE 3 after"));
        fleet.world.runFor(300_ms);
        CPPUNIT_ASSERT_EQUAL(1, timesRunAnywhere(fleet.world, "WRITE 2 once"));
    }

    /** Guards against INDOUBT, or silence, where nothing can have been kept. */
    void transactionAtAKilledInstanceIsAborted()
    {
        relay_world fleet(3, 4);
        const auto client = fleet.connect(fleet.relays().front(), "fresh");
        fleet.ask(*client, "BEGIN");
        assertContains("READY T", fleet.ask(*client, "WRITE 4 four"));
        fleet.kill(fleet.serving());
        assertContains("ERROR ABORTED", fleet.ask(*client, "WRITE 5 five"));
        assertContains("READY I", fleet.ask(*client, "ROLLBACK"));
        CPPUNIT_ASSERT(!contains(fleet.ask(*client, "READ 4"), "four"));
    }

    /** Guards against a promise about a commit whose outcome nobody knows. */
    void commitAtAKilledInstanceIsInDoubt()
    {
        relay_world fleet(3, 4);
        const auto client = fleet.connect(fleet.relays().front(), "fresh");
        fleet.ask(*client, "BEGIN");
        assertContains("READY T", fleet.ask(*client, "WRITE 4 four"));
        for (auto &[id, database] : fleet.world.group.databases) {
            database->faults.answerDelay = 200_ms;
        }
        client->send("QUERY c1 COMMIT");
        fleet.world.runFor(50_ms);
        fleet.kill(fleet.serving());
        CPPUNIT_ASSERT(fleet.world.runUntil([&] { return client->hasAnswer(); }, 300_ms));
        assertContains("ERROR INDOUBT", client->takeAnswer());
    }

    /** Guards against LOST at a planned stop: work of callers of other instances that a stopping instance cuts. */
    void leavingInstanceFinishesWhatItServes()
    {
        relay_world fleet(3, 4);
        const auto client = fleet.connect(fleet.relays().front(), "fresh");
        const auto other = fleet.connect(fleet.relays().front(), "fresh");
        const auto open = fleet.connect(fleet.relays().front(), "fresh");
        assertContains("COMPLETE", fleet.ask(*client, "WRITE 1 x"));
        fleet.ask(*open, "BEGIN");
        assertContains("READY T", fleet.ask(*open, "WRITE 6 six"));
        for (auto &[id, database] : fleet.world.group.databases) {
            database->faults.answerDelay = 250_ms;
        }
        client->send("QUERY w1 WRITE 2 kept");
        fleet.world.runFor(50_ms);
        bool isStopped = false;
        const auto leaving = fleet.serving();
        fleet.fronts.at(leaving)->shutdown([&] { isStopped = true; });
        fleet.world.runFor(20_ms);
        assertContains("COMPLETE", fleet.ask(*other, "WRITE 3 elsewhere"));
        CPPUNIT_ASSERT(fleet.world.runUntil([&] { return client->hasAnswer(); }, 300_ms));
        assertContains("COMPLETE", client->takeAnswer());
        assertContains("READY I", fleet.ask(*open, "COMMIT"));
        CPPUNIT_ASSERT(fleet.world.runUntil([&] { return isStopped; }, 6000_ms));
        CPPUNIT_ASSERT(!fleet.world.store.members.contains(instance_id(leaving)));
        assertContains("DATAROW six", fleet.ask(*other, "READ 6"));
    }

    /** Guards against a link that is closed as not needed, since the leaving instance is no member, with work on it. */
    void transactionAtALeavingInstanceHasItsTime()
    {
        relay_world fleet(3, 4);
        const auto client = fleet.connect(fleet.relays().front(), "fresh");
        fleet.ask(*client, "BEGIN");
        assertContains("READY T", fleet.ask(*client, "WRITE 4 four"));
        fleet.fronts.at(fleet.serving())->shutdown([] {});
        fleet.world.runFor(2500_ms);
        assertContains("READY I", fleet.ask(*client, "COMMIT"));
        assertContains("DATAROW four", fleet.ask(*client, "READ 4"));
    }

    /** Guards against failures at a planned stop, where nothing is kept or was sent and another instance could serve.
     */
    void workThatALeavingInstanceCannotEndIsServedByAnother()
    {
        relay_world fleet(3, 4);
        allowLongStatements(fleet);
        const auto relay = fleet.relays().front();
        const auto opener = fleet.connect(relay, "fresh");
        fleet.ask(*opener, "BEGIN");
        std::vector<std::unique_ptr<line_client>> writers;
        writers.reserve(8);
        for (int i = 0; i < 8; ++i) {
            writers.push_back(fleet.connect(relay, "fresh"));
        }
        for (auto &[id, database] : fleet.world.group.databases) {
            database->faults.answerDelay = 20000_ms;
        }
        opener->send("QUERY o READ 1");
        fleet.world.runFor(50_ms);
        for (std::size_t i = 0; i < writers.size(); ++i) {
            writers[i]->send("QUERY w" + std::to_string(i) + " WRITE " + std::to_string(i) + " x");
        }
        fleet.world.runFor(50_ms);
        const auto sent = fleet.world.group.at("a").statements;
        bool isStopped = false;
        fleet.fronts.at(fleet.serving())->shutdown([&] { isStopped = true; });
        fleet.world.runFor(fleet.world.settings.gracePeriod - 500_ms);
        for (auto &[id, database] : fleet.world.group.databases) {
            database->faults.answerDelay = {};
        }
        CPPUNIT_ASSERT(fleet.world.runUntil([&] { return isStopped; }, 2000_ms));
        fleet.kill(fleet.serving()); // As its process ends.
        CPPUNIT_ASSERT(fleet.world.runUntil([&] { return opener->hasAnswer(); }, 2000_ms));
        assertContains("READY T", opener->takeAnswer());
        int servedElsewhere = 0;
        for (std::size_t i = 0; i < writers.size(); ++i) {
            CPPUNIT_ASSERT(fleet.world.runUntil([&] { return writers[i]->hasAnswer(); }, 2000_ms));
            const bool wasSent = std::find(sent.begin(), sent.end(), "WRITE " + std::to_string(i) + " x") != sent.end();
            assertContains(wasSent ? "ERROR INDOUBT" : "COMPLETE sig", writers[i]->takeAnswer());
            servedElsewhere += wasSent ? 0 : 1;
        }
        CPPUNIT_ASSERT(servedElsewhere > 0);
    }

    /** Guards against PINNED: a transaction that stays open at a target after its caller has left another instance. */
    void callerThatLeavesLeavesNothingOpen()
    {
        relay_world fleet(3, 4);
        auto client = fleet.connect(fleet.relays().front(), "fresh");
        fleet.ask(*client, "BEGIN");
        assertContains("READY T", fleet.ask(*client, "WRITE 4 four"));
        client->close();
        fleet.world.runFor(100_ms);
        const auto other = fleet.connect(fleet.relays().back(), "fresh");
        CPPUNIT_ASSERT(!contains(fleet.ask(*other, "READ 4"), "four"));
        assertContains("COMPLETE", fleet.ask(*other, "WRITE 4 other"));
    }

    /** Guards against reads that wait for an instance which is suspended, and against a write handed over twice. */
    void silentInstanceIsLeftForReads()
    {
        front_world world;
        asio::ip::tcp::acceptor acceptor(world.io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        std::shared_ptr<byte_stream> silent;
        std::string received;
        acceptor.async_accept([&](std::error_code, asio::ip::tcp::socket socket) {
            silent = std::make_shared<byte_stream>(std::move(socket));
            silent->onData = [&](std::string &inbound) { received += std::exchange(inbound, {}); };
            silent->startReading();
            std::string hello;
            encodeRelay(relay_hello{instance_id("peer"), 1}, hello);
            silent->send(hello);
        });
        const fleet_member peer{
            instance_id("peer"), data_centre_id("here"), {"127.0.0.1", acceptor.local_endpoint().port()}, 1};
        const auto link = std::make_shared<relay_link>(world.context, fleet_member{instance_id("me"), {}, {}, 1}, peer);
        link->open();
        CPPUNIT_ASSERT(world.runUntil([&] { return link->isUsable(); }));
        std::vector<relay_end> reads;
        std::vector<relay_end> writes;
        link->run({}, true, [&](const relay_result &result) { reads.push_back(result.end); });
        link->run({}, false, [&](const relay_result &result) { writes.push_back(result.end); });
        const auto begun = systemNow();
        world.runUntil([&] {
            link->tick(systemNow(), {});
            return !reads.empty();
        });
        CPPUNIT_ASSERT(reads.size() == 1 && reads.front() == relay_end::Lost);
        CPPUNIT_ASSERT(systemNow() - begun < 500_ms);
        CPPUNIT_ASSERT(writes.empty() && !link->isUsable());
        // A stall of this process itself is no silence of the other one.
        link->close("test");
        CPPUNIT_ASSERT(writes.size() == 1 && writes.front() == relay_end::Lost);
        silent->close();
        world.runFor(20_ms);
    }

    /** Guards against orders of strangers, and against bytes that end the process or take its memory. */
    void strangersAndMalformedMessagesAreCutOff()
    {
        relay_world fleet(3, 4);
        const auto address = *fleet.settingsOf(fleet.serving()).relayAddress;
        std::string stranger;
        encodeRelay(relay_hello{instance_id("nobody"), 1}, stranger);
        std::string unasked;
        encodeRelay(relay_ping{7}, unasked);
        for (const auto &bytes : {stranger, unasked, std::string(100, '\xff'), std::string("GET / HTTP/1.1\r\n\r\n")}) {
            line_client client(fleet.world.io, address);
            client.send(bytes);
            CPPUNIT_ASSERT(fleet.world.runUntil([&] { return client.isClosed(); }, 2000_ms));
        }
        const auto caller = fleet.connect(fleet.relays().front(), "fresh");
        assertContains("COMPLETE", fleet.ask(*caller, "WRITE 1 x"));
    }

    /** Guards against a detour where every instance can hold connections of its own. */
    void smallFleetServesWithoutRelays()
    {
        relay_world fleet(3, 30);
        for (int i = 1; i <= 3; ++i) {
            const auto client = fleet.connect("front-" + std::to_string(i), "fresh");
            assertContains("COMPLETE", fleet.ask(*client, "WRITE 1 x"));
        }
        CPPUNIT_ASSERT(fleet.world.group.at("a").openConnections() >= 3);
    }

    /** Guards against instances that learn each for itself what one of them knows of a target. */
    void pongsTellOfTheLoadOfTargets()
    {
        relay_world fleet(3, 4);
        const auto caller = fleet.connect(fleet.serving(), "fresh");
        assertContains("COMPLETE", fleet.ask(*caller, "WRITE 1 x"));
        std::string greeting;
        encodeRelay(relay_hello{instance_id(fleet.relays().front()), 1}, greeting);
        encodeRelay(relay_ping{7}, greeting);
        std::vector<reported_load> loads;
        const auto stream = std::make_shared<byte_stream>(fleet.world.io);
        stream->onData = [&](std::string &inbound) {
            takeRelayMessages(inbound, [&](relay_message &message) {
                const auto *pong = std::get_if<relay_pong>(&message);
                loads = pong == nullptr ? loads : pong->loads;
                return true;
            });
        };
        stream->connect(*fleet.settingsOf(fleet.serving()).relayAddress, [&] { stream->send(greeting); });
        CPPUNIT_ASSERT(fleet.world.runUntil([&] { return !loads.empty(); }, 2000_ms));
        stream->close();
        const auto isPrimary = [](const reported_load &load) { return load.target == target_id("a"); };
        const auto found = std::find_if(loads.begin(), loads.end(), isPrimary);
        CPPUNIT_ASSERT(found != loads.end() && found->incarnation != 0 && found->answerMs > 0);
        CPPUNIT_ASSERT(loads.size() <= 8 && !found->isFull && !found->behindAt);
    }

private:
    /** All routes allow more time for a statement than the grace. */
    static void allowLongStatements(relay_world &fleet)
    {
        auto &configuration = fleet.world.configuration;
        for (auto &[name, route] : configuration.routes) {
            route.statementTimeout = duration{30000};
        }
        ++configuration.version;
        fleet.world.store.setConfiguration(configuration);
        fleet.world.runFor(duration{800});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_relay_test);
