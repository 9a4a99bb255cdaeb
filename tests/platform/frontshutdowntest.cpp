#include "frontworld.h"

#include "systemclock.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

class front_shutdown_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_shutdown_test);
    CPPUNIT_TEST(answersWhatWasReadBeforeItEnds);
    CPPUNIT_TEST(idleSessionsAreClosedAndTransactionsGetTime);
    CPPUNIT_TEST(busySessionsEndWithAnAnswer);
    CPPUNIT_TEST(busyTransactionsEndAtHalfOfTheGrace);
    CPPUNIT_TEST(newSessionsUntilTheEndLoseNoWrite);
    CPPUNIT_TEST(writeThatIsUnderWayAtTheEndIsInDoubt);
    CPPUNIT_TEST(writeThatWaitsAtTheEndHasNotRun);
    CPPUNIT_TEST(commitThatIsUnderWayAtTheEndIsInDoubt);
    CPPUNIT_TEST(transactionsThatBeginTooLateAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against LOST: the process ends in the turn in which its last answer is handed to the connection. */
    void answersWhatWasReadBeforeItEnds()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        world.group.at("a").faults.answerDelay = 700_ms;
        bool hasEnded = false;
        world.node->shutdown([&] { hasEnded = true; });
        CPPUNIT_ASSERT(!world.isReady());
        world.runFor(1000_ms);
        client->send("QUERY q WRITE 1 x");
        CPPUNIT_ASSERT(world.runUntil([&] { return client->hasAnswer(); }, 6000_ms));
        const auto answered = systemNow();
        assertContains("COMPLETE sig", client->takeAnswer());
        CPPUNIT_ASSERT(!hasEnded);
        CPPUNIT_ASSERT(world.runUntil([&] { return hasEnded; }, 6000_ms));
        CPPUNIT_ASSERT((systemNow() - answered) >= 200_ms);
    }

    /** Guards against requests that a shutdown cuts. */
    void idleSessionsAreClosedAndTransactionsGetTime()
    {
        front_world world;
        world.start();
        const auto idle = world.connect("fresh");
        const auto busy = world.connect("fresh");
        world.ask(*busy, "BEGIN");
        world.ask(*busy, "WRITE 1 x");
        bool hasEnded = false;
        world.node->shutdown([&] { hasEnded = true; });
        CPPUNIT_ASSERT(world.runUntil([&] { return idle->isClosed(); }, 3000_ms));
        CPPUNIT_ASSERT(!hasEnded && !busy->isClosed());
        assertContains("COMPLETE sig", world.ask(*busy, "COMMIT"));
        CPPUNIT_ASSERT(world.runUntil([&] { return hasEnded; }, 4000_ms));
    }

    /** Guards against LOST: a caller that sends one request after the other is cut when the grace is over. */
    void busySessionsEndWithAnAnswer()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        world.group.at("a").faults.answerDelay = 60_ms;
        bool hasEnded = false;
        const auto stopped = systemNow();
        world.node->shutdown([&] { hasEnded = true; });
        int cut = 0;
        for (int i = 0; !client->isClosed() && !hasEnded; ++i) {
            client->send("QUERY q" + std::to_string(i) + " WRITE 1 x");
            world.runUntil([&] { return client->hasAnswer() || client->isClosed() || hasEnded; });
            cut += client->hasAnswer() || !isRead(world, i) ? 0 : 1;
            if (client->hasAnswer()) {
                client->takeAnswer();
            }
        }
        CPPUNIT_ASSERT_EQUAL(0, cut);
        CPPUNIT_ASSERT((systemNow() - stopped) < 2500_ms);
    }

    /** Guards against LOST: a transaction whose statements follow each other without a pause lasts until the end. */
    void busyTransactionsEndAtHalfOfTheGrace()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh");
        world.ask(*client, "BEGIN");
        world.group.at("a").faults.answerDelay = 60_ms;
        bool hasEnded = false;
        const auto stopped = systemNow();
        world.node->shutdown([&] { hasEnded = true; });
        std::string answer;
        while (answer.find("ABORTED") == std::string::npos && !client->isClosed() && !hasEnded) {
            answer = world.ask(*client, "WRITE 1 x");
        }
        assertContains("ABORTED", answer);
        CPPUNIT_ASSERT((systemNow() - stopped) < world.settings.gracePeriod / 2 + 500_ms);
    }

    /** Guards against LOST (review/8): the balancer sends new sessions to a leaving instance until its end. */
    void newSessionsUntilTheEndLoseNoWrite()
    {
        front_world world;
        world.settings.gracePeriod = grace;
        world.start();
        world.group.at("a").faults.answerDelay = 60_ms;
        bool hasEnded = false;
        world.node->shutdown([&] { hasEnded = true; });
        std::vector<one_write> callers(4);
        int lost = 0;
        int served = 0;
        int number = 0;
        const auto callOnce = [&] {
            for (auto &caller : callers) {
                if (!caller.client || caller.client->isClosed()) {
                    lost += isLost(world, caller) ? 1 : 0;
                    caller = call(world, ++number);
                }
                advance(caller, served);
            }
            return hasEnded;
        };
        CPPUNIT_ASSERT(world.runUntil(callOnce, grace));
        for (const auto &caller : callers) {
            lost += isLost(world, caller) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, lost);
        CPPUNIT_ASSERT(served > 10);
    }

    /** Guards against LOST: a statement that may take longer than the grace is cut without a word. */
    void writeThatIsUnderWayAtTheEndIsInDoubt()
    {
        front_world world;
        startWithLongStatements(world);
        const auto client = world.connect("fresh");
        world.group.at("a").faults.answerDelay = 20000_ms;
        bool hasEnded = false;
        world.node->shutdown([&] { hasEnded = true; });
        assertContains("ERROR INDOUBT", world.ask(*client, "WRITE 1 x"));
        CPPUNIT_ASSERT(!hasEnded);
        CPPUNIT_ASSERT(world.runUntil([&] { return hasEnded; }, 1000_ms));
    }

    /** Guards against LOST and against a doubt without a reason: nothing of a statement in the queue was sent. */
    void writeThatWaitsAtTheEndHasNotRun()
    {
        front_world world;
        world.configuration.services.begin()->second.maxConnections = 1;
        startWithLongStatements(world);
        world.group.at("a").faults.answerDelay = 20000_ms;
        std::vector<std::unique_ptr<line_client>> clients;
        clients.reserve(12);
        for (int i = 0; i < 12; ++i) {
            clients.push_back(world.connect("fresh"));
        }
        bool hasEnded = false;
        world.node->shutdown([&] { hasEnded = true; });
        for (std::size_t i = 0; i < clients.size(); ++i) {
            clients[i]->send("QUERY q" + std::to_string(i) + " WRITE " + std::to_string(i) + " x");
        }
        CPPUNIT_ASSERT(world.runUntil([&] { return hasEnded; }, 5000_ms));
        int refused = 0;
        for (std::size_t i = 0; i < clients.size(); ++i) {
            CPPUNIT_ASSERT(clients[i]->hasAnswer());
            const bool isRun = timesRun(world.group.at("a"), "WRITE " + std::to_string(i) + " x") > 0;
            assertContains(isRun ? "ERROR INDOUBT" : "ERROR BUSY", clients[i]->takeAnswer());
            refused += isRun ? 0 : 1;
        }
        CPPUNIT_ASSERT(refused > 0);
    }

    /** Guards against LOST: the commit of a transaction is cut without a word. */
    void commitThatIsUnderWayAtTheEndIsInDoubt()
    {
        front_world world;
        startWithLongStatements(world);
        const auto client = world.connect("fresh");
        world.ask(*client, "BEGIN");
        world.ask(*client, "WRITE 1 x");
        world.group.at("a").faults.answerDelay = 20000_ms;
        bool hasEnded = false;
        world.node->shutdown([&] { hasEnded = true; });
        assertContains("ERROR INDOUBT", world.ask(*client, "COMMIT"));
        CPPUNIT_ASSERT(!hasEnded);
    }

    /** Guards against work that is begun in vain: all transactions are rolled back at half of the grace. */
    void transactionsThatBeginTooLateAreRefused()
    {
        front_world world;
        world.settings.gracePeriod = grace;
        world.start();
        const auto early = world.connect("fresh");
        assertContains("READY T", world.ask(*early, "BEGIN"));
        world.node->shutdown([] {});
        world.runFor(grace / 2 + 100_ms);
        const auto late = world.connect("fresh");
        assertContains("ERROR BUSY", world.ask(*late, "BEGIN"));
    }

