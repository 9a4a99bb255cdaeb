#include "writeload.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace crocusdeal;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds startLimit = 10s;
constexpr std::chrono::milliseconds answerLimit = 20s;
/** Running requests may take until the limit of the shutdown, section 6 of the design. */
constexpr std::chrono::milliseconds shutdownLimit = 35s;

}

class instance_failure_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_failure_test);
    CPPUNIT_TEST(killedInMidTransaction);
    CPPUNIT_TEST(callersOfAKilledInstanceGoOnElsewhere);
    CPPUNIT_TEST(shutdownCutsNoRequest);
    CPPUNIT_TEST(shutdownLetsTransactionsEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a transaction that outlives its instance: its rows, its locks and its connection. */
    void killedInMidTransaction()
    {
        cluster cluster;
        auto caller = cluster.connect(0);
        caller.run(write_load::createTable);
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.run("BEGIN").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.run("INSERT INTO w VALUES (1, 1)").sqlState);
        cluster.killInstance(0);
        CPPUNIT_ASSERT(!caller.run("COMMIT").sqlState.empty());
        auto other = cluster.connect(1);
        // The stand-in has one write lock; the abandoned transaction held it.
        CPPUNIT_ASSERT_EQUAL(std::string(), other.runWithin("INSERT INTO w VALUES (2, 1)", startLimit).sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), other.run("SELECT sum(id) FROM w").value());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), cluster.database(0).ask("SELECT count(*) FROM w"));
    }

    /** Guards against acknowledged writes that are lost or doubled for callers that reconnect to another instance. */
    void callersOfAKilledInstanceGoOnElsewhere()
    {
        cluster cluster;
        cluster.connect(0).run(write_load::createTable);
        write_load writes(cluster, {0, 1}, 3, reconnect::OtherInstance);
        CPPUNIT_ASSERT(writes.waitForWrite(load_clock::now() + 300ms, startLimit, {0, 1}));
        cluster.killInstance(0);
        const auto before = writes.records();
        // A session without a token on the other instance sees all that the killed one acknowledged.
        auto fresh = cluster.connect(1);
        const auto seen = fresh.runWithin("SELECT id FROM w", answerLimit);
        CPPUNIT_ASSERT_EQUAL(std::string(), seen.sqlState);
        std::vector<std::int64_t> ids;
        for (const auto &row : seen.rows) {
            ids.push_back(std::stoll(row.at(0)));
        }
        std::sort(ids.begin(), ids.end());
        for (const auto &record : before) {
            const bool isThere = std::binary_search(ids.begin(), ids.end(), record.id);
            CPPUNIT_ASSERT_MESSAGE("write " + std::to_string(record.id), !record.isAcknowledged() || isThere);
        }
        CPPUNIT_ASSERT(writes.waitForWrite(load_clock::now(), startLimit, {1}));
        std::this_thread::sleep_for(500ms);
        cluster.startInstance(0);
        CPPUNIT_ASSERT(cluster.waitUntilServing(0, startLimit));
        writes.stop();
        const auto records = writes.records();
        std::cout << "\nwrites: " << summary(records) << std::endl;
        CPPUNIT_ASSERT_EQUAL(std::string(), contradictions(records, cluster.database(0)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.primary().value());
    }

    /** Guards against requests that a graceful shutdown cuts, and against one that does not end. */
    void shutdownCutsNoRequest()
    {
        cluster cluster;
        cluster.connect(0).run(write_load::createTable);
        write_load writes(cluster, {0}, 4, reconnect::SameInstance);
        CPPUNIT_ASSERT(writes.waitForWrite(load_clock::now() + 300ms, startLimit, {0}));
        auto idle = cluster.connect(0);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), idle.run("SELECT 1").value());
        auto slow = cluster.connect(0);
        CPPUNIT_ASSERT_EQUAL(1, PQsendQuery(slow.handle(), "SELECT 'slow' FROM (SELECT pg_sleep(1))"));
        std::this_thread::sleep_for(200ms);

        cluster.instance(0).signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(std::string("slow"), slow.outcomeOf(PQgetResult(slow.handle())).value());
        CPPUNIT_ASSERT_EQUAL(std::string("57P01"), idle.run("SELECT 1").sqlState);
        const auto status = cluster.instance(0).wait(shutdownLimit);
        CPPUNIT_ASSERT(status.has_value());
        CPPUNIT_ASSERT_EQUAL(0, *status);
        writes.stop();
        const auto records = writes.records();
        std::cout << "\nwrites: " << summary(records) << std::endl;
        for (const auto &record : records) {
            const bool whole = record.isAcknowledged() || record.sqlState == "57P01";
            CPPUNIT_ASSERT_MESSAGE("told " + record.sqlState, whole);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), contradictions(records, cluster.database(0)));
        const auto stored = std::stoll(cluster.database(0).ask("SELECT count(*) FROM w"));
        const auto acknowledged = std::count_if(
            records.begin(), records.end(), [](const load_record &record) { return record.isAcknowledged(); });
        CPPUNIT_ASSERT_EQUAL(static_cast<long long>(acknowledged), stored);
    }

    /** Guards against a shutdown that aborts an open transaction which its caller still works on. */
    void shutdownLetsTransactionsEnd()
    {
        cluster cluster;
        auto caller = cluster.connect(0);
        caller.run(write_load::createTable);
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.run("BEGIN").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.run("INSERT INTO w VALUES (1, 1)").sqlState);
        cluster.instance(0).signal(SIGTERM);
        std::this_thread::sleep_for(500ms);
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.runWithin("INSERT INTO w VALUES (2, 1)", answerLimit).sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("COMMIT"), caller.runWithin("COMMIT", answerLimit).tag);
        CPPUNIT_ASSERT_EQUAL(std::string("57P01"), caller.run("SELECT 1").sqlState);
        CPPUNIT_ASSERT(cluster.instance(0).wait(shutdownLimit) == 0);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), cluster.database(0).ask("SELECT count(*) FROM w"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_failure_test);
