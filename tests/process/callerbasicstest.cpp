#include "cluster.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <thread>

using namespace crocusdeal;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds answerLimit = 20s;
/** A start-up has to be complete within 10 s, section 4.1 of the design. */
constexpr std::chrono::milliseconds startupLimit = 10s;

const std::string ok;

/** What the instance answers to raw bytes until it closes the connection; nothing if it does not close it in time. */
std::optional<std::string> answerToBytes(std::uint16_t port,
                                         const std::string &bytes,
                                         std::chrono::milliseconds timeout)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(0, connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address));
    send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string answer;
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    bool closed = false;
    while (!closed && std::chrono::steady_clock::now() < deadline) {
        pollfd ready{descriptor, POLLIN, 0};
        char buffer[1024];
        if (poll(&ready, 1, 50) <= 0) {
            continue;
        }
        const auto count = recv(descriptor, buffer, sizeof buffer, 0);
        closed = count <= 0;
        answer.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    close(descriptor);
    return closed ? std::optional(answer) : std::nullopt;
}

std::string int32(std::uint32_t value)
{
    const auto bytes = htonl(value);
    return {reinterpret_cast<const char *>(&bytes), sizeof bytes};
}

std::string startupPacket(const std::string &parameters)
{
    constexpr std::uint32_t protocol3 = 196608;
    const auto length = static_cast<std::uint32_t>(2 * sizeof(std::uint32_t) + parameters.size());
    return int32(length) + int32(protocol3) + parameters;
}

std::string fileText(const std::filesystem::path &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

struct psql_result {
    int status = -1;
    std::string output;
    std::string errors;
};

psql_result psql(const cluster &cluster, const std::vector<std::string> &commands, const std::string &parameters = "")
{
    const auto errors = cluster.directory() / "psql-errors";
    std::filesystem::remove(errors);
    std::vector<std::string> arguments{
        "-X",
        "-A",
        "-t",
        "-q",
        "host=127.0.0.1 user=test dbname=orders port=" + std::to_string(cluster.callerPort(0)) + ' ' + parameters};
    for (const auto &command : commands) {
        arguments.insert(arguments.end(), {"-c", command});
    }
    child_process program("/usr/bin/psql", arguments, errors);
    psql_result result;
    while (auto line = program.readLine(answerLimit)) {
        result.output += *line + '\n';
    }
    result.status = program.wait(answerLimit).value_or(-1);
    result.errors = fileText(errors);
    return result;
}

}

