#include "databasegroup.h"
#include "pgframe.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <sys/socket.h>
#include <thread>

using namespace crocusdeal;
using std::chrono::milliseconds;

namespace
{

const std::string createTable = "CREATE TABLE t (id bigint PRIMARY KEY, v text)";

milliseconds since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
}

pg_outcome nextResult(const pg_client &client)
{
    return client.outcomeOf(PQgetResult(client.handle()));
}

}

class database_standin_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(database_standin_test);
    CPPUNIT_TEST(answersWithPostgresqlTagsAndStates);
    CPPUNIT_TEST(scriptIsOneTransaction);
    CPPUNIT_TEST(failedTransactionRefusesUntilRollback);
    CPPUNIT_TEST(openTransactionIsInvisibleToOthers);
    CPPUNIT_TEST(preparedStatementsTakeParameters);
    CPPUNIT_TEST(pipelineSkipsToSyncAfterAnError);
    CPPUNIT_TEST(rowLimitSuspendsThePortal);
    CPPUNIT_TEST(slotsBoundTheRate);
    CPPUNIT_TEST(writeLockDoesNotBlockItsOwnerWithOneSlot);
    CPPUNIT_TEST(cancelEndsSleepingAndQueuedStatements);
    CPPUNIT_TEST(cancelInterruptsAScan);
    CPPUNIT_TEST(idleTransactionGivesWayToWaitingWriters);
    CPPUNIT_TEST(refusesConnectionsAboveTheLimit);
    CPPUNIT_TEST(countsPeakAndRefusedConnections);
    CPPUNIT_TEST(lingeringConnectionsCountUntilHealed);
    CPPUNIT_TEST(connectionSetUpTakesItsTime);
    CPPUNIT_TEST(droppedAnswerLeavesTheCommit);
    CPPUNIT_TEST(freezeKeepsSocketsAndResumes);
    CPPUNIT_TEST(killsConnectionsAndCrashes);
    CPPUNIT_TEST(endsOnSigtermWithOpenConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a stand-in that tests accept but that answers unlike PostgreSQL. */
    void answersWithPostgresqlTagsAndStates()
    {
        const database_process database;
        pg_client client(database.port());
        CPPUNIT_ASSERT_EQUAL(std::string("CREATE TABLE"), client.run(createTable).tag);
        CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 2"), client.run("INSERT INTO t VALUES (1,'a'),(2,'b')").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("UPDATE 1"), client.run("UPDATE t SET v = 'c' WHERE id = 2").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("SELECT 2"), client.run("SELECT * FROM t").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("DELETE 0"), client.run("DELETE FROM t WHERE id = 9").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("BEGIN"), client.run("BEGIN ISOLATION LEVEL SERIALIZABLE").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("COMMIT"), client.run("COMMIT").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("SET"), client.run("SET a.b = 'c'").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), client.run("SHOW a.b").value());
        CPPUNIT_ASSERT_EQUAL(std::string("DISCARD ALL"), client.run("DISCARD ALL").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("xyxy"), client.run("SELECT repeat('xy', 2)").value());
        CPPUNIT_ASSERT_EQUAL(std::string("42601"), client.run("SELEC 1").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("42601"), client.run("SELECT 1 FROM").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("42P01"), client.run("SELECT * FROM nope").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("42703"), client.run("SELECT nope FROM t").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("23505"), client.run("INSERT INTO t VALUES (1, 'x')").sqlState);
    }

    /** Guards against half of a script taking effect. */
    void scriptIsOneTransaction()
    {
        const database_process database;
        pg_client client(database.port());
        client.run(createTable);
        const auto failed = client.run("INSERT INTO t VALUES (1,'a'); INSERT INTO t VALUES (1,'b')");
        CPPUNIT_ASSERT_EQUAL(std::string("23505"), failed.sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), client.run("SELECT count(*) FROM t").value());
        client.run("INSERT INTO t VALUES (1,'a'); INSERT INTO t VALUES (2,'b')");
        CPPUNIT_ASSERT_EQUAL(std::string("1 primary 1/2"), client.parameterStatus("group_state"));
    }

    /** Guards against work that continues after an error within a transaction. */
    void failedTransactionRefusesUntilRollback()
    {
        const database_process database;
        pg_client client(database.port());
        client.run(createTable);
        client.run("BEGIN");
        client.run("INSERT INTO t VALUES (1,'a')");
        client.run("SAVEPOINT s");
        CPPUNIT_ASSERT_EQUAL(std::string("23505"), client.run("INSERT INTO t VALUES (1,'b')").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("25P02"), client.run("SELECT 1").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string(), client.run("ROLLBACK TO s").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), client.run("SELECT count(*) FROM t").value());
        client.run("nonsense");
        CPPUNIT_ASSERT_EQUAL(std::string("ROLLBACK"), client.run("COMMIT").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), client.run("SELECT count(*) FROM t").value());
    }

    /** Guards against dirty reads, and against readers that wait for a writer. */
    void openTransactionIsInvisibleToOthers()
    {
        const database_process database;
        pg_client writer(database.port());
        pg_client reader(database.port());
        writer.run(createTable);
        writer.run("BEGIN");
        writer.run("INSERT INTO t VALUES (1,'a')");
        CPPUNIT_ASSERT_EQUAL(std::string("0"), reader.run("SELECT count(*) FROM t").value());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), writer.run("SELECT count(*) FROM t").value());
        writer.run("COMMIT");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), reader.run("SELECT count(*) FROM t").value());

        // A read and a later write in one transaction succeed although another session committed in between.
        writer.run("BEGIN");
        writer.run("SELECT * FROM t");
        reader.run("INSERT INTO t VALUES (2,'b')");
        CPPUNIT_ASSERT_EQUAL(std::string("UPDATE 2"), writer.run("UPDATE t SET v = 'c'").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("COMMIT"), writer.run("COMMIT").tag);
    }

    /** Guards against parameters that lose their text or compare as another type. */
    void preparedStatementsTakeParameters()
    {
        const database_process database;
        pg_client client(database.port());
        client.run(createTable);
        PQclear(PQprepare(client.handle(), "put", "INSERT INTO t VALUES ($1, $2)", 0, nullptr));
        const char *values[] = {"7", "007 'x'"};
        const auto put = client.outcomeOf(
            PQexecPrepared(client.handle(), "put", 2, static_cast<const char *const *>(values), nullptr, nullptr, 0));
        CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1"), put.tag);
        CPPUNIT_ASSERT_EQUAL(std::string("007 'x'"),
                             client.runParameters("SELECT v FROM t WHERE id = $1", {"7"}).value());
        CPPUNIT_ASSERT_EQUAL(std::string("1"),
                             client.runParameters("SELECT count(*) FROM t WHERE length(v) > $1", {"5"}).value());
        CPPUNIT_ASSERT_EQUAL(std::string("08P01"), client.runParameters("SELECT $1", {}).sqlState);
        const auto described = PQdescribePrepared(client.handle(), "put");
        CPPUNIT_ASSERT_EQUAL(2, PQnparams(described));
        PQclear(described);
        client.run("DEALLOCATE put");
        const auto gone = client.outcomeOf(PQdescribePrepared(client.handle(), "put"));
        CPPUNIT_ASSERT_EQUAL(std::string("26000"), gone.sqlState);
    }

    /** Guards against statements that run after a failed one of the same pipeline. */
    void pipelineSkipsToSyncAfterAnError()
    {
        const database_process database;
        pg_client client(database.port());
        client.run(createTable);
        auto *handle = client.handle();
        const auto send = [handle](const char *sql) {
            PQsendQueryParams(handle, sql, 0, nullptr, nullptr, nullptr, nullptr, 0);
        };
        PQenterPipelineMode(handle);
        send("INSERT INTO t VALUES (1,'a')");
        send("INSERT INTO t VALUES (1,'b')");
        send("INSERT INTO t VALUES (2,'c')");
        PQpipelineSync(handle);
        send("INSERT INTO t VALUES (3,'d')");
        PQpipelineSync(handle);
        std::vector<ExecStatusType> seen;
        for (int syncs = 0; syncs < 2;) {
            auto *result = PQgetResult(handle);
            if (result != nullptr) {
                seen.push_back(PQresultStatus(result));
                syncs += seen.back() == PGRES_PIPELINE_SYNC ? 1 : 0;
                PQclear(result);
            }
        }
        PQexitPipelineMode(handle);
        const std::vector<ExecStatusType> expected = {PGRES_COMMAND_OK,
                                                      PGRES_FATAL_ERROR,
                                                      PGRES_PIPELINE_ABORTED,
                                                      PGRES_PIPELINE_SYNC,
                                                      PGRES_COMMAND_OK,
                                                      PGRES_PIPELINE_SYNC};
        CPPUNIT_ASSERT(expected == seen);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), client.run("SELECT id FROM t").value());
    }

    /** Guards against rows that are lost or repeated between two Executes of one portal. */
    void rowLimitSuspendsThePortal()
    {
        const database_process database;
        frame_writer request;
        request.begin('\0').int32(196608).string("user").string("test").byte(0).end();
        request.begin('P').string("").string("VALUES (1), (2), (3)").int16(0).end();
        request.begin('B').string("p").string("").int16(0).int16(0).int16(0).end();
        request.begin('E').string("p").int32(2).end();
        request.begin('E').string("p").int32(2).end();
        request.begin('S').end();
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), database.port()});
        asio::write(socket, asio::buffer(request.str()));

        frame_reader reader(1 << 20);
        std::string types;
        while (std::count(types.begin(), types.end(), 'Z') < 2) {
            reader.commit(socket.read_some(asio::buffer(reader.prepare(1024), 1024)));
            while (const auto frame = reader.next()) {
                types.push_back(frame->type);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string("12DDsDCZ"), types.substr(types.find('Z') + 1));
    }

    /** Guards against a capacity that differs from slots and service time. */
    void slotsBoundTheRate()
    {
        const database_process database({"--slots", "2", "--statement-us", "20000"});
        std::vector<std::unique_ptr<pg_client>> clients(8);
        for (auto &client : clients) {
            client = std::make_unique<pg_client>(database.port());
        }
        const auto start = std::chrono::steady_clock::now();
        for (int round = 0; round < 5; ++round) {
            for (const auto &client : clients) {
                PQsendQuery(client->handle(), "SELECT 1");
            }
            for (const auto &client : clients) {
                CPPUNIT_ASSERT_EQUAL(std::string("1"), nextResult(*client).value());
                PQgetResult(client->handle());
            }
        }
        const auto took = since(start);
        // 40 statements of 20 ms over 2 slots.
        CPPUNIT_ASSERT(took >= milliseconds(395));
        CPPUNIT_ASSERT(took < milliseconds(1500));
    }

    /** Guards against a deadlock of the write lock and the only slot. */
    void writeLockDoesNotBlockItsOwnerWithOneSlot()
    {
        const database_process database({"--slots", "1"});
        pg_client owner(database.port());
        pg_client other(database.port());
        owner.run(createTable);
        owner.run("BEGIN");
        owner.run("INSERT INTO t VALUES (1,'a')");
        PQsendQuery(other.handle(), "INSERT INTO t VALUES (2,'b')");
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("UPDATE 1"), owner.run("UPDATE t SET v = 'c'").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("COMMIT"), owner.run("COMMIT").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1"), nextResult(other).tag);
    }

    /** Guards against cancels that are ignored, and against a cancelled statement that keeps its slot. */
    void cancelEndsSleepingAndQueuedStatements()
    {
        const database_process database({"--slots", "1"});
        pg_client sleeping(database.port());
        pg_client queued(database.port());
        PQsendQuery(sleeping.handle(), "SELECT pg_sleep(30)");
        std::this_thread::sleep_for(milliseconds(100));
        PQsendQuery(queued.handle(), "SELECT 1");
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), std::to_string(PQisBusy(queued.handle())));
        for (const auto *client : {&queued, &sleeping}) {
            auto *cancel = PQgetCancel(client->handle());
            char message[256];
            CPPUNIT_ASSERT_EQUAL(1, PQcancel(cancel, message, sizeof message));
            PQfreeCancel(cancel);
            CPPUNIT_ASSERT_EQUAL(std::string("57014"), nextResult(*client).sqlState);
            PQgetResult(client->handle());
        }
        CPPUNIT_ASSERT_EQUAL(std::string("2"), queued.run("SELECT 2").value());
    }

    /** Guards against a cancel that waits for the statement it is to end. */
    void cancelInterruptsAScan()
    {
        const database_process database;
        const pg_client scanning(database.port());
        PQsendQuery(scanning.handle(),
                    "WITH RECURSIVE n(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM n) SELECT count(*) FROM n");
        std::this_thread::sleep_for(milliseconds(200));
        auto *cancel = PQgetCancel(scanning.handle());
        char message[256];
        CPPUNIT_ASSERT_EQUAL(1, PQcancel(cancel, message, sizeof message));
        PQfreeCancel(cancel);
        CPPUNIT_ASSERT_EQUAL(std::string("57014"), nextResult(scanning).sqlState);
    }

    /** Guards against one silent client that stops all writes. */
    void idleTransactionGivesWayToWaitingWriters()
    {
        const database_process database({"--idle-transaction-ms", "200"});
        pg_client idle(database.port());
        idle.run(createTable);
        idle.run("BEGIN");
        idle.run("INSERT INTO t VALUES (1,'a')");
        std::this_thread::sleep_for(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::string("UPDATE 1"), idle.run("UPDATE t SET v = 'b'").tag);
        CPPUNIT_ASSERT_EQUAL(std::string(), database.ask("INSERT INTO t VALUES (2,'c')"));
        CPPUNIT_ASSERT_EQUAL(std::string("25P03"), idle.run("COMMIT").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), database.ask("SELECT id FROM t"));
    }

    /** Guards against a limit that is off by one or counts closed connections. */
    void refusesConnectionsAboveTheLimit()
    {
        const database_process database({"--connections", "2"});
        const pg_client first(database.port());
        auto second = std::make_unique<pg_client>(database.port());
        const pg_client third(database.port());
        CPPUNIT_ASSERT(second->connected());
        CPPUNIT_ASSERT(!third.connected());
        CPPUNIT_ASSERT(third.error().find("too many clients") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("ok 1 primary 0/0 2 2 "), database.admin("status"));
        second.reset();
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT(pg_client(database.port()).connected());
    }

    /** Guards against a peak that misses closed connections, counts refused ones or lasts beyond its span. */
    void countsPeakAndRefusedConnections()
    {
        const database_process database({"--connections", "2"});
        auto first = std::make_unique<pg_client>(database.port());
        const pg_client second(database.port());
        CPPUNIT_ASSERT(!pg_client(database.port()).connected());
        first.reset();
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("ok 1 2 1"), database.admin("connections"));
        CPPUNIT_ASSERT_EQUAL(std::string("ok 1 1 0"), database.admin("connections"));
    }

    /** Guards against a fault that closes the connections at once or never. */
    void lingeringConnectionsCountUntilHealed()
    {
        const database_process database;
        const pg_client client(database.port(), "application_name=lost");
        CPPUNIT_ASSERT(client.connected());
        database.admin("linger lost");
        // Unlike PQfinish, this sends no message that ends the session.
        shutdown(PQsocket(client.handle()), SHUT_RDWR);
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("ok 1 1 0"), database.admin("connections"));
        database.admin("heal");
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::string("ok 0 1 0"), database.admin("connections"));
    }

    /** Guards against connections that are cheaper than those of the deployments. */
    void connectionSetUpTakesItsTime()
    {
        const database_process database({"--connect-ms", "150"});
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(pg_client(database.port()).connected());
        CPPUNIT_ASSERT(since(start) >= milliseconds(150));
    }

    /** Guards against a fault that undoes the commit whose answer it drops. */
    void droppedAnswerLeavesTheCommit()
    {
        const database_process database;
        pg_client client(database.port());
        client.run(createTable);
        database.admin("drop_answer");
        CPPUNIT_ASSERT_EQUAL(std::string("0"), database.ask("SELECT count(*) FROM t"));
        CPPUNIT_ASSERT_EQUAL(std::string("lost"), client.run("INSERT INTO t VALUES (1,'a')").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), database.ask("SELECT count(*) FROM t"));
    }

    /** Guards against a freeze that closes connections or loses a request. */
    void freezeKeepsSocketsAndResumes()
    {
        const database_process database;
        pg_client client(database.port());
        client.run(createTable);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), database.admin("freeze"));
        PQsendQuery(client.handle(), "INSERT INTO t VALUES (1,'a')");
        std::this_thread::sleep_for(milliseconds(200));
        PQconsumeInput(client.handle());
        CPPUNIT_ASSERT_EQUAL(1, PQisBusy(client.handle()));
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), database.admin("resume"));
        CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1"), nextResult(client).tag);
        PQgetResult(client.handle());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), client.run("SELECT count(*) FROM t").value());
    }

    /** Guards against faults that leave the process or its connections as they were. */
    void killsConnectionsAndCrashes()
    {
        database_process database;
        pg_client client(database.port());
        CPPUNIT_ASSERT_EQUAL(std::string("ok 1"), database.admin("kill_connections"));
        CPPUNIT_ASSERT_EQUAL(std::string("lost"), client.run("SELECT 1").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), database.ask("SELECT 1"));
        database.admin("crash");
        CPPUNIT_ASSERT_EQUAL(1, database.process().wait(std::chrono::seconds(5)).value_or(-1));
    }

    /** Guards against a crash at the end, and against files that are left behind. */
    void endsOnSigtermWithOpenConnections()
    {
        database_process database;
        const auto prefix = "databasestandin-" + std::to_string(database.process().pid()) + '-';
        const auto hasFiles = [&prefix] {
            const std::filesystem::directory_iterator entries(std::filesystem::temp_directory_path());
            return std::any_of(begin(entries), end(entries), [&prefix](const auto &entry) {
                return entry.path().filename().string().rfind(prefix, 0) == 0;
            });
        };
        pg_client client(database.port());
        client.run(createTable);
        PQsendQuery(client.handle(), "SELECT pg_sleep(30)");
        std::this_thread::sleep_for(milliseconds(100));
        CPPUNIT_ASSERT(hasFiles());
        database.process().signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, database.process().wait(std::chrono::seconds(5)).value_or(-1));
        CPPUNIT_ASSERT(!hasFiles());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(database_standin_test);
