#include "statementclassifier.h"
#include "statementcache.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace crocusdeal;
using cls = statement_class;

namespace
{

void check(const std::vector<std::pair<std::string, cls>> &cases)
{
    for (const auto &[text, expected] : cases) {
        const auto actual = classifyStatement(text).cls;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            text, std::string(statementClassNames.name(expected)), std::string(statementClassNames.name(actual)));
    }
}

std::string repeated(const std::string &part, int count)
{
    std::string text;
    while (count-- > 0) {
        text += part;
    }
    return text;
}

}

class statement_classifier_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(statement_classifier_test);
    CPPUNIT_TEST(sendsOnlyHarmlessQueriesToReplicas);
    CPPUNIT_TEST(findsWritesInQueries);
    CPPUNIT_TEST(pinsSessionsWithState);
    CPPUNIT_TEST(recognisesTransactionControl);
    CPPUNIT_TEST(readsProxySettings);
    CPPUNIT_TEST(takesTheStrongestOfSeveralStatements);
    CPPUNIT_TEST(listsTables);
    CPPUNIT_TEST(ignoresConstantsInFingerprints);
    CPPUNIT_TEST(survivesHostileTexts);
    CPPUNIT_TEST(boundsTheCache);
    CPPUNIT_TEST(parsesEachTextOnce);
    CPPUNIT_TEST(servesManyThreads);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against sending all reads to the primary. */
    void sendsOnlyHarmlessQueriesToReplicas()
    {
        check({{"", cls::Empty},
               {" ; -- nothing\n;", cls::Empty},
               {"SELECT count(*), lower(a), coalesce(b, now()) FROM t WHERE id = $1", cls::Read},
               {"select pg_sleep(0.1), pg_catalog.repeat('x', 3), version()", cls::Read},
               {"select * from generate_series(1, 3) g where g in (select id from t)", cls::Read},
               {"with x as (select 1) select * from x", cls::Read},
               {"values (1), (2)", cls::Read},
               {"show server_version", cls::Read},
               {"explain insert into t values (1)", cls::Read},
               {"explain (analyze off) insert into t values (1)", cls::Read},
               {"explain (analyze 0) insert into t values (1)", cls::Read},
               {"explain analyze select 1", cls::Read}});
    }

    /** Guards against running a hidden write on a replica. */
    void findsWritesInQueries()
    {
        check({{"select nextval('s')", cls::Write},
               {"select my_function(1)", cls::Write},
               {"select app.lower('x')", cls::Write},
               {"select * from t order by unknown_function(a)", cls::Write},
               {"select * from t for update", cls::Write},
               {"select * from (select * from t for share) s", cls::Write},
               {"with d as (delete from t returning *) select * from d", cls::Write},
               {"select * into copy_of_t from t", cls::Write},
               {"explain analyze update t set a = 1", cls::Write},
               {"explain (analyze 1) update t set a = 1", cls::Write},
               {"select set_config('x.y', '1', true)", cls::Write},
               {"insert into t values (1) returning id", cls::Write},
               {"create table t (a int)", cls::Write},
               {"do $$ begin end $$", cls::Write},
               {"selec 1", cls::Invalid}});
        CPPUNIT_ASSERT(classifyStatement("insert into t values (1) returning id").returnsRows);
        CPPUNIT_ASSERT(!classifyStatement("insert into t select * from u").returnsRows);
    }

    /** Guards against handing a connection with one session's state to another session. */
    void pinsSessionsWithState()
    {
        check({{"set search_path = app", cls::SessionState},
               {"reset all", cls::SessionState},
               {"set role admin", cls::SessionState},
               {"listen events", cls::SessionState},
               {"create temp table t (a int)", cls::SessionState},
               {"create temporary table t as select 1", cls::SessionState},
               {"select * into temp t from u", cls::SessionState},
               {"insert into pg_temp.t values (1)", cls::SessionState},
               {"select pg_advisory_lock(1)", cls::SessionState},
               {"select 1 where pg_try_advisory_lock(1)", cls::SessionState},
               {"select set_config('x.y', '1', false)", cls::SessionState},
               {"prepare p as select 1", cls::SessionState},
               {"execute p", cls::SessionState},
               {"explain execute p", cls::SessionState},
               {"deallocate p", cls::SessionState},
               {"declare c cursor with hold for select 1", cls::SessionState},
               {"declare c cursor for select 1", cls::Read},
               {"copy t to stdout", cls::Copy}});
        CPPUNIT_ASSERT(classifyStatement("discard all").discardsState);
    }

    /** Guards against starting a transaction that may write on a replica, and against missing its end. */
    void recognisesTransactionControl()
    {
        check({{"begin", cls::Begin},
               {"start transaction isolation level serializable, read only", cls::BeginReadOnly},
               {"begin read write", cls::Begin},
               {"end", cls::Commit},
               {"abort", cls::Rollback},
               {"savepoint s", cls::TransactionControl},
               {"rollback to s", cls::TransactionControl},
               {"set local statement_timeout = 5", cls::TransactionControl},
               {"set transaction read only", cls::TransactionControl},
               {"prepare transaction 'x'", cls::Commit}});
        CPPUNIT_ASSERT(classifyStatement("insert into t values (1); commit").endsTransaction);
        CPPUNIT_ASSERT(!classifyStatement("rollback to s").endsTransaction);
    }

    /** Guards against forwarding the proxy's own settings to a database. */
    void readsProxySettings()
    {
        using action = setting_action;
        const auto only = [](const char *text) {
            const auto info = classifyStatement(text);
            CPPUNIT_ASSERT_MESSAGE(text, info.cls == cls::ProxySetting && info.settings.size() == 1);
            return info.settings.front();
        };
        CPPUNIT_ASSERT(only("SET Crocusdeal.session = 'g:1/2'")
                       == (proxy_setting{action::Set, "crocusdeal.session", "g:1/2", false}));
        CPPUNIT_ASSERT(only("set local crocusdeal.max_staleness to 500")
                       == (proxy_setting{action::Set, "crocusdeal.max_staleness", "500", true}));
        CPPUNIT_ASSERT(only("set crocusdeal.max_staleness = 0").value == "0");
        CPPUNIT_ASSERT(only("reset crocusdeal.request_key").action == action::Reset);
        CPPUNIT_ASSERT(only("set crocusdeal.request_key to default").action == action::Reset);
        CPPUNIT_ASSERT(only("show crocusdeal.session").action == action::Show);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), classifyStatement("set crocusdeal.x = 1; select 1").settings.size());
    }

    /** Guards against judging a text by its first statement. */
    void takesTheStrongestOfSeveralStatements()
    {
        check({{"select 1; insert into t values (1)", cls::Write},
               {"insert into t values (1); select 1", cls::Write},
               {"select 1; listen x; select 2", cls::SessionState},
               {"begin; select 1", cls::Write},
               {"begin read only; commit", cls::Write},
               {"discard all; select 1; copy t to stdout", cls::Copy}});
        CPPUNIT_ASSERT(classifyStatement("select 1; select 2").multi);
        CPPUNIT_ASSERT(!classifyStatement("select 1;").multi);
        CPPUNIT_ASSERT(!classifyStatement("discard all; set a.b = 1").discardsState);
    }

    /** Guards against a stale read of a table that must be fresh because its name looks like another one's. */
    void listsTables()
    {
        using names = std::vector<std::string>;
        CPPUNIT_ASSERT(classifyStatement("select * from b join s.a on true where x in (select 1 from b)").tables
                       == (names{"b", "s.a"}));
        CPPUNIT_ASSERT(classifyStatement("with c as (select * from c) select * from c").tables == names{"c"});
        CPPUNIT_ASSERT(classifyStatement("with c as (select * from t) select * from c").tables == names{"t"});
        CPPUNIT_ASSERT(classifyStatement("with recursive c as (select 1 from c) select * from c").tables.empty());
        CPPUNIT_ASSERT(classifyStatement("select * from c, (with c as (select 1) select * from c) x").tables
                       == names{"c"});
    }

    /** Guards against learning a running time for each constant. */
    void ignoresConstantsInFingerprints()
    {
        CPPUNIT_ASSERT_EQUAL(classifyStatement("select * from t where a = 1").fingerprint,
                             classifyStatement("SELECT * FROM t WHERE a = 'x'").fingerprint);
        CPPUNIT_ASSERT(classifyStatement("select * from t").fingerprint
                       != classifyStatement("select * from u").fingerprint);
    }

    /** Guards against a stack overflow in the parser or here, and against hiding session state in a text too long to
     * parse or not in UTF-8. */
    void survivesHostileTexts()
    {
        check({{"select 1" + repeated("+1", 8000), cls::SessionState},
               {"select 1" + repeated("+1", 400000), cls::Write},
               {"select " + repeated("(", 8000) + "1" + repeated(")", 8000), cls::Read},
               {"select pg_advisory_lock(1)" + repeated(" ", 20000), cls::SessionState},
               {"insert into t values (1); listen x;" + repeated(" ", 20000), cls::SessionState},
               {"/* */ listen x" + repeated(" ", 20000), cls::SessionState},
               {"insert into t values (1)" + repeated(",(1)", 20000) + " ; ", cls::Write},
               {"select '\xe4\x01\\'", cls::Read},
               {"select pg_advisory_lock(1), '\xe4'", cls::SessionState}});
    }

    /** Guards against memory that grows with the number or the size of the texts. */
    void boundsTheCache()
    {
        statement_cache cache(1, {64, 65536});
        for (int i = 0; i < 500; ++i) {
            cache.classify("select " + std::to_string(i));
            cache.classify("set crocusdeal.session = '" + std::string(1000 + i, 'x') + "'");
        }
        CPPUNIT_ASSERT(cache.counts().entries > 0 && cache.counts().entries <= 64);
        CPPUNIT_ASSERT(cache.counts().bytes <= 65536);
    }

    /** Guards against paying for the parser on every statement. */
    void parsesEachTextOnce()
    {
        statement_cache cache(1);
        const auto first = cache.classify("select 1");
        CPPUNIT_ASSERT(first == cache.classify("select 1"));
        CPPUNIT_ASSERT(first != cache.classify("select 2"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), cache.counts().hits);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), cache.counts().misses);
    }

    /** Guards against data races between worker threads, which ThreadSanitizer reports, and against parser state that
     * threads share. */
    void servesManyThreads()
    {
        statement_cache cache(1, {64, 1048576});
        std::vector<std::thread> threads;
        std::atomic<int> wrong = 0;
        threads.reserve(4);
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&cache, &wrong] {
                for (int i = 0; i < 500; ++i) {
                    const auto number = std::to_string(i % 100);
                    wrong += cache.classify("select " + number)->cls == cls::Read ? 0 : 1;
                    wrong += cache.classify("insert into t values (" + number + ")")->cls == cls::Write ? 0 : 1;
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(0, wrong.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(statement_classifier_test);
