#include "frontworld.h"

#include "systemclock.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

class front_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_test);
    CPPUNIT_TEST(refusesUnknownDatabases);
    CPPUNIT_TEST(removedRouteIsRefusedFromTheNextStatement);
    CPPUNIT_TEST(olderConfigurationIsNotPutIntoForce);
    CPPUNIT_TEST(closesAfterAStartThatFailed);
    CPPUNIT_TEST(stormOfConfigurationsIsReadTogether);
    CPPUNIT_TEST(readsItsOwnWriteFromAReplicaThatLags);
    CPPUNIT_TEST(freshReadsRunWhereTheLeadIsProved);
    CPPUNIT_TEST(staleReadsRunAtReplicas);
    CPPUNIT_TEST(emptyCommitProvesNoLead);
    CPPUNIT_TEST(valuesAndPreparedStatementsFollowTheSession);
    CPPUNIT_TEST(transactionCommitsOnce);
    CPPUNIT_TEST(failedTransactionIsRolledBack);
    CPPUNIT_TEST(lostAnswerOfAWriteIsInDoubtAndNotRepeated);
    CPPUNIT_TEST(lostAnswerOfACommitIsInDoubt);
    CPPUNIT_TEST(lostAnswerOfAReadIsRepeated);
    CPPUNIT_TEST(silentReadIsSentElsewhere);
    CPPUNIT_TEST(transactionWithoutItsTargetIsAborted);
    CPPUNIT_TEST(busyTargetIsTriedAgain);
    CPPUNIT_TEST(failedReadIsSentAgain);
    CPPUNIT_TEST(busyTargetDoesNotEndATransaction);
    CPPUNIT_TEST(silentConfigurationWatchIsNoticed);
    CPPUNIT_TEST(storeThatIsAwayIsAskedSparingly);
    CPPUNIT_TEST(callerThatLeavesInATransactionLeavesNothing);
    CPPUNIT_TEST(malformedAndEndlessMessagesAreRefused);
    CPPUNIT_TEST(readsThatOnlyThePrimaryCanServeAreRefusedAtOnce);
    CPPUNIT_TEST(statementOfACallerThatHasLeftIsNotSentAgain);
    CPPUNIT_TEST(countsStatementsByOutcome);
    CPPUNIT_TEST(workBeyondWhatThePrimaryCanDoIsRefusedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against sessions that wait for a database that does not exist. */
    void refusesUnknownDatabases()
    {
        front_world world;
        world.start();
        line_client client(world.io, world.settings.callerAddress);
        client.startUp("nowhere");
        CPPUNIT_ASSERT(world.runUntil([&] { return client.isClosed(); }));
        assertContains("ERROR NOSUCHDB", client.takeAnswer());
    }

    /** Guards against CONFIG: an open session goes on with a route that was dropped. */
    void removedRouteIsRefusedFromTheNextStatement()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        assertContains("COMPLETE sig", world.ask(*client, "READ 1"));
        world.configuration.version = 2;
        world.configuration.routes.erase("fresh");
        world.store.setConfiguration(world.configuration);
        world.runFor(150_ms);
        assertContains("ERROR NOSUCHDB", world.ask(*client, "READ 1"));
    }

    /** Guards against reading the whole configuration for each of the changes that come in quick succession. */
    void stormOfConfigurationsIsReadTogether()
    {
        front_world world;
        world.start();
        world.store.calls.clear();
        for (int i = 0; i < 40; ++i) {
            ++world.configuration.version;
            world.store.setConfiguration(world.configuration);
            world.runFor(30_ms);
        }
        world.configuration.routes.erase("stale");
        ++world.configuration.version;
        world.store.setConfiguration(world.configuration);
        world.runFor(world.settings.configurationApplyTimeout / 4);
        CPPUNIT_ASSERT(world.connect("stale")->isClosed());
        // By the watch and by its check, each pausing for an eighth of the time to apply.
        CPPUNIT_ASSERT(world.store.calls["configuration sent"] <= 14);
    }

    /** Guards against CONFIG: a configuration reverts. */
    void olderConfigurationIsNotPutIntoForce()
    {
        front_world world;
        world.configuration.version = 7;
        world.start();
        world.configuration.version = 6;
        world.configuration.routes.clear();
        world.store.setConfiguration(world.configuration);
        world.runFor(150_ms);
        const auto client = world.connect("fresh");
        assertContains("COMPLETE sig", world.ask(*client, "READ 1"));
    }

    /** Guards against a crash in place of the reason why an instance has not started. */
    void closesAfterAStartThatFailed()
    {
        front_world world;
        const auto &address = world.settings.callerAddress;
        const asio::ip::tcp::acceptor other(
            world.io, asio::ip::tcp::endpoint(asio::ip::make_address(address.host), address.port));
        world.node = std::make_shared<front>(world.context, world.settings, world.store, world.store);
        assertContains("in use", world.node->start());
        world.node->close();
    }

    /** Guards against STALE on read_your_writes: the replicas lack the session's own commit. */
    void readsItsOwnWriteFromAReplicaThatLags()
    {
        front_world world;
        world.start();
        const auto client = world.connect("own");
        world.ask(*client, "WRITE 5 old");
        world.group.at("c").faults.isDeaf = true;
        assertContains("COMPLETE sig-a", world.ask(*client, "WRITE 5 new"));
        for (int i = 0; i < 6; ++i) {
            assertContains("DATAROW new", world.ask(*client, "READ 5"));
        }
    }

    /** Guards against STALE on primary routes: a former primary answers a plain read. */
    void freshReadsRunWhereTheLeadIsProved()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        assertContains("COMPLETE sig-a", world.ask(*client, "READ 5"));
        world.group.promote("b");
        assertContains("COMPLETE sig-b", world.ask(*client, "READ 5"));
        CPPUNIT_ASSERT_EQUAL(1, timesRun(world.group.at("a"), "READ 5"));
    }

    /** Guards against reads that load the primary though the age of the replicas' data is permitted. */
    void staleReadsRunAtReplicas()
    {
        front_world world;
        world.start();
        const auto writer = world.connect("fresh");
        world.ask(*writer, "WRITE 5 x");
        const auto client = world.connect("stale");
        for (int i = 0; i < 10; ++i) {
            world.ask(*client, "READ 5");
        }
        CPPUNIT_ASSERT(timesRun(world.group.at("a"), "READ 5") <= 1);
    }

    /** Guards against STALE: a former primary acknowledges the commit of a transaction that wrote nothing. */
    void emptyCommitProvesNoLead()
    {
        front_world world;
        // The replica nearby, which lacks the commit, is where a read with a false position would go.
        world.dataCentres = {{"b", "there"}};
        world.publishEntry("b", false);
        world.start();
        const auto reader = world.connect("fresh");
        const auto stale = world.connect("stale");
        world.ask(*reader, "BEGIN");
        assertContains("READY T", world.ask(*reader, "READ 5"));
        world.group.promote("b");
        world.group.at("a").faults.isDeaf = true;
        auto &primary = world.group.at("b");
        primary.items["5"] = "new";
        ++primary.received;
        world.runFor(600_ms);
        assertContains("COMPLETE sig-a", world.ask(*reader, "COMMIT"));
        world.runFor(1200_ms);
        for (int i = 0; i < 4; ++i) {
            assertContains("DATAROW new", world.ask(*stale, "READ 5"));
        }
    }

    /** Guards against PINNED: names of callers collide on shared connections. */
    void valuesAndPreparedStatementsFollowTheSession()
    {
        front_world world;
        world.start();
        const auto first = world.connect("fresh");
        const auto second = world.connect("fresh");
        assertContains("COMPLETE -", world.ask(*first, "SET tz north"));
        assertContains("COMPLETE -", world.ask(*first, "PREPARE s1 WRITE shape1"));
        assertContains("COMPLETE -", world.ask(*second, "PREPARE s1 READ shape2"));
        assertContains("COMPLETE sig", world.ask(*first, "EXECUTE s1 9 data"));
        assertContains("DATAROW data", world.ask(*second, "EXECUTE s1 9"));
        assertContains("ERROR NOSUCHSTMT", world.ask(*second, "EXECUTE s2 9"));
        assertContains("COMPLETE -", world.ask(*second, "DEALLOCATE s1"));
        assertContains("ERROR NOSUCHSTMT", world.ask(*second, "EXECUTE s1 9"));
    }

    /** Guards against a transaction that is lost or applied in part. */
    void transactionCommitsOnce()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        assertContains("READY T", world.ask(*client, "BEGIN"));
        assertContains("READY T", world.ask(*client, "WRITE 1 x"));
        assertContains("READY T", world.ask(*client, "WRITE 2 y"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.group.at("a").received);
        assertContains("READY I 1.2", world.ask(*client, "COMMIT"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world.group.at("a").received);
        assertContains("ERROR MALFORMED", world.ask(*client, "COMMIT"));
    }

    /** Guards against REFUSED: something is kept of a transaction that failed. */
    void failedTransactionIsRolledBack()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        world.ask(*client, "BEGIN READ");
        assertContains("READY T", world.ask(*client, "READ 1"));
        assertContains("ERROR MALFORMED", world.ask(*client, "NONSENSE"));
        world.ask(*client, "ROLLBACK");
        world.ask(*client, "BEGIN");
        assertContains("READY T", world.ask(*client, "WRITE 1 x"));
        world.group.promote("b");
        const auto refused = world.ask(*client, "WRITE 2 y");
        assertContains("ERROR READONLY", refused);
        assertContains("READY E", refused);
        assertContains("ERROR MALFORMED", world.ask(*client, "READ 1"));
        assertContains("ERROR ABORTED", world.ask(*client, "COMMIT"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.group.at("b").received);
    }

    /** Guards against TWICE: a write whose answer is lost is sent again. */
    void lostAnswerOfAWriteIsInDoubtAndNotRepeated()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        world.group.at("a").faults.loseAnswers = 1;
        const auto asked = systemNow();
        const auto answer = world.ask(*client, "WRITE 1 x");
        assertContains("ERROR INDOUBT", answer);
        assertContains("READY I", answer);
        CPPUNIT_ASSERT((systemNow() - asked) < 200_ms);
        world.runFor(300_ms);
        CPPUNIT_ASSERT_EQUAL(1, timesRun(world.group.at("a"), "WRITE 1 x"));
    }

    /** Guards against a promise about a commit whose outcome nobody knows. */
    void lostAnswerOfACommitIsInDoubt()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        world.ask(*client, "BEGIN");
        world.ask(*client, "WRITE 1 x");
        world.group.at("a").faults.loseAnswers = 1;
        assertContains("ERROR INDOUBT", world.ask(*client, "COMMIT"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world.group.at("a").received);
    }

    /** Guards against callers that see a lost connection though another target could answer. */
    void lostAnswerOfAReadIsRepeated()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        world.group.at("a").faults.loseAnswers = 1;
        assertContains("COMPLETE sig", world.ask(*client, "READ 1"));
    }

    /** Guards against reads that wait for their whole limit behind a cut that drops packets. */
    void silentReadIsSentElsewhere()
    {
        front_world world;
        world.start();
        const auto writer = world.connect("fresh");
        world.ask(*writer, "WRITE 5 x");
        world.group.at("b").faults.swallowAnswers = 1;
        world.group.at("c").faults.swallowAnswers = 1;
        const auto client = world.connect("stale");
        const auto asked = systemNow();
        assertContains("DATAROW x", world.ask(*client, "READ 5"));
        CPPUNIT_ASSERT((systemNow() - asked) < 800_ms);
    }

    /** Guards against INDOUBT, or silence, where nothing can have been kept. */
    void transactionWithoutItsTargetIsAborted()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        world.ask(*client, "BEGIN");
        world.ask(*client, "WRITE 1 x");
        world.group.at("a").faults.loseAnswers = 1;
        const auto answer = world.ask(*client, "WRITE 2 y");
        assertContains("ERROR ABORTED", answer);
        assertContains("READY E", answer);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.group.at("a").received);
    }

    /** Guards against passing on a refusal that a moment's wait would have avoided. */
    void busyTargetIsTriedAgain()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        world.group.at("a").faults.refuseBusy = 2;
        assertContains("COMPLETE sig-a", world.ask(*client, "WRITE 1 x"));
        CPPUNIT_ASSERT_EQUAL(1, timesRun(world.group.at("a"), "WRITE 1 x"));
    }

    /** Guards against passing on the failures of a target whose health check is good. */
    void failedReadIsSentAgain()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        assertContains("COMPLETE sig-a", world.ask(*client, "WRITE 1 x"));
        world.group.at("a").faults.failReads = 1;
        assertContains("DATAROW x", world.ask(*client, "READ 1"));
        world.group.at("a").faults.failReads = 1;
        assertContains("READY T", world.ask(*client, "BEGIN READ"));
        assertContains("DATAROW x", world.ask(*client, "READ 1"));
    }

    /** Guards against losing the work of a whole transaction to a refusal that a moment's wait would have avoided. */
    void busyTargetDoesNotEndATransaction()
    {
        front_world world;
        world.start();
        auto &primary = world.group.at("a");
        const auto client = world.connect("fresh");
        assertContains("READY T", world.ask(*client, "BEGIN"));
        assertContains("COMPLETE sig-a", world.ask(*client, "WRITE 1 x"));
        primary.faults.refuseBusy = 2;
        assertContains("COMPLETE sig-a", world.ask(*client, "WRITE 2 y"));
        primary.faults.refuseBusy = 2;
        assertContains("COMPLETE sig-a", world.ask(*client, "COMMIT"));
        CPPUNIT_ASSERT_EQUAL(1, timesRun(primary, "WRITE 2 y"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, primary.items.size());
    }

    /** Guards against CONFIG: a watch whose connection has gone silent without a reset hears of nothing. */
    void silentConfigurationWatchIsNoticed()
    {
        front_world world;
        world.start();
        world.store.isWatchSilent = true;
        world.runFor(100_ms);
        ++world.configuration.version;
        world.configuration.routes.clear();
        world.store.setConfiguration(world.configuration);
        world.runFor(world.settings.configurationApplyTimeout);
        const auto client = world.connect("fresh");
        world.runUntil([&] { return client->hasAnswer(); }, 1000_ms);
        assertContains("NOSUCHDB", client->takeAnswer());
    }

    /** Guards against a flood of calls, each of which is refused and paid for, while the store is down. */
    void storeThatIsAwayIsAskedSparingly()
    {
        front_world world;
        world.start();
        world.store.isAway = true;
        world.runFor(200_ms);
        world.store.calls.clear();
        world.runFor(3000_ms);
        int calls = 0;
        for (const auto &[name, count] : world.store.calls) {
            calls += count;
        }
        CPPUNIT_ASSERT(calls <= 8);
        world.store.isAway = false;
        CPPUNIT_ASSERT(world.runUntil([&] { return world.store.calls["list"] > 0; }, 1000_ms));
    }

    /** Guards against PINNED: a connection with an open transaction goes to the next session. */
    void callerThatLeavesInATransactionLeavesNothing()
    {
        front_world world;
        world.start();
        for (int i = 0; i < 5; ++i) {
            const auto client = world.connect("fresh");
            world.ask(*client, "BEGIN");
            world.ask(*client, "WRITE 1 x");
            client->close();
            world.runFor(20_ms);
        }
        const auto client = world.connect("fresh");
        assertContains("READY I 1.1", world.ask(*client, "WRITE 2 y"));
    }

    /** Guards against crashes and unbounded buffers by broken callers. */
    void malformedAndEndlessMessagesAreRefused()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        assertContains("ERROR MALFORMED", world.ask(*client, "PAUSE 99"));
        client->send("NONSENSE");
        CPPUNIT_ASSERT(world.runUntil([&] { return client->hasAnswer(); }));
        assertContains("ERROR MALFORMED", client->takeAnswer());
        assertContains("COMPLETE sig", world.ask(*client, "READ 1"));
        client->send(std::string(1126400, 'x'));
        CPPUNIT_ASSERT(world.runUntil([&] { return client->isClosed(); }));
    }

    /** Guards against callers that wait half of their time for a refusal that could be known at once. */
    void workBeyondWhatThePrimaryCanDoIsRefusedAtOnce()
    {
        front_world world;
        world.start();
        world.group.at("a").faults.answerDelay = 100_ms;
        const auto first = world.connect("fresh");
        for (int i = 0; i < 20; ++i) {
            world.ask(*first, "WRITE 1 x"); // The time of an answer is learnt.
        }
        constexpr int callers = 30;
        std::vector<std::unique_ptr<line_client>> clients;
        clients.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            clients.push_back(world.connect("fresh"));
        }
        for (const auto &client : clients) {
            client->send("QUERY q WRITE 2 y");
        }
        world.runFor(60_ms);
        const auto refused = std::count_if(clients.begin(), clients.end(), [](const auto &client) {
            return client->hasAnswer() && contains(client->takeAnswer(), "ERROR BUSY");
        });
        CPPUNIT_ASSERT(refused >= 15);
        world.runFor(1000_ms);
        CPPUNIT_ASSERT(timesRun(world.group.at("a"), "WRITE 2 y") >= 4);
    }

    /** Guards against holding reads whose replicas are behind until nobody has time for them. */
    void readsThatOnlyThePrimaryCanServeAreRefusedAtOnce()
    {
        front_world world;
        world.start();
        world.group.at("b").faults.isDeaf = true;
        const auto writer = world.connect("fresh");
        world.group.at("a").faults.answerDelay = 100_ms;
        for (int i = 0; i < 20; ++i) {
            world.ask(*writer, "WRITE 1 x"); // The time of an answer is learnt.
        }
        world.group.at("c").crash();
        constexpr int callers = 40;
        std::vector<std::unique_ptr<line_client>> clients;
        clients.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            clients.push_back(world.connect("stale"));
        }
        for (std::size_t i = 0; i < clients.size(); ++i) {
            clients[i]->send("QUERY q READ 1");
            if (i == 3) {
                world.runFor(20_ms); // That the replica is behind is learnt.
            }
        }
        world.runFor(80_ms);
        const auto refused = std::count_if(clients.begin(), clients.end(), [](const auto &client) {
            return client->hasAnswer() && contains(client->takeAnswer(), "ERROR BUSY");
        });
        CPPUNIT_ASSERT(refused >= 15);
    }

    /** Guards against work for callers who have left, and against statements that outlive the daemon's end. */
    void statementOfACallerThatHasLeftIsNotSentAgain()
    {
        front_world world;
        world.start();
        const auto writer = world.connect("fresh");
        world.ask(*writer, "WRITE 1 x");
        for (const auto &[id, database] : world.group.databases) {
            database->faults.answerDelay = 300_ms;
        }
        auto reader = world.connect("stale");
        reader->send("QUERY q READ 1");
        const auto timesRead = [&] {
            return timesRun(world.group.at("a"), "READ 1") + timesRun(world.group.at("b"), "READ 1")
                + timesRun(world.group.at("c"), "READ 1");
        };
        CPPUNIT_ASSERT(world.runUntil([&] { return timesRead() == 1; }, 200_ms));
        reader.reset();
        world.runFor(20_ms);
        for (const auto &[id, database] : world.group.databases) {
            if (timesRun(*database, "READ 1") > 0) {
                database->crash();
            }
        }
        world.runFor(300_ms);
        CPPUNIT_ASSERT_EQUAL(1, timesRead());
    }

    /** Guards against operators who see no trace of what callers got. */
    void countsStatementsByOutcome()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        world.ask(*client, "WRITE 1 x");
        world.group.at("a").faults.loseAnswers = 1;
        world.ask(*client, "WRITE 1 x");
        const auto text = world.metrics.render();
        for (const char *line : {"outcome=\"served\"",
                                 "outcome=\"in_doubt\"",
                                 "crocusdeal_configuration_version 1",
                                 "crocusdeal_sessions 1",
                                 "crocusdeal_target_seconds_count"}) {
            assertContains(line, text);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_test);
