#include "cluster.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

using namespace crocusdeal;
using namespace std::chrono_literals;

namespace
{

constexpr int instances = 2;
constexpr int rowCount = 20;
constexpr int maxRounds = 10;
/** More requests than the budget needs to allow a preemption, by sessions of one instance. */
constexpr int shortReads = 300;

const std::string quick = "0";
/** For each row, so that the statement takes 0.8 s. */
const std::string slow = "0.04";

/** A shape that is short unless the argument makes it long; the whole table. */
std::string readOf(const std::string &secondsPerRow)
{
    return "SELECT id, v, pg_sleep(" + secondsPerRow + ") FROM t ORDER BY id";
}

/** The same for a write, which takes as long as a slow read. */
std::string writeOf(const std::string &secondsPerRow)
{
    return "UPDATE counters SET n = n + 1 WHERE id = 0 AND pg_sleep(" + secondsPerRow + ") = '' AND pg_sleep("
        + (secondsPerRow == quick ? quick : "0.8") + ") = ''";
}

/** Collects what is wrong, since assertions only work on the main thread. */
class problem_list
{
public:
    void add(const std::string &problem)
    {
        const std::lock_guard lock(m_mutex);
        m_problems.insert(problem);
    }

    std::string text() const
    {
        const std::lock_guard lock(m_mutex);
        std::string all;
        for (const auto &problem : m_problems) {
            all += problem + '\n';
        }
        return all;
    }

private:
    mutable std::mutex m_mutex;
    std::set<std::string> m_problems;
};

void checkRows(const pg_outcome &outcome, const std::string &what, problem_list &problems)
{
    bool isWhole = outcome.sqlState.empty() && outcome.rows.size() == rowCount;
    for (std::size_t i = 0; isWhole && i < outcome.rows.size(); ++i) {
        const auto id = std::to_string(i);
        isWhole = outcome.rows[i][0] == id && outcome.rows[i][1] == "v" + id;
    }
    if (!isWhole) {
        problems.add(what + ": " + std::to_string(outcome.rows.size()) + " rows, SQLSTATE " + outcome.sqlState);
    }
}

/** The answer to the statement after the slow one would be a second answer to the slow one. */
void checkNextAnswer(pg_client &client, const std::string &what, problem_list &problems)
{
    if (client.run("SELECT 4711").value() != "4711") {
        problems.add(what + ": the next answer is not that of the next statement");
    }
}

void runShortReads(const cluster &cluster, std::size_t instance, int count, problem_list &problems)
{
    auto client = cluster.connect(instance);
    for (int i = 0; i < count; ++i) {
        checkRows(client.run(readOf(quick)), "short read", problems);
    }
}

void runSlowRead(const cluster &cluster, std::size_t instance, bool prepared, problem_list &problems)
{
    auto client = cluster.connect(instance);
    const std::string what = prepared ? "slow prepared read" : "slow read";
    checkRows(prepared ? client.runParameters("SELECT id, v, pg_sleep($1) FROM t ORDER BY id", {slow})
                       : client.run(readOf(slow)),
              what,
              problems);
    checkNextAnswer(client, what, problems);
}

void runSlowTransaction(const cluster &cluster, std::size_t instance, problem_list &problems)
{
    auto client = cluster.connect(instance);
    client.run("BEGIN");
    checkRows(client.run(readOf(slow)), "slow read in a transaction", problems);
    if (client.run("COMMIT").tag != "COMMIT") {
        problems.add("the transaction of a slow read did not commit");
    }
}

void runWrite(const cluster &cluster, std::size_t instance, const std::string &secondsPerRow, problem_list &problems)
{
    auto client = cluster.connect(instance);
    const auto outcome = client.run(writeOf(secondsPerRow));
    if (outcome.tag != "UPDATE 1") {
        problems.add("write: " + outcome.tag + ", SQLSTATE " + outcome.sqlState);
    }
    checkNextAnswer(client, "write", problems);
}

/** Runs no reads, which might be preempted. */
void runWrites(const cluster &cluster,
               std::size_t instance,
               const std::string &secondsPerRow,
               int count,
               problem_list &problems)
{
    auto client = cluster.connect(instance);
    for (int i = 0; i < count; ++i) {
        const auto outcome = client.run(writeOf(secondsPerRow));
        if (outcome.tag != "UPDATE 1") {
            problems.add("write: " + outcome.tag + ", SQLSTATE " + outcome.sqlState);
        }
    }
}

std::size_t preemptions(const cluster &cluster)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        const auto log = cluster.logOf(i);
        for (auto at = log.find("read preempted at "); at != std::string::npos;
             at = log.find("preempted at ", at + 1)) {
            ++count;
        }
    }
    return count;
}

