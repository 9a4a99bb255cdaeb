#include "databasegroup.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <thread>

using namespace crocusdeal;

namespace
{

const std::string createTable = "CREATE TABLE t (id bigint PRIMARY KEY, v text)";

std::string statusField(const database_process &database, std::size_t field)
{
    const auto outcome = pg_client(database.port()).run("SELECT * FROM group_status()");
    return outcome.rows.empty() ? outcome.sqlState : outcome.rows.front().at(field);
}

std::string termOf(const database_process &database)
{
    return statusField(database, 0);
}

std::string roleOf(const database_process &database)
{
    return statusField(database, 1);
}

std::string positionOf(const database_process &database)
{
    return statusField(database, 2);
}

/** Waits in the database until it has caught up with the source. */
void waitFor(const database_process &database, const std::string &position)
{
    const auto outcome = pg_client(database.port()).run("SELECT * FROM group_wait('" + position + "', 10000)");
    CPPUNIT_ASSERT_EQUAL(position, outcome.rows.at(0).at(2));
}

/** For a position that is lower than the present one, which group_wait() does not wait for. */
void waitUntilPositionIs(const database_process &database, const std::string &position)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (positionOf(database) != position && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(position, positionOf(database));
}

}

class database_group_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(database_group_test);
    CPPUNIT_TEST(replicaAppliesCommittedEntriesOnly);
    CPPUNIT_TEST(replicaComputesTheSameValues);
    CPPUNIT_TEST(grantsEachTermOnce);
    CPPUNIT_TEST(fenceAbortsAnOpenTransaction);
    CPPUNIT_TEST(fenceStopsReplication);
    CPPUNIT_TEST(followDropsADivergentTail);
    CPPUNIT_TEST(followsAFencedDatabaseOfTheSameTermOnly);
    CPPUNIT_TEST(laggingReplicaShowsOldData);
    CPPUNIT_TEST(groupWaitEndsWithPositionTermOrTimeout);
    CPPUNIT_TEST(cutHoldsReplicationUntilHealed);
    CPPUNIT_TEST(laggingReplicaKeepsUpWithTheRate);
    CPPUNIT_TEST(laggingReplicaAppliesWhatItReceived);
    CPPUNIT_TEST(failoversUnderLoadLeaveEqualData);
    CPPUNIT_TEST(remembersTermAndLogAfterACrash);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against uncommitted or rolled back work on a replica, and against writes there. */
    void replicaAppliesCommittedEntriesOnly()
    {
        const database_process primary;
        const database_process replica({"--follow", primary.address()});
        pg_client writer(primary.port());
        writer.run(createTable);
        writer.run("BEGIN");
        writer.run("INSERT INTO t VALUES (1, 'rolled back')");
        writer.run("ROLLBACK");
        writer.run("INSERT INTO t VALUES (2, 'kept')");
        writer.run("BEGIN");
        writer.run("INSERT INTO t VALUES (3, 'open')");
        CPPUNIT_ASSERT_EQUAL(std::string("1 primary 1/2"), writer.parameterStatus("group_state"));

        waitFor(replica, "1/2");
        CPPUNIT_ASSERT_EQUAL(std::string("2"), replica.ask("SELECT id FROM t"));
        CPPUNIT_ASSERT_EQUAL(std::string("25006"), replica.ask("INSERT INTO t VALUES (4, 'x')"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), replica.ask("SELECT count(*) FROM t"));
        CPPUNIT_ASSERT_EQUAL(primary.address(), statusField(replica, 5));
    }

    /** Guards against replicas that differ after now() and random(), which are evaluated again there. */
    void replicaComputesTheSameValues()
    {
        const database_process primary;
        const database_process replica({"--follow", primary.address()});
        primary.ask("CREATE TABLE r (v text, at text, n double precision)");
        pg_client(primary.port()).runParameters("INSERT INTO r VALUES ($1, now(), random())", {"it's; $1"});
        waitFor(replica, "1/2");
        const std::string query = "SELECT v || at || n FROM r";
        CPPUNIT_ASSERT(primary.ask(query).find("it's; $1") == 0);
        CPPUNIT_ASSERT_EQUAL(primary.ask(query), replica.ask(query));
    }

    /** Guards against two primaries in one term. */
    void grantsEachTermOnce()
    {
        const database_process database;
        CPPUNIT_ASSERT_EQUAL(std::string("f"), database.ask("SELECT * FROM group_fence(1)"));
        CPPUNIT_ASSERT_EQUAL(std::string("t"), database.ask("SELECT * FROM group_fence(3)"));
        CPPUNIT_ASSERT_EQUAL(std::string("f"), database.ask("SELECT * FROM group_fence(3)"));
        CPPUNIT_ASSERT_EQUAL(std::string("f"), database.ask("SELECT * FROM group_fence(2)"));
        CPPUNIT_ASSERT_EQUAL(std::string("f"), database.ask("SELECT * FROM group_promote(2)"));
        CPPUNIT_ASSERT_EQUAL(std::string("f"), database.ask("SELECT * FROM group_promote(4)"));
        CPPUNIT_ASSERT_EQUAL(std::string("25006"), database.ask(createTable));
        CPPUNIT_ASSERT_EQUAL(std::string("t"), database.ask("SELECT * FROM group_promote(3)"));
        CPPUNIT_ASSERT_EQUAL(std::string("f"), database.ask("SELECT * FROM group_follow(3, '127.0.0.1:1')"));
        CPPUNIT_ASSERT_EQUAL(std::string("f"), database.ask("SELECT * FROM group_follow(2, '127.0.0.1:1')"));
        CPPUNIT_ASSERT_EQUAL(std::string("primary"), roleOf(database));
        CPPUNIT_ASSERT_EQUAL(std::string("t"), database.ask("SELECT * FROM group_follow(4, '127.0.0.1:1')"));
        CPPUNIT_ASSERT_EQUAL(std::string("replica"), roleOf(database));
        CPPUNIT_ASSERT_EQUAL(std::string("4"), termOf(database));
    }

    /** Guards against a commit that succeeds after the fence, also when the database is primary again by then. */
    void fenceAbortsAnOpenTransaction()
    {
        const database_process database;
        pg_client writer(database.port());
        writer.run(createTable);
        writer.run("BEGIN");
        writer.run("INSERT INTO t VALUES (1, 'x')");
        database.ask("SELECT * FROM group_fence(2)");
        database.ask("SELECT * FROM group_promote(2)");
        CPPUNIT_ASSERT_EQUAL(std::string("25006"), writer.run("COMMIT").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("2 primary 1/1"), writer.parameterStatus("group_state"));
        CPPUNIT_ASSERT_EQUAL(std::string("0"), writer.run("SELECT count(*) FROM t").value());
        CPPUNIT_ASSERT_EQUAL(std::string(), writer.run("INSERT INTO t VALUES (1, 'y')").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("2/2"), positionOf(database));
    }

    /** Guards against a fenced replica that still takes entries of the old primary. */
    void fenceStopsReplication()
    {
        const database_process primary;
        const database_process replica({"--follow", primary.address()});
        primary.ask(createTable);
        waitFor(replica, "1/1");
        replica.ask("SELECT * FROM group_fence(2)");
        primary.ask("INSERT INTO t VALUES (1, 'x')");
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::string("1/1"), positionOf(replica));
        CPPUNIT_ASSERT_EQUAL(std::string("fenced"), roleOf(replica));
        CPPUNIT_ASSERT_EQUAL(std::string(""), statusField(replica, 5));
    }

    /** Guards against a database that keeps entries which the new primary never had. */
    void followDropsADivergentTail()
    {
        const database_process first({"--name", "first"});
        const database_process second({"--name", "second", "--follow", first.address()});
        first.ask(createTable);
        first.ask("INSERT INTO t VALUES (1, 'shared')");
        waitFor(second, "1/2");
        second.ask("SELECT * FROM group_fence(2)");
        first.ask("INSERT INTO t VALUES (2, 'tail')");
        first.ask("INSERT INTO t VALUES (3, 'tail')");
        second.ask("SELECT * FROM group_promote(2)");
        second.ask("INSERT INTO t VALUES (2, 'new')");
        CPPUNIT_ASSERT_EQUAL(std::string("1/4"), positionOf(first));

        pg_client reader(first.port());
        CPPUNIT_ASSERT_EQUAL(std::string("3"), reader.run("SELECT count(*) FROM t").value());
        CPPUNIT_ASSERT_EQUAL(std::string("t"), first.ask("SELECT * FROM group_follow(2, '" + second.address() + "')"));
        waitFor(first, "2/3");
        CPPUNIT_ASSERT_EQUAL(std::string("new"), reader.run("SELECT v FROM t WHERE id = 2").value());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), reader.run("SELECT count(*) FROM t").value());
    }

    /** Guards against following a replica or a database of another term, whose log may be another history. */
    void followsAFencedDatabaseOfTheSameTermOnly()
    {
        const database_process source;
        const database_process other({"--role", "fenced"});
        source.ask(createTable);
        other.ask("SELECT * FROM group_follow(2, '" + source.address() + "')");
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("0/0"), positionOf(other));
        source.ask("SELECT * FROM group_fence(2)");
        waitFor(other, "1/1");

        const database_process third({"--role", "fenced"});
        third.ask("SELECT * FROM group_follow(2, '" + other.address() + "')");
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::string("0/0"), positionOf(third));
    }

    /** Guards against a lag that hides the position but not the data. */
    void laggingReplicaShowsOldData()
    {
        const database_process primary;
        const database_process replica({"--follow", primary.address()});
        primary.ask(createTable);
        waitFor(replica, "1/1");
        replica.ask("SELECT standin_set('lag_ms', '700')");
        primary.ask("INSERT INTO t VALUES (1, 'x')");
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(std::string("0"), replica.ask("SELECT count(*) FROM t"));
        CPPUNIT_ASSERT_EQUAL(std::string("1/1"), positionOf(replica));
        waitFor(replica, "1/2");
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start > std::chrono::milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), replica.ask("SELECT count(*) FROM t"));
    }

    /** Guards against a lag that grows because a replica stops copying while it waits. */
    void laggingReplicaKeepsUpWithTheRate()
    {
        const database_process primary;
        const database_process replica({"--follow", primary.address(), "--lag-ms", "300"});
        pg_client writer(primary.port());
        writer.run(createTable);
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; std::chrono::steady_clock::now() - start < std::chrono::milliseconds(1500); ++i) {
            writer.run("INSERT INTO t VALUES (" + std::to_string(i) + ", 'x')");
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        const auto last = positionOf(primary);
        const auto written = std::chrono::steady_clock::now();
        waitFor(replica, last);
        const auto behind = std::chrono::steady_clock::now() - written;
        CPPUNIT_ASSERT(behind > std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(behind < std::chrono::milliseconds(800));
    }

    /** Guards against entries that are lost when the source ends while the replica lags. */
    void laggingReplicaAppliesWhatItReceived()
    {
        const auto primary = std::make_unique<database_process>();
        const database_process replica({"--follow", primary->address(), "--lag-ms", "2000"});
        primary->ask(createTable);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        primary->admin("crash");
        CPPUNIT_ASSERT_EQUAL(std::string("0/0"), positionOf(replica));
        waitFor(replica, "1/1");
    }

    /** Guards against databases that differ after commits, fences and dropped tails have raced. */
    void failoversUnderLoadLeaveEqualData()
    {
        std::vector<std::unique_ptr<database_process>> group;
        group.push_back(std::make_unique<database_process>());
        for (int i = 0; i < 2; ++i) {
            group.push_back(std::make_unique<database_process>(
                std::vector<std::string>{"--follow", group[0]->address(), "--lag-ms", "20"}));
        }
        group[0]->ask(createTable);
        for (const auto &member : group) {
            waitFor(*member, "1/1");
        }
        std::atomic<bool> stop = false;
        std::vector<std::thread> writers;
        writers.reserve(6);
        for (int w = 0; w < 6; ++w) {
            writers.emplace_back([&group, &stop, w] {
                pg_client client(group[static_cast<std::size_t>(w) % group.size()]->port());
                for (int i = 0; !stop; ++i) {
                    client.run("BEGIN");
                    client.run("INSERT INTO t VALUES (" + std::to_string(w * 1000000 + i) + ", random())");
                    client.run("COMMIT");
                }
            });
        }
        std::size_t primary = 0;
        for (int term = 2; term < 8; ++term) {
            std::this_thread::sleep_for(std::chrono::milliseconds(150));
            const auto number = std::to_string(term);
            for (const auto &member : group) {
                CPPUNIT_ASSERT_EQUAL(std::string("t"), member->ask("SELECT * FROM group_fence(" + number + ")"));
            }
            // Not the most advanced one, so that the others have tails to drop.
            primary = (primary + 1) % group.size();
            group[primary]->ask("SELECT * FROM group_promote(" + number + ")");
            for (std::size_t i = 0; i < group.size(); ++i) {
                if (i != primary) {
                    group[i]->ask("SELECT * FROM group_follow(" + number + ", '" + group[primary]->address() + "')");
                }
            }
        }
        stop = true;
        for (auto &writer : writers) {
            writer.join();
        }
        const std::string query = "SELECT count(*) || ' ' || sum(id) || ' ' || sum(v) FROM t";
        const auto last = positionOf(*group[primary]);
        const auto data = group[primary]->ask(query);
        for (const auto &member : group) {
            waitUntilPositionIs(*member, last);
            CPPUNIT_ASSERT_EQUAL(data, member->ask(query));
        }
    }

    /** Guards against waits that miss a change, and against waits that hold the only slot. */
    void groupWaitEndsWithPositionTermOrTimeout()
    {
        const database_process database({"--slots", "1"});
        pg_client waiting(database.port());
        CPPUNIT_ASSERT_EQUAL(std::string("0/0"), waiting.run("SELECT * FROM group_wait('1/5', 100)").rows.at(0).at(2));
        PQsendQuery(waiting.handle(), "SELECT * FROM group_wait('1/1', 10000)");
        CPPUNIT_ASSERT_EQUAL(std::string(), database.ask(createTable));
        CPPUNIT_ASSERT_EQUAL(std::string("1/1"), waiting.outcomeOf(PQgetResult(waiting.handle())).rows.at(0).at(2));
        PQgetResult(waiting.handle());
        PQsendQuery(waiting.handle(), "SELECT * FROM group_wait('1/5', 10000)");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        database.ask("SELECT * FROM group_fence(7)");
        CPPUNIT_ASSERT_EQUAL(std::string("7"), waiting.outcomeOf(PQgetResult(waiting.handle())).value());
    }

    /** Guards against a cut that works in one direction only, or that loses what was sent meanwhile. */
    void cutHoldsReplicationUntilHealed()
    {
        const database_process primary;
        const database_process replica({"--name", "east", "--follow", primary.address()});
        primary.ask(createTable);
        waitFor(replica, "1/1");
        primary.admin("cut_to east");
        primary.ask("INSERT INTO t VALUES (1, 'x')");
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::string("1/1"), positionOf(replica));
        primary.admin("heal east");
        waitFor(replica, "1/2");
        primary.admin("cut_from east");
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        primary.ask("INSERT INTO t VALUES (2, 'x')");
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        CPPUNIT_ASSERT_EQUAL(std::string("1/2"), positionOf(replica));
        primary.admin("heal");
        waitUntilPositionIs(replica, "1/3");
    }

    /** Guards against a restarted database that grants a term again or lost what it had acknowledged. */
    void remembersTermAndLogAfterACrash()
    {
        const auto file = std::filesystem::temp_directory_path() / ("standin-test-" + std::to_string(freePort()));
        {
            const database_process database({"--data", file});
            database.ask(createTable);
            database.ask("INSERT INTO t VALUES (1, 'kept')");
            database.ask("SELECT * FROM group_fence(5)");
            database.admin("crash");
        }
        const database_process restarted({"--data", file});
        std::filesystem::remove(file);
        CPPUNIT_ASSERT_EQUAL(std::string("fenced"), roleOf(restarted));
        CPPUNIT_ASSERT_EQUAL(std::string("1/2"), positionOf(restarted));
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), restarted.ask("SELECT v FROM t"));
        CPPUNIT_ASSERT_EQUAL(std::string("f"), restarted.ask("SELECT * FROM group_fence(5)"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(database_group_test);