class caller_basics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_basics_test);
    CPPUNIT_TEST(statements);
    CPPUNIT_TEST(preparedStatements);
    CPPUNIT_TEST(largeResults);
    CPPUNIT_TEST(cancelledStatement);
    CPPUNIT_TEST(refusals);
    CPPUNIT_TEST(malformedStartups);
    CPPUNIT_TEST(incompleteStartup);
    CPPUNIT_TEST(psqlProgram);
    CPPUNIT_TEST(encryptedConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against statements and transactions that behave otherwise than at the database. */
    void statements()
    {
        const cluster cluster;
        auto client = cluster.connect(0);
        CPPUNIT_ASSERT_EQUAL(std::string("CREATE TABLE"),
                             client.run("CREATE TABLE t (id bigint PRIMARY KEY, v text)").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1"), client.run("INSERT INTO t VALUES (1, 'a')").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("23505"), client.run("INSERT INTO t VALUES (1, 'b')").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), client.run("SELECT v FROM t WHERE id = 1").value());
        CPPUNIT_ASSERT_EQUAL(std::string("BEGIN"), client.run("BEGIN").tag);
        client.run("UPDATE t SET v = 'b' WHERE id = 1");
        CPPUNIT_ASSERT_EQUAL(std::string("b"), client.run("SELECT v FROM t WHERE id = 1").value());
        CPPUNIT_ASSERT_EQUAL(std::string("ROLLBACK"), client.run("ROLLBACK").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), client.run("SELECT v FROM t WHERE id = 1").value());
        client.run("BEGIN");
        client.run("INSERT INTO t VALUES (2, 'c')");
        CPPUNIT_ASSERT_EQUAL(std::string("42601"), client.run("SELEC 1").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("25P02"), client.run("SELECT 1").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("ROLLBACK"), client.run("COMMIT").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("42601"), client.run("SELEC 1").sqlState);
        client.run("BEGIN");
        client.run("INSERT INTO t VALUES (3, 'd')");
        CPPUNIT_ASSERT_EQUAL(std::string("COMMIT"), client.run("COMMIT").tag);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), cluster.connect(1).run("SELECT count(*) FROM t").value());
        CPPUNIT_ASSERT_EQUAL(ok, client.run("").sqlState);
    }

    /** Guards against prepared statements that are lost when a session gets another target connection. */
    void preparedStatements()
    {
        const cluster cluster;
        auto client = cluster.connect(0);
        client.run("CREATE TABLE t (id bigint, v text)");
        auto *handle = client.handle();
        CPPUNIT_ASSERT_EQUAL(
            ok, client.outcomeOf(PQprepare(handle, "put", "INSERT INTO t VALUES ($1, $2)", 0, nullptr)).sqlState);
        CPPUNIT_ASSERT_EQUAL(
            ok, client.outcomeOf(PQprepare(handle, "get", "SELECT v FROM t WHERE id = $1", 0, nullptr)).sqlState);
        for (int id = 1; id <= 20; ++id) {
            const auto text = std::to_string(id);
            const auto value = "v" + text;
            const char *both[] = {text.c_str(), value.c_str()};
            CPPUNIT_ASSERT_EQUAL(
                ok, client.outcomeOf(PQexecPrepared(handle, "put", 2, both, nullptr, nullptr, 0)).sqlState);
            CPPUNIT_ASSERT_EQUAL(value,
                                 client.outcomeOf(PQexecPrepared(handle, "get", 1, both, nullptr, nullptr, 0)).value());
            CPPUNIT_ASSERT_EQUAL(value, client.runParameters("SELECT v FROM t WHERE id = $1", {text}).value());
            if (id % 5 == 0) {
                // All connections of the instance to its targets end; the next statement needs a new one.
                for (const std::size_t database : {0, 1, 2}) {
                    cluster.database(database).admin("kill_connections");
                }
                std::this_thread::sleep_for(50ms);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string("20"), cluster.database(0).ask("SELECT count(*) FROM t"));
        const char *one[] = {"1"};
        CPPUNIT_ASSERT_EQUAL(std::string("26000"),
                             client.outcomeOf(PQexecPrepared(handle, "none", 1, one, nullptr, nullptr, 0)).sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"),
                             client.outcomeOf(PQexecPrepared(handle, "get", 1, one, nullptr, nullptr, 0)).value());
    }

    /** Guards against answers that are cut or mixed up at the limits of buffers. */
    void largeResults()
    {
        const cluster cluster;
        auto client = cluster.connect(0);
        constexpr std::size_t tenMegabytes = 10'000'000;
        const auto large = client.run("SELECT repeat('0123456789', 1000000)");
        CPPUNIT_ASSERT_EQUAL(ok, large.sqlState);
        CPPUNIT_ASSERT_EQUAL(tenMegabytes, large.value().size());
        client.run("CREATE TABLE t (id bigint)");
        std::string values = "(0)";
        for (int id = 1; id < 1000; ++id) {
            values += ",(" + std::to_string(id) + ")";
        }
        CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1000"), client.run("INSERT INTO t VALUES " + values).tag);
        const auto rows = client.run("SELECT id FROM t ORDER BY id");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, rows.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("999"), rows.rows.back().front());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), client.run("SELECT 1").value());
    }

    /** Guards against a cancellation that does not reach the database or that ends the session. */
    void cancelledStatement()
    {
        const cluster cluster;
        auto client = cluster.connect(0);
        PQsendQuery(client.handle(), "SELECT pg_sleep(15)");
        std::this_thread::sleep_for(200ms);
        const auto cancelled = std::chrono::steady_clock::now();
        auto *request = PQgetCancel(client.handle());
        char reason[256] = {};
        CPPUNIT_ASSERT_EQUAL(1, PQcancel(request, reason, sizeof reason));
        PQfreeCancel(request);
        CPPUNIT_ASSERT_EQUAL(std::string("57014"), client.outcomeOf(PQgetResult(client.handle())).sqlState);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - cancelled < 5s);
        CPPUNIT_ASSERT(PQgetResult(client.handle()) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), client.run("SELECT 1").value());
    }

    /** Guards against unsupported requests that hang, end the session without a reason or reach a database. */
    void refusals()
    {
        const cluster cluster;
        auto client = cluster.connect(0);
        client.run("CREATE TABLE t (id bigint)");
        CPPUNIT_ASSERT_EQUAL(std::string("0A000"), client.runWithin("COPY t FROM STDIN", answerLimit).sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("0A000"), client.runWithin("COPY t TO STDOUT", answerLimit).sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), client.run("SELECT count(*) FROM t").value());
        const auto unknown = cluster.connect(0, "dbname=unknown");
        CPPUNIT_ASSERT(!unknown.connected());
        CPPUNIT_ASSERT_MESSAGE(unknown.error(), unknown.error().find("unknown") != std::string::npos);
        const auto replication = cluster.connect(0, "replication=database");
        CPPUNIT_ASSERT(!replication.connected());
        CPPUNIT_ASSERT_MESSAGE(replication.error(), replication.error().find("FATAL") != std::string::npos);
        // The limit is 16 MB a message.
        constexpr std::size_t tooMuch = 17 * 1024 * 1024;
        auto big = cluster.connect(0);
        const auto refused = big.runWithin("SELECT '" + std::string(tooMuch, 'x') + "'", answerLimit);
        CPPUNIT_ASSERT(refused.sqlState == "08P01" || refused.sqlState == "lost");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), client.run("SELECT 1").value());
    }

    /** Guards against start-ups that take memory or the instance with them. */
    void malformedStartups()
    {
        const cluster cluster;
        const auto port = cluster.callerPort(0);
        const std::string zero(1, '\0');
        const std::vector<std::string> startups{
            int32(0x7fffffff) + int32(196608),
            int32(20'000) + int32(196608) + std::string(20'000, 'x'),
            int32(0),
            int32(4),
            startupPacket("user"),
            startupPacket("user" + zero + "test" + zero + "database"),
            int32(8) + int32(131072),
            "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            startupPacket("user" + zero + "test" + zero + "database" + zero + "orders" + zero + zero) + "Q" + int32(3),
            startupPacket("user" + zero + "test" + zero + "database" + zero + "orders" + zero + zero) + "Q"
                + int32(0x7fffffff),
            startupPacket("user" + zero + "test" + zero + "database" + zero + "orders" + zero + zero) + "?" + int32(4),
        };
        for (std::size_t i = 0; i < startups.size(); ++i) {
            const auto answer = answerToBytes(port, startups[i], answerLimit);
            CPPUNIT_ASSERT_MESSAGE("start-up " + std::to_string(i) + " was not ended", answer.has_value());
        }
        CPPUNIT_ASSERT_EQUAL(std::string("1"), cluster.connect(0).run("SELECT 1").value());
        CPPUNIT_ASSERT(!cluster.instance(0).wait(0ms).has_value());
    }

    /** Guards against callers that hold a connection without a start-up for ever. */
    void incompleteStartup()
    {
        const cluster cluster;
        const auto begin = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(answerToBytes(cluster.callerPort(0), int32(100).substr(0, 2), startupLimit + 3s).has_value());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin > startupLimit - 1s);
    }

    /** Guards against a protocol that only this project's own test client understands. */
    void psqlProgram()
    {
        const cluster cluster;
        const auto result = psql(cluster,
                                 {"CREATE TABLE t (id bigint, v text)",
                                  "INSERT INTO t VALUES (1, 'a'), (2, 'b')",
                                  "BEGIN",
                                  "INSERT INTO t VALUES (3, 'c')",
                                  "ROLLBACK",
                                  "SELECT id, v FROM t ORDER BY id"});
        CPPUNIT_ASSERT_EQUAL(std::string(), result.errors);
        CPPUNIT_ASSERT_EQUAL(std::string("1|a\n2|b\n"), result.output);
        CPPUNIT_ASSERT_EQUAL(0, result.status);
        const auto failed = psql(cluster, {"SELEC 1"});
        CPPUNIT_ASSERT_MESSAGE(failed.errors, failed.errors.find("ERROR") != std::string::npos);
        const auto copy = psql(cluster, {"COPY t TO STDOUT"});
        CPPUNIT_ASSERT_MESSAGE(copy.errors, copy.errors.find("COPY is not supported") != std::string::npos);
    }

    /** Guards against connections that are not encrypted although the caller requires it. */
    void encryptedConnections()
    {
        cluster_options options;
        options.tls = true;
        const cluster cluster(options);
        auto client = cluster.connect(0, "sslmode=require");
        CPPUNIT_ASSERT_MESSAGE(client.error(), client.connected());
        CPPUNIT_ASSERT_EQUAL(1, PQsslInUse(client.handle()));
        client.run("CREATE TABLE t (id bigint)");
        client.run("INSERT INTO t VALUES (1)");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), client.run("SELECT count(*) FROM t").value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5'000'000}, client.run("SELECT repeat('01234', 1000000)").value().size());
        const auto root = (cluster.directory() / "certificate.pem").string();
        CPPUNIT_ASSERT(cluster.connect(0, "sslmode=verify-ca sslrootcert=" + root).connected());
        CPPUNIT_ASSERT(cluster.connect(0).connected()); // sslmode=disable
        const auto result = psql(cluster, {"SELECT count(*) FROM t"}, "sslmode=require");
        CPPUNIT_ASSERT_EQUAL(std::string("1\n"), result.output + result.errors);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_basics_test);
