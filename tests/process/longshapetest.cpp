#include "cluster.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <iterator>
#include <regex>
#include <string>

using namespace crocusdeal;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds startLimit = 10s;
constexpr std::chrono::milliseconds shareLimit = 5s;

/** Executions of at least 200 ms that the instance logged, under a permit or not. */
std::ptrdiff_t executions(const std::string &log, const std::string &how)
{
    const std::regex line("ran [0-9]{3,} ms " + how + " a permit");
    return std::distance(std::sregex_iterator(log.begin(), log.end(), line), std::sregex_iterator());
}

}

class long_shape_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(long_shape_test);
    CPPUNIT_TEST(restartedInstanceTakesOverLongShapes);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a restarted instance that fills all slots with executions of a long shape, which the other
     * instance has learnt, because its own first executions run without a permit. */
    void restartedInstanceTakesOverLongShapes()
    {
        cluster cluster;
        const std::string longStatement = "SELECT pg_sleep(0.6)";
        auto first = cluster.connect(0);
        for (int i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string(), first.runWithin(longStatement, startLimit).sqlState);
        }
        cluster.killInstance(1);
        cluster.startInstance(1);
        CPPUNIT_ASSERT(cluster.waitUntilServing(1, startLimit));
        const auto learnt = [&] { return cluster.logOf(1).find("took over 1 statement shapes") != std::string::npos; };
        CPPUNIT_ASSERT(waitFor(shareLimit, learnt));
        auto restarted = cluster.connect(1);
        CPPUNIT_ASSERT_EQUAL(std::string(), restarted.runWithin(longStatement, startLimit).sqlState);
        const auto logged = [&] { return executions(cluster.logOf(1), "under") == 1; };
        CPPUNIT_ASSERT(waitFor(shareLimit, logged));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), executions(cluster.logOf(1), "without"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(long_shape_test);
