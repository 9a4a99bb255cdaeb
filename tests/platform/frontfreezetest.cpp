#include "frontworld.h"

#include "systemclock.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <thread>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

namespace
{

/** A caller that always has a statement under way, in and out of transactions. */
class busy_caller
{
public:
    busy_caller(front_world &world, const std::string &database, int number)
        : m_world(world)
        , m_database(database)
        , m_step(number)
    {
        reconnect();
    }

    void drive()
    {
        if (m_client->isClosed()) {
            reconnect();
            return;
        }
        if (!m_client->hasAnswer()) {
            return;
        }
        m_lastAnswer = m_client->takeAnswer();
        ++m_answers;
        constexpr std::array<const char *, 9> script{
            "READ 1", "WRITE 2 x", "BEGIN", "READ 3", "WRITE 4 y", "COMMIT", "READ 5", "BEGIN READ", "ROLLBACK"};
        const auto &text = script.at(static_cast<std::size_t>(m_step++) % script.size());
        m_client->send("QUERY c" + std::to_string(++m_id) + " " + text);
    }

    int answers() const
    {
        return m_answers;
    }

private:
    void reconnect()
    {
        m_client = std::make_unique<line_client>(m_world.io, m_world.settings.callerAddress);
        m_client->startUp(m_database);
    }

    front_world &m_world;
    std::string m_database;
    int m_step;
    int m_id = 0;
    int m_answers = 0;
    std::string m_lastAnswer;
    std::unique_ptr<line_client> m_client;
};

}

class front_freeze_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_freeze_test);
    CPPUNIT_TEST(lateAnswerForACallerThatHasLeftEndsNothing);
    CPPUNIT_TEST(deadlinesThatLapseTogetherEndNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Guards against a process that ends (SIGSEGV): the caller leaves, its read is given up as late, and then the
     * target answers it after all. After a suspension this comes together.
     */
    void lateAnswerForACallerThatHasLeftEndsNothing()
    {
        front_world world;
        world.start();
        for (const auto &[id, database] : world.group.databases) {
            database->faults.answerDelay = 650_ms;
        }
        for (const char *database : {"fresh", "own", "stale"}) {
            auto client = world.connect(database);
            client->send("QUERY c1 READ 1");
            world.runFor(60_ms);
            client->close();
        }
        world.runFor(1500_ms);
        for (const auto &[id, database] : world.group.databases) {
            database->faults.answerDelay = {};
        }
        const auto client = world.connect("fresh");
        assertContains("COMPLETE sig", world.ask(*client, "READ 1"));
    }

    /** Guards against a process that ends when it wakes up and all its deadlines are due in one turn of the loop. */
    void deadlinesThatLapseTogetherEndNothing()
    {
        front_world world;
        world.start();
        for (const auto &[id, database] : world.group.databases) {
            database->faults.answerDelay = 20_ms;
        }
        constexpr std::size_t count = 60;
        std::vector<std::unique_ptr<busy_caller>> callers;
        callers.reserve(count);
        const std::array<const char *, 3> databases{"fresh", "own", "stale"};
        while (callers.size() < count) {
            const auto i = callers.size();
            callers.push_back(
                std::make_unique<busy_caller>(world, databases.at(i % databases.size()), static_cast<int>(i)));
        }
        const auto driveFor = [&](duration time) {
            const auto end = systemNow() + time;
            world.runUntil(
                [&] {
                    for (const auto &caller : callers) {
                        caller->drive();
                    }
                    return systemNow() >= end;
                },
                time + 1000_ms);
        };
        for (int round = 0; round < 4; ++round) {
            driveFor(400_ms);
            // Every second time the targets are silent as well, so that control statements lapse too.
            for (const auto &[id, database] : world.group.databases) {
                database->faults.swallowAnswers = round % 2 == 0 ? 0 : 10;
            }
            driveFor(100_ms);
            std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        }
        for (const auto &[id, database] : world.group.databases) {
            database->faults.swallowAnswers = 0;
        }
        driveFor(1500_ms);
        int before = 0;
        for (const auto &caller : callers) {
            before += caller->answers();
        }
        driveFor(1000_ms);
        int after = 0;
        for (const auto &caller : callers) {
            after += caller->answers();
        }
        CPPUNIT_ASSERT(after > before + 50);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_freeze_test);
