#include "metrics.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace crocusdeal;
using std::chrono::microseconds;

class metrics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(countsFromManyThreads);
    CPPUNIT_TEST(rendersPrometheusText);
    CPPUNIT_TEST(boundsQuantiles);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against counts lost when threads record at the same time. */
    void countsFromManyThreads()
    {
        constexpr int threadCount = 12;
        constexpr int perThread = 5000;
        metric_registry registry;
        std::vector<std::thread> threads;
        threads.reserve(threadCount);
        for (int i = 0; i < threadCount; ++i) {
            threads.emplace_back([&registry] {
                auto &counter = registry.counter("c_total", "c");
                auto &latency = registry.latency("l_seconds", "l");
                for (int j = 0; j < perThread; ++j) {
                    counter.add();
                    latency.record(microseconds(j));
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{threadCount} * perThread, registry.counter("c_total", "c").value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{threadCount} * perThread, registry.latency("l_seconds", "l").count());
    }

    /** Guards against text that a collector rejects: unescaped labels, buckets that do not cumulate, no +Inf. */
    void rendersPrometheusText()
    {
        metric_registry registry;
        registry.counter("routes_total", "Routed statements.", {{"target", "a\"b\\c\nd"}}).add(3);
        registry.gauge("sessions", "Open sessions.").set(-2);
        auto &latency = registry.latency("wait_seconds", "Waiting time.", {{"service", "s"}});
        latency.record(microseconds(0));
        latency.record(microseconds(5'000));
        latency.record(microseconds(1'000'000'000));
        const auto text = registry.render();
        for (const char *line : {"# HELP routes_total Routed statements.\n# TYPE routes_total counter\n",
                                 "routes_total{target=\"a\\\"b\\\\c\\nd\"} 3\n",
                                 "# TYPE sessions gauge\nsessions -2\n",
                                 "# TYPE wait_seconds histogram\n",
                                 "wait_seconds_bucket{service=\"s\",le=\"0.0001\"} 1\n",
                                 "wait_seconds_bucket{service=\"s\",le=\"0.01\"} 2\n",
                                 "wait_seconds_bucket{service=\"s\",le=\"100\"} 2\n",
                                 "wait_seconds_bucket{service=\"s\",le=\"+Inf\"} 3\n",
                                 "wait_seconds_count{service=\"s\"} 3\n"}) {
            CPPUNIT_ASSERT_MESSAGE(std::string(line) + "not in\n" + text, text.find(line) != std::string::npos);
        }
    }

    /** Guards against a quantile below the latency that it stands for, or above it by more than a bucket. */
    void boundsQuantiles()
    {
        latency_histogram latency;
        CPPUNIT_ASSERT(latency.quantile(0.99) == microseconds(0));
        for (int i = 1; i <= 100; ++i) {
            latency.record(microseconds(i * 1000));
        }
        const auto p99 = latency.quantile(0.99);
        CPPUNIT_ASSERT(p99 >= microseconds(99'000) && p99 <= microseconds(133'000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);
