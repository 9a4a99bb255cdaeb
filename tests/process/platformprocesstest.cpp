#include "platformprocess.h"
#include "objectwatcher.h"
#include "platformclient.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

platform_client_options clientOf(const platform_process &platform, int watchThreads = 2)
{
    return {platform.address(), "i1", 2, watchThreads};
}

const object_key testKey{"config", "test"};

put_result put(platform_client &client, std::uint64_t ifVersion, const std::string &value, duration limit = 5_s)
{
    std::promise<put_result> done;
    client.put(testKey, ifVersion, value, limit, [&](put_result result) { done.set_value(std::move(result)); });
    return done.get_future().get();
}

put_result putResolved(platform_client &client, std::uint64_t ifVersion, const std::string &value, duration limit)
{
    std::promise<put_result> done;
    client.putResolved(testKey, ifVersion, value, limit, [&](put_result result) { done.set_value(std::move(result)); });
    return done.get_future().get();
}

platform_result<platform_object> get(platform_client &client)
{
    std::promise<platform_result<platform_object>> done;
    client.get(testKey, 5_s, [&](auto result) { done.set_value(std::move(result)); });
    return done.get_future().get();
}

bool isOutcome(const put_result &result, put_outcome outcome, std::uint64_t version)
{
    return result.outcome == outcome && result.version == version;
}

}

