#include "databasegroup.h"
#include "pgframe.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

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

/** Answers one statement on each connection and reports a new session token with it. */
class token_server
{
public:
    token_server()
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /** Returns the start-up messages of that many connections. */
    std::vector<std::string> serve(int connections)
    {
        std::vector<std::string> startups;
        for (int i = 1; i <= connections; ++i) {
            auto socket = m_acceptor.accept();
            frame_reader reader(1 << 20);
            reader.setStartup(true);
            startups.emplace_back(read(socket, reader).payload);
            reader.setStartup(false);
            frame_writer welcome;
            welcome.begin('R').int32(0).end();
            writeReadyForQuery(welcome, 'I');
            asio::write(socket, asio::buffer(welcome.str()));
            while (read(socket, reader).type != 'S') {
            }
            frame_writer answer;
            answer.begin('1').end().begin('2').end().begin('n').end();
            writeCommandComplete(answer, "SELECT 0");
            writeParameterStatus(answer, "crocusdeal.session", "g:1/" + std::to_string(i));
            writeReadyForQuery(answer, 'I');
            asio::write(socket, asio::buffer(answer.str()));
        }
        return startups;
    }

private:
    static pg_frame read(asio::ip::tcp::socket &socket, frame_reader &reader)
    {
        for (;;) {
            if (const auto frame = reader.next()) {
                return *frame;
            }
            reader.commit(socket.read_some(asio::buffer(reader.prepare(1024), 1024)));
        }
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
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
    CPPUNIT_TEST(givesUpLateRequests);
    CPPUNIT_TEST(passesTheTokenOn);
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

    /** Guards against a queue of requests whose callers are long gone. */
    void givesUpLateRequests()
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
                      "200",
                      "--connections",
                      "1",
                      "--deadline-ms",
                      "100",
                      "--give-up"});
        CPPUNIT_ASSERT_EQUAL(0, run.exitStatus());
        const auto kind = run.report()["kinds"]["point-read"];
        CPPUNIT_ASSERT(kind["refused"]["gave-up"] > 50);
        CPPUNIT_ASSERT(kind["max_ms"] < 300);
    }

    /** Guards against sessions that roam without their token. */
    void passesTheTokenOn()
    {
        const database_process database;
        pg_client(database.port()).run("CREATE TABLE load_counters (run bigint, id bigint, n bigint)");
        token_server server;
        load_run run({"--address",
                      server.address(),
                      "--check-address",
                      database.address(),
                      "--no-check",
                      "--duration",
                      "1",
                      "--rate",
                      "50",
                      "--connections",
                      "1",
                      "--own-reads",
                      "0",
                      "--token",
                      "--roam-after",
                      "1"});
        const auto startups = server.serve(3);
        run.exitStatus();
        CPPUNIT_ASSERT(startups[0].find("crocusdeal.session") == std::string::npos);
        CPPUNIT_ASSERT(startups[1].find("-c crocusdeal.session=g:1/1") != std::string::npos);
        CPPUNIT_ASSERT(startups[2].find("-c crocusdeal.session=g:1/2") != std::string::npos);
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