void makeTables(const cluster &cluster)
{
    auto client = cluster.connect(0);
    client.run("CREATE TABLE t (id bigint PRIMARY KEY, v text)");
    client.run("CREATE TABLE counters (id bigint PRIMARY KEY, n bigint)");
    client.run("INSERT INTO counters VALUES (0, 0)");
    std::string values;
    for (int id = 0; id < rowCount; ++id) {
        values += (id == 0 ? "(" : ",(") + std::to_string(id) + ", 'v" + std::to_string(id) + "')";
    }
    CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 20"), client.run("INSERT INTO t VALUES " + values).tag);
}

}

class preemption_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(preemption_test);
    CPPUNIT_TEST(preemptedReadsAreAnsweredOnce);
    CPPUNIT_TEST(writesAreNotPreempted);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Guards against a preempted read that fails, is cut or is answered twice, against a cancelled or repeated write or
     * transaction, and against lost answers of the short reads beside them.
     */
    void preemptedReadsAreAnsweredOnce()
    {
        cluster_options options;
        options.instances = instances;
        options.slots = 2;
        // No request may be refused here: nothing in this test depends on how fast the machine is.
        options.deadlineMs = 60'000;
        const cluster cluster(options);
        makeTables(cluster);
        problem_list problems;
        int writes = 0;
        for (int round = 0; round < maxRounds && preemptions(cluster) == 0; ++round) {
            std::vector<std::jthread> learning;
            for (std::size_t instance = 0; instance < instances; ++instance) {
                learning.emplace_back([&, instance] { runShortReads(cluster, instance, shortReads, problems); });
                learning.emplace_back([&, instance] { runWrite(cluster, instance, quick, problems); });
                ++writes;
            }
            learning.clear();
            std::vector<std::jthread> load;
            for (std::size_t instance = 0; instance < instances; ++instance) {
                for (int i = 0; i < 6; ++i) {
                    load.emplace_back([&, instance, i] { runSlowRead(cluster, instance, i % 2 == 1, problems); });
                }
                load.emplace_back([&, instance] { runSlowTransaction(cluster, instance, problems); });
                load.emplace_back([&, instance] { runWrite(cluster, instance, slow, problems); });
                load.emplace_back([&, instance] { runShortReads(cluster, instance, 50, problems); });
                ++writes;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), problems.text());
        CPPUNIT_ASSERT_MESSAGE("no read was preempted", preemptions(cluster) > 0);
        CPPUNIT_ASSERT_EQUAL(std::to_string(writes),
                             cluster.connect(0).run("SELECT n FROM counters WHERE id = 0").value());
    }

    /** Guards against a write that is cancelled and repeated, where only writes and transactions hold the slots. */
    void writesAreNotPreempted()
    {
        cluster_options options;
        options.instances = instances;
        options.slots = 2;
        options.deadlineMs = 60'000;
        const cluster cluster(options);
        makeTables(cluster);
        problem_list problems;
        // Enough short requests at the primary that the budget would allow a preemption there.
        constexpr int callers = 4;
        constexpr int quickWrites = 80;
        constexpr int slowWrites = 4;
        std::vector<std::jthread> threads;
        threads.reserve(std::size_t{instances} * callers);
        for (int i = 0; i < instances * callers; ++i) {
            threads.emplace_back([&, i] { runWrites(cluster, i % instances, quick, quickWrites, problems); });
        }
        threads.clear();
        const auto before = preemptions(cluster);
        for (int i = 0; i < instances * slowWrites; ++i) {
            threads.emplace_back([&, i] { runWrites(cluster, i % instances, slow, 1, problems); });
        }
        for (std::size_t instance = 0; instance < instances; ++instance) {
            threads.emplace_back([&, instance] { runSlowTransaction(cluster, instance, problems); });
        }
        threads.clear();
        CPPUNIT_ASSERT_EQUAL(std::string(), problems.text());
        CPPUNIT_ASSERT_EQUAL(before, preemptions(cluster));
        CPPUNIT_ASSERT_EQUAL(std::to_string(instances * (callers * quickWrites + slowWrites)),
                             cluster.connect(0).run("SELECT n FROM counters WHERE id = 0").value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(preemption_test);
