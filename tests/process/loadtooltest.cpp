#include "databasegroup.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <thread>

using namespace crocusdeal;
using std::chrono::milliseconds;

namespace
{

/** A run of loadtool whose report is read from its JSON file. */
class load_run
{
public:
    explicit load_run(std::vector<std::string> arguments)
        : m_file(std::filesystem::temp_directory_path() / ("loadtool-test-" + std::to_string(freePort())))
    {
        arguments.insert(arguments.end(), {"--json", m_file});
        m_process = std::make_unique<child_process>(CROCUSDEAL_BINARY_DIR "/src/standins/loadtool", arguments);
    }
    ~load_run()
    {
        std::filesystem::remove(m_file);
    }
    load_run(const load_run &) = delete;
    load_run &operator=(const load_run &) = delete;

    int exitStatus()
    {
        return m_process->wait(std::chrono::seconds(60)).value_or(-1);
    }

    nlohmann::json report() const
    {
        return nlohmann::json::parse(std::ifstream(m_file));
    }

private:
    std::filesystem::path m_file;
    std::unique_ptr<child_process> m_process;
};

std::vector<std::string> writeLoad(const database_process &database, const std::string &durationS)
{
    return {"--address",
            database.address(),
            "--setup",
            "--duration",
            durationS,
            "--rate",
            "300",
            "--write",
            "2",
            "--stale-read",
            "1",
            "--transaction",
            "1"};
}

}