private:
    static constexpr duration grace{3500};

    /** A caller that opens a session for one write. */
    struct one_write {
        std::unique_ptr<line_client> client;
        std::string text;
        bool isStarted = false;
        bool isAnswered = false;
    };

    static one_write call(front_world &world, int number)
    {
        one_write caller;
        caller.client = std::make_unique<line_client>(world.io, world.settings.callerAddress);
        caller.client->startUp("fresh");
        caller.text = "WRITE " + std::to_string(number) + " x";
        return caller;
    }

    static void advance(one_write &caller, int &served)
    {
        if (!caller.client->hasAnswer()) {
            return;
        }
        const auto answer = caller.client->takeAnswer();
        if (!caller.isStarted) {
            caller.isStarted = true;
            caller.client->send("QUERY q " + caller.text);
            return;
        }
        caller.isAnswered = true;
        served += contains(answer, "COMPLETE sig") ? 1 : 0;
        caller.client->close();
        caller.client.reset();
    }

    /** Whether the database has run the write, and nobody was told so. */
    static bool isLost(front_world &world, const one_write &caller)
    {
        return caller.client && !caller.isAnswered && !caller.client->hasAnswer()
            && timesRun(world.group.at("a"), caller.text) > 0;
    }

    /** All routes allow more time for a statement than the grace. */
    static void startWithLongStatements(front_world &world)
    {
        for (auto &[name, route] : world.configuration.routes) {
            route.statementTimeout = duration{30000};
        }
        world.settings.gracePeriod = grace;
        world.start();
    }

    /** Whether the write of this number has reached the primary. */
    static bool isRead(front_world &world, int number)
    {
        return timesRun(world.group.at("a"), "WRITE 1 x") > number;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_shutdown_test);
