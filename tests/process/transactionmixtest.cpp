#include "cluster.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <thread>

using namespace crocusdeal;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds answerLimit = 20s;
constexpr unsigned seed = 20261204;
constexpr int callers = 8;

/** Few connections and slots, so that many sessions share each target connection. */
cluster_options crowded()
{
    cluster_options options;
    options.connections = 12;
    options.slots = 3;
    return options;
}

/** What the callers did, and the first answer that was not theirs. */
class mix_log
{
public:
    void committed(const std::string &tag)
    {
        const std::lock_guard lock(m_mutex);
        m_committed.insert(tag);
    }

    void unknown(const std::string &tag)
    {
        const std::lock_guard lock(m_mutex);
        m_unknown.insert(tag);
    }

    void wrong(const std::string &what)
    {
        const std::lock_guard lock(m_mutex);
        m_wrong = m_wrong.empty() ? what : m_wrong;
    }

    /** For the main thread after the callers have ended. */
    std::set<std::string> m_committed;
    std::set<std::string> m_unknown;
    std::string m_wrong;

private:
    std::mutex m_mutex;
};

/** One caller that runs transactions with tags of its own until stopped. */
class mixing_caller
{
public:
    mixing_caller(const cluster &target, mix_log &log, int number)
        : m_cluster(target)
        , m_log(log)
        , m_number(number)
        , m_random(seed + static_cast<unsigned>(number))
        , m_client(connect())
    {
    }

    void run(const std::atomic<bool> &stopped)
    {
        while (!stopped) {
            step();
        }
    }

    int cancelled() const
    {
        return m_cancelled;
    }

private:
    pg_client connect() const
    {
        return m_cluster.connect(static_cast<std::size_t>(m_number) % 2);
    }

    std::string nextTag()
    {
        return std::to_string(m_number) + "-" + std::to_string(++m_count);
    }

    void step()
    {
        if (!m_client.connected()) {
            m_client = connect();
        }
        switch (m_random() % 8) {
        case 0:
            abandonTransaction();
            break;
        case 1:
            abandonAnswer();
            break;
        case 2:
            cancel();
            break;
        case 3:
        case 4:
            transaction(true);
            break;
        case 5:
            transaction(false);
            break;
        default:
            readTag();
        }
    }

    /** Runs a statement; anything but an answer or a truthful refusal is wrong. */
    pg_outcome ask(const std::string &sql)
    {
        auto outcome = m_client.runWithin(sql, answerLimit);
        const auto &state = outcome.sqlState;
        if (!state.empty() && state != "57P03" && state != "53300" && state != "08007" && state != "40001"
            && state != "25P02") {
            m_log.wrong(sql + " told " + state + ": " + m_client.error());
        }
        return outcome;
    }

    void readTag()
    {
        const auto tag = nextTag();
        const auto outcome = ask("SELECT '" + tag + "'");
        if (outcome.sqlState.empty() && outcome.value() != tag) {
            m_log.wrong("asked for " + tag + ", got " + outcome.value());
        }
    }

    bool insertPair(const std::string &tag)
    {
        if (!ask("BEGIN").sqlState.empty()) {
            return false;
        }
        const bool first = ask("INSERT INTO mix VALUES ('" + tag + "', 1)").sqlState.empty();
        readTag();
        const bool second = first && ask("INSERT INTO mix VALUES ('" + tag + "', 2)").sqlState.empty();
        const auto rows = second ? ask("SELECT count(*) FROM mix WHERE tag = '" + tag + "'") : pg_outcome();
        if (second && rows.sqlState.empty() && rows.value() != "2") {
            m_log.wrong("own transaction shows " + rows.value() + " rows of " + tag);
        }
        return second;
    }

    void transaction(bool commits)
    {
        const auto tag = nextTag();
        const bool whole = insertPair(tag);
        const auto end = ask(commits && whole ? "COMMIT" : "ROLLBACK");
        if (commits && whole && end.sqlState.empty() && end.tag == "COMMIT") {
            m_log.committed(tag);
        } else if (commits && whole && end.sqlState == "08007") {
            m_log.unknown(tag);
        }
    }

    /** The caller's socket closes without a Terminate message. */
    void abandonTransaction()
    {
        if (ask("BEGIN").sqlState.empty()) {
            ask("INSERT INTO mix VALUES ('" + nextTag() + "', 1)");
        }
        ::shutdown(PQsocket(m_client.handle()), SHUT_RDWR);
        m_client = connect();
    }

    void abandonAnswer()
    {
        PQsendQuery(m_client.handle(), ("SELECT repeat('" + nextTag() + "', 300000)").c_str());
        std::this_thread::sleep_for(std::chrono::milliseconds(m_random() % 4));
        ::shutdown(PQsocket(m_client.handle()), SHUT_RDWR);
        m_client = connect();
    }