class platform_process_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_process_test);
    CPPUNIT_TEST(updatesAreConditional);
    CPPUNIT_TEST(tellsUndoneFromUnknown);
    CPPUNIT_TEST(lostAnswersAreResolved);
    CPPUNIT_TEST(lateEffectsAreResolved);
    CPPUNIT_TEST(watcherSurvivesOutage);
    CPPUNIT_TEST(manyWatchesWaitAtOnce);
    CPPUNIT_TEST(clientEndsWhileWatching);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against an update that overwrites a change it has not seen, and against a wrong size limit. */
    void updatesAreConditional()
    {
        const platform_process platform;
        platform_client client(clientOf(platform));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, get(client).value.value().version);
        CPPUNIT_ASSERT(isOutcome(put(client, 0, R"({"a":1})"), put_outcome::Stored, 1));
        CPPUNIT_ASSERT(isOutcome(put(client, 0, R"({"a":2})"), put_outcome::Conflict, 1));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":1})"), get(client).value.value().value);

        constexpr std::size_t maxValue = std::size_t{1} << 20U;
        const std::string largest = '"' + std::string(maxValue - 2, 'x') + '"';
        CPPUNIT_ASSERT(isOutcome(put(client, 1, largest), put_outcome::Stored, 2));
        const std::string tooLarge = '"' + std::string(maxValue, 'x') + '"';
        CPPUNIT_ASSERT(put(client, 2, tooLarge).outcome == put_outcome::Refused);
    }

    /** Guards against "not done" after a lost answer, and against "unknown" when nothing was done. */
    void tellsUndoneFromUnknown()
    {
        const platform_process platform({"--writes-per-second", "2"});
        platform_client client(clientOf(platform));
        platform.setFaults(R"({"outage":true})");
        const auto inOutage = put(client, 0, "1");
        CPPUNIT_ASSERT(inOutage.outcome == put_outcome::Unavailable);
        CPPUNIT_ASSERT(inOutage.failure.error == platform_error::Unavailable);
        platform.setFaults(R"({"outage":false,"drop_answers_after_effect":1})");
        CPPUNIT_ASSERT(put(client, 0, "1").outcome == put_outcome::Unknown);
        CPPUNIT_ASSERT(isOutcome(put(client, 1, "2"), put_outcome::Stored, 2));
        const auto limited = put(client, 2, "3");
        CPPUNIT_ASSERT(limited.failure.error == platform_error::Throttled && limited.failure.retryAfter == 1_s);
        platform.setFaults(R"({"cut":["i1"]})");
        CPPUNIT_ASSERT(put(client, 2, "3").outcome == put_outcome::Unknown);

        platform_client nowhere({host_port{"127.0.0.1", 1}, "i1", 1, 1});
        CPPUNIT_ASSERT(put(nowhere, 0, "1").failure.error == platform_error::Unreachable);
    }

    /** Guards against reporting a conflict with one's own update, or updating twice. */
    void lostAnswersAreResolved()
    {
        const platform_process platform;
        platform_client client(clientOf(platform));
        platform.setFaults(R"({"drop_answers_after_effect":1})");
        CPPUNIT_ASSERT(isOutcome(putResolved(client, 0, R"({"a": 1})", 3_s), put_outcome::Stored, 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, get(client).value.value().version);
        CPPUNIT_ASSERT(isOutcome(putResolved(client, 0, R"({"a":2})", 3_s), put_outcome::Conflict, 1));
    }

    /** Guards against an update that is repeated and then takes effect twice when the platform was only slow. */
    void lateEffectsAreResolved()
    {
        const platform_process platform;
        platform_client client(clientOf(platform));
        platform.setFaults(R"({"delay_ms":1000})");
        std::thread recovery([&] {
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            platform.setFaults(R"({"delay_ms":0})");
        });
        // The first attempt is given up after 500 ms, takes effect after 1000 ms and has to meet the second one's.
        const auto result = putResolved(client, 0, "1", duration{1500});
        recovery.join();
        CPPUNIT_ASSERT(isOutcome(result, put_outcome::Stored, 1));
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, get(client).value.value().version);
        CPPUNIT_ASSERT(platform.counters().find("\"conflicts\":1") != std::string::npos);
    }

    /** Guards against a watcher that ends with an outage, or reports an older version after a newer one. */
    void watcherSurvivesOutage()
    {
        const platform_process platform;
        platform_client client(clientOf(platform));
        std::mutex mutex;
        std::condition_variable changed;
        std::vector<std::uint64_t> versions;
        object_watcher watcher(client, testKey, {500_ms, {20_ms, 100_ms}});
        watcher.start(0, [&](const platform_object &object) {
            const std::lock_guard lock(mutex);
            versions.push_back(object.version);
            changed.notify_all();
        });
        const auto waitFor = [&](std::uint64_t version) {
            std::unique_lock lock(mutex);
            return changed.wait_for(
                lock, std::chrono::seconds(5), [&] { return !versions.empty() && versions.back() == version; });
        };
        CPPUNIT_ASSERT(put(client, 0, "1").outcome == put_outcome::Stored);
        CPPUNIT_ASSERT(waitFor(1));
        platform.setFaults(R"({"outage":true})");
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        platform.setFaults(R"({"outage":false})");
        CPPUNIT_ASSERT(put(client, 1, "2").outcome == put_outcome::Stored);
        CPPUNIT_ASSERT(waitFor(2));
        watcher.skipTo(4);
        CPPUNIT_ASSERT(put(client, 2, "3").outcome == put_outcome::Stored);
        CPPUNIT_ASSERT(put(client, 3, "4").outcome == put_outcome::Stored);
        CPPUNIT_ASSERT(put(client, 4, "5").outcome == put_outcome::Stored);
        CPPUNIT_ASSERT(waitFor(5));
        CPPUNIT_ASSERT((versions == std::vector<std::uint64_t>{1, 2, 5}));
    }

    /** Guards against waiting watches that use up the threads of the platform or of the client's calls. */
    void manyWatchesWaitAtOnce()
    {
        constexpr int watches = 64;
        const platform_process platform;
        platform_client client(clientOf(platform, watches));
        std::atomic<int> returned{0};
        std::atomic<int> changed{0};
        std::promise<void> all;
        for (int i = 0; i < watches; ++i) {
            client.watch(testKey, 0, 10_s, [&](const auto &result) {
                changed += result.value && result.value->version == 1 ? 1 : 0;
                if (++returned == watches) {
                    all.set_value();
                }
            });
        }
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (platform.counters().find("\"waiting_watches\":64") == std::string::npos) {
            CPPUNIT_ASSERT_MESSAGE(platform.counters(), std::chrono::steady_clock::now() < deadline);
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        CPPUNIT_ASSERT(put(client, 0, "1").outcome == put_outcome::Stored);
        CPPUNIT_ASSERT(all.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
        CPPUNIT_ASSERT_EQUAL(watches, changed.load());
    }

    /** Guards against a shutdown that waits for a watch, and against callbacks that are lost with the client. */
    void clientEndsWhileWatching()
    {
        const platform_process platform;
        std::atomic<int> called{0};
        const auto count = [&](const auto & /*result*/) { ++called; };
        auto client = std::make_unique<platform_client>(clientOf(platform, 1));
        client->watch(testKey, 0, 20_s, count);
        client->watch(testKey, 0, 20_s, count);
        client->runLater(20_s, [&] { ++called; });
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const auto start = std::chrono::steady_clock::now();
        client.reset();
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(3, called.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_process_test);