class load_tool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_tool_test);
    CPPUNIT_TEST(passesOnAHealthyDatabase);
    CPPUNIT_TEST(reportsLostAndDoubledWrites);
    CPPUNIT_TEST(reportsLostIncrements);
    CPPUNIT_TEST(survivesLostConnections);
    CPPUNIT_TEST(reportsStaleOwnReads);
    CPPUNIT_TEST(countsRefusalsByState);
    CPPUNIT_TEST(latencyCountsFromTheArrival);
    CPPUNIT_TEST(pipelinesInTheClosedLoop);
    CPPUNIT_TEST(forwardsBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against findings where nothing is wrong. */
    void passesOnAHealthyDatabase()
    {
        const database_process database;
        load_run run(writeLoad(database, "1"));
        CPPUNIT_ASSERT_EQUAL(0, run.exitStatus());
        const auto report = run.report();
        CPPUNIT_ASSERT(report["check"]["acknowledged"] > 50);
        for (const auto &[name, kind] : report["kinds"].items()) {
            CPPUNIT_ASSERT_EQUAL(kind["sent"].get<int>(), kind["answered"].get<int>());
        }
    }

    /** Guards against a check that overlooks what it is there to find. */
    void reportsLostAndDoubledWrites()
    {
        const database_process database;
        load_run run(writeLoad(database, "2"));
        std::this_thread::sleep_for(milliseconds(1500));
        pg_client other(database.port());
        CPPUNIT_ASSERT_EQUAL(
            std::string("DELETE 3"),
            other.run("DELETE FROM load_writes WHERE id IN (SELECT id FROM load_writes ORDER BY id LIMIT 3)").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 2"),
                             other.run("INSERT INTO load_writes SELECT * FROM load_writes ORDER BY id LIMIT 2").tag);
        CPPUNIT_ASSERT_EQUAL(2, run.exitStatus());
        CPPUNIT_ASSERT_EQUAL(3, run.report()["check"]["lost"].get<int>());
        CPPUNIT_ASSERT_EQUAL(2, run.report()["check"]["doubled"].get<int>());
    }

    /** Guards against transactions that are checked less than inserts. */
    void reportsLostIncrements()
    {
        const database_process database;
        auto arguments = writeLoad(database, "2");
        arguments.insert(arguments.end(), {"--point-read", "0", "--connections", "2", "--own-reads", "0"});
        load_run run(arguments);
        std::this_thread::sleep_for(milliseconds(1500));
        database.ask("UPDATE load_counters SET n = n - 1 WHERE n > 10");
        CPPUNIT_ASSERT_EQUAL(2, run.exitStatus());
        CPPUNIT_ASSERT(run.report()["check"]["lost"] > 0);
        CPPUNIT_ASSERT(run.report()["stale_own_reads"] > 0);
    }

    /** Guards against lost connections that end the run or count as lost writes. */
    void survivesLostConnections()
    {
        const database_process database;
        auto arguments = writeLoad(database, "2");
        load_run run(arguments);
        std::this_thread::sleep_for(milliseconds(1000));
        database.admin("drop_answer");
        std::this_thread::sleep_for(milliseconds(500));
        database.admin("kill_connections");
        CPPUNIT_ASSERT_EQUAL(0, run.exitStatus());
        const auto report = run.report();
        CPPUNIT_ASSERT(report["check"]["unknown"] >= 1);
        CPPUNIT_ASSERT(report["reconnects"] >= 1);
        CPPUNIT_ASSERT_EQUAL(0, report["check"]["lost"].get<int>());
    }

    /** Guards against a read-your-writes check that never fails: roaming to a lagging replica must break it. */
    void reportsStaleOwnReads()
    {
        const database_process primary;
        const database_process replica({"--follow", primary.address(), "--lag-ms", "300"});
        auto arguments = writeLoad(primary, "2");
        arguments.insert(arguments.end(),
                         {"--address", replica.address(), "--roam-after", "5", "--own-reads", "1", "--no-check"});
        load_run run(arguments);
        CPPUNIT_ASSERT_EQUAL(2, run.exitStatus());
        CPPUNIT_ASSERT(run.report()["stale_own_reads"] > 0);
        CPPUNIT_ASSERT(run.report()["kinds"]["write"]["refused"]["25006"] > 0);
    }

    /** Guards against refused writes that count as lost or unknown. */
    void countsRefusalsByState()
    {
        const database_process database;
        load_run run(writeLoad(database, "2"));
        std::this_thread::sleep_for(milliseconds(1500));
        database.ask("SELECT * FROM group_fence(2)");
        CPPUNIT_ASSERT_EQUAL(0, run.exitStatus());
        const auto report = run.report();
        CPPUNIT_ASSERT(report["kinds"]["write"]["refused"]["25006"] > 0);
        CPPUNIT_ASSERT_EQUAL(0, report["check"]["unknown"].get<int>());
        CPPUNIT_ASSERT(report["longest_write_gap_s"] > 0.3);
    }

    /** Guards against latencies that leave out the wait for a free connection. */
    void latencyCountsFromTheArrival()
    {
        const database_process database({"--slots", "1", "--statement-us", "20000"});
        load_run run({"--address",
                      database.address(),
                      "--setup",
                      "--items",
                      "1",
                      "--duration",
                      "1",
                      "--rate",
                      "100",
                      "--connections",
                      "1",
                      "--drain",
                      "10"});
        CPPUNIT_ASSERT_EQUAL(0, run.exitStatus());
        // About 100 requests at 50 a second: the last ones wait for about a second.
        CPPUNIT_ASSERT(run.report()["kinds"]["point-read"]["p99_ms"] > 500);
    }

    /** Guards against answers that are assigned to another request of the pipeline. */
    void pipelinesInTheClosedLoop()
    {
        const database_process database;
        for (const std::string protocol : {"extended", "prepared"}) {
            auto arguments = writeLoad(database, "0.5");
            arguments.insert(arguments.end(),
                             {"--closed", "--pipeline", "4", "--protocol", protocol, "--connections", "4"});
            load_run run(arguments);
            CPPUNIT_ASSERT_EQUAL(0, run.exitStatus());
            CPPUNIT_ASSERT(run.report()["check"]["acknowledged"] > 0);
        }
    }

    void forwardsBytes()
    {
        const database_process database;
        child_process forward(CROCUSDEAL_BINARY_DIR "/src/standins/loadtool",
                              {"forward", "127.0.0.1:0", database.address()});
        const auto line = forward.readLine(std::chrono::seconds(10)).value_or("");
        const auto port = static_cast<std::uint16_t>(std::stoi(line.substr(line.find(' ') + 1)));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), pg_client(port).run("SELECT 1").value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_tool_test);