    /** Cancels around the end of a statement, so that a late cancellation could meet another session's statement. */
    void cancel()
    {
        const auto tag = nextTag();
        PQsendQuery(m_client.handle(), ("SELECT '" + tag + "' FROM (SELECT pg_sleep(0.005))").c_str());
        std::this_thread::sleep_for(std::chrono::milliseconds(m_random() % 9));
        auto *request = PQgetCancel(m_client.handle());
        char reason[256] = {};
        PQcancel(request, reason, sizeof reason);
        PQfreeCancel(request);
        while (auto *result = PQgetResult(m_client.handle())) {
            const auto outcome = m_client.outcomeOf(result);
            if (outcome.sqlState == "57014") {
                ++m_cancelled;
            } else if (outcome.sqlState.empty() && outcome.value() != tag) {
                m_log.wrong("asked for " + tag + ", got " + outcome.value());
            }
        }
        // The protocol allows that a late cancellation hits the next statement of the same session, but of no other.
        m_client.runWithin("SELECT 1", answerLimit);
    }

    const cluster &m_cluster;
    mix_log &m_log;
    int m_number;
    std::mt19937 m_random;
    int m_count = 0;
    int m_cancelled = 0;
    pg_client m_client;
};

}

class transaction_mix_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(transaction_mix_test);
    CPPUNIT_TEST(transactionsNeverMix);
    CPPUNIT_TEST(abandonedTransactionsFreeTheirConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Guards against answers for another session, cancellations that hit another session's statement, rows of
     * transactions that were rolled back or abandoned, and halves of transactions.
     */
    void transactionsNeverMix()
    {
        cluster cluster(crowded());
        cluster.connect(0).run("CREATE TABLE mix (tag text, part bigint)");
        mix_log log;
        std::atomic<bool> stopped = false;
        std::atomic<int> cancelled = 0;
        std::vector<std::thread> threads;
        for (int number = 0; number < callers; ++number) {
            threads.emplace_back([&, number] {
                mixing_caller caller(cluster, log, number);
                caller.run(stopped);
                cancelled += caller.cancelled();
            });
        }
        std::this_thread::sleep_for(5s);
        stopped = true;
        for (auto &thread : threads) {
            thread.join();
        }
        for (const std::size_t instance : {0, 1}) {
            const auto ended = cluster.instance(instance).wait(0ms);
            CPPUNIT_ASSERT_MESSAGE("ended with " + std::to_string(ended.value_or(0)), !ended.has_value());
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), log.m_wrong);
        const auto rows =
            pg_client(cluster.database(0).port()).run("SELECT tag, count(*), sum(part) FROM mix GROUP BY tag");
        std::set<std::string> found;
        for (const auto &row : rows.rows) {
            const bool expected = log.m_committed.contains(row.at(0)) || log.m_unknown.contains(row.at(0));
            CPPUNIT_ASSERT_MESSAGE("not committed: " + row.at(0), expected);
            CPPUNIT_ASSERT_EQUAL(row.at(0) + " 2 3", row.at(0) + ' ' + row.at(1) + ' ' + row.at(2));
            found.insert(row.at(0));
        }
        for (const auto &tag : log.m_committed) {
            CPPUNIT_ASSERT_MESSAGE("committed and missing: " + tag, found.contains(tag));
        }
        std::cout << "\n"
                  << log.m_committed.size() << " committed, " << log.m_unknown.size() << " unknown, " << cancelled
                  << " cancelled" << std::endl;
        CPPUNIT_ASSERT(log.m_committed.size() > 10);
        CPPUNIT_ASSERT(cancelled > 0);
    }

    /** Guards against connections and locks that stay taken after callers vanished in the middle of transactions. */
    void abandonedTransactionsFreeTheirConnections()
    {
        cluster cluster(crowded());
        cluster.connect(0).run("CREATE TABLE mix (tag text, part bigint)");
        for (int i = 0; i < 30; ++i) {
            auto caller = cluster.connect(static_cast<std::size_t>(i) % 2);
            CPPUNIT_ASSERT_EQUAL(std::string(), caller.runWithin("BEGIN", answerLimit).sqlState);
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 caller.runWithin("INSERT INTO mix VALUES ('gone', 1)", answerLimit).sqlState);
            ::shutdown(PQsocket(caller.handle()), SHUT_RDWR);
        }
        auto last = cluster.connect(0);
        CPPUNIT_ASSERT_EQUAL(std::string("0"), last.runWithin("SELECT count(*) FROM mix", answerLimit).value());
        CPPUNIT_ASSERT_EQUAL(std::string("INSERT 0 1"),
                             last.runWithin("INSERT INTO mix VALUES ('kept', 1)", answerLimit).tag);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(transaction_mix_test);
