#include "cluster.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <future>

using namespace crocusdeal;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds answerLimit = 10s;
const std::string insertOrder = "INSERT INTO orders (item) VALUES ('envelope') RETURNING id";

void setKey(pg_client &caller, const std::string &key)
{
    CPPUNIT_ASSERT_EQUAL(std::string(), caller.run("SET crocusdeal.request_key = '" + key + "'").sqlState);
}

}

class request_key_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_key_test);
    CPPUNIT_TEST(repeatGetsTheFirstAnswer);
    CPPUNIT_TEST(concurrentRepeatsRunOnce);
    CPPUNIT_TEST(lostAnswerIsFoundAfterAPromotion);
    CPPUNIT_TEST(killBetweenCommitAndAnswer);
    CPPUNIT_TEST(failedRequestFreesItsKey);
    CPPUNIT_TEST(refusesWhereAKeyCannotApply);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a doubled order when a caller repeats it, through any instance and by parameters as well. */
    void repeatGetsTheFirstAnswer()
    {
        cluster cluster;
        auto first = cluster.connect(0);
        first.run("CREATE TABLE orders (id integer PRIMARY KEY, item text)");
        setKey(first, "order-1");
        const auto answer = first.runWithin(insertOrder, answerLimit);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), answer.value());
        auto second = cluster.connect(1);
        setKey(second, "order-1");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), second.runWithin(insertOrder, answerLimit).value());
        setKey(second, "order-2");
        const std::string byParameter = "INSERT INTO orders (item) VALUES ($1) RETURNING id";
        CPPUNIT_ASSERT_EQUAL(std::string("2"), second.runParameters(byParameter, {"stamp"}).value());
        setKey(first, "order-2");
        CPPUNIT_ASSERT_EQUAL(std::string("2"), first.runParameters(byParameter, {"stamp"}).value());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), first.run("SELECT count(*) FROM orders").value());
    }

    /** Guards against two runs when a caller gives up and repeats while the first request still runs. */
    void concurrentRepeatsRunOnce()
    {
        cluster cluster;
        cluster.connect(0).run("CREATE TABLE orders (id integer PRIMARY KEY, item text)");
        std::vector<std::future<std::string>> answers;
        for (std::size_t i = 0; i < 6; ++i) {
            answers.push_back(std::async(std::launch::async, [&cluster, i] {
                auto caller = cluster.connect(i % 2);
                setKey(caller, "order-1");
                return caller.runWithin(insertOrder, answerLimit).value();
            }));
        }
        for (auto &answer : answers) {
            CPPUNIT_ASSERT_EQUAL(std::string("1"), answer.get());
        }
        CPPUNIT_ASSERT_EQUAL(std::string("1"), cluster.connect(0).run("SELECT count(*) FROM orders").value());
    }

    /** Guards against a doubled or lost order when the primary fails after the commit and the caller repeats. */
    void lostAnswerIsFoundAfterAPromotion()
    {
        cluster cluster;
        auto caller = cluster.connect(0);
        caller.run("CREATE TABLE orders (id integer PRIMARY KEY, item text)");
        setKey(caller, "order-1");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), caller.runWithin(insertOrder, answerLimit).value());
        cluster.killDatabase(0);
        auto other = cluster.connect(1);
        setKey(other, "order-1");
        const auto repeated = other.runWithin(insertOrder, answerLimit);
        CPPUNIT_ASSERT_EQUAL(std::string(), repeated.sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), repeated.value());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), other.runWithin("SELECT count(*) FROM orders", answerLimit).value());
    }

    /** Guards against a doubled order when the instance fails after the commit and the caller repeats elsewhere. */
    void killBetweenCommitAndAnswer()
    {
        cluster cluster;
        auto caller = cluster.connect(0);
        caller.run("CREATE TABLE orders (id integer PRIMARY KEY, item text)");
        // The first keyed request creates the table of outcomes.
        setKey(caller, "order-1");
        CPPUNIT_ASSERT_EQUAL(std::string("1"), caller.runWithin(insertOrder, answerLimit).value());
        setKey(caller, "order-2");
        cluster.database(0).admin("drop_answer silence");
        CPPUNIT_ASSERT_EQUAL(1, PQsendQuery(caller.handle(), insertOrder.c_str()));
        CPPUNIT_ASSERT(
            waitFor(answerLimit, [&] { return cluster.database(0).ask("SELECT count(*) FROM orders") == "2"; }));
        CPPUNIT_ASSERT_EQUAL(1, PQconsumeInput(caller.handle()));
        CPPUNIT_ASSERT_EQUAL(1, PQisBusy(caller.handle()));
        cluster.killInstance(0);
        auto other = cluster.connect(1);
        setKey(other, "order-2");
        const auto repeated = other.runWithin(insertOrder, answerLimit);
        CPPUNIT_ASSERT_EQUAL(std::string(), repeated.sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), repeated.value());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), other.run("SELECT count(*) FROM orders").value());
    }

    /** Guards against a key that stays taken although its request had no effect. */
    void failedRequestFreesItsKey()
    {
        cluster cluster;
        auto caller = cluster.connect(0);
        caller.run("CREATE TABLE orders (id integer PRIMARY KEY, item text)");
        caller.run("INSERT INTO orders VALUES (1, 'there')");
        setKey(caller, "order-1");
        CPPUNIT_ASSERT(!caller.runWithin("INSERT INTO orders VALUES (1, 'again')", answerLimit).sqlState.empty());
        const auto second = caller.runWithin("INSERT INTO orders VALUES (2, 'again') RETURNING id", answerLimit);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), second.value());
    }

    /** Guards against a key that is accepted and then has no effect. */
    void refusesWhereAKeyCannotApply()
    {
        cluster cluster;
        auto caller = cluster.connect(0);
        caller.run("CREATE TABLE orders (id integer PRIMARY KEY, item text)");
        setKey(caller, "order-1");
        CPPUNIT_ASSERT_EQUAL(std::string("0A000"), caller.run("BEGIN").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string("22023"), caller.run("SET crocusdeal.request_key = ''").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.run("RESET crocusdeal.request_key").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.run("BEGIN").sqlState);
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.run("ROLLBACK").sqlState);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_key_test);
