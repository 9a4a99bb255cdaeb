#include "writeload.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace crocusdeal;
using namespace std::chrono_literals;

namespace
{

/** Longest propagation of a configuration, G7 and section 1.4 of the design. */
constexpr std::chrono::milliseconds propagationLimit = 13s;
constexpr std::chrono::milliseconds startLimit = 10s;
constexpr std::chrono::milliseconds answerLimit = 20s;
/** A request that waits for its deadline is refused after 2 s, section 4.4. */
constexpr std::chrono::milliseconds maxWriteGap = 2s;
constexpr std::size_t instances = 3;

/** Whether the instance knows the service, as a caller sees it. */
bool knowsService(const cluster &cluster, std::size_t instance, const std::string &service)
{
    return cluster.connect(instance, "dbname=" + service).connected();
}

bool isEverywhere(const cluster &cluster, const std::string &service)
{
    return waitFor(propagationLimit, [&] {
        for (std::size_t i = 0; i < instances; ++i) {
            if (!knowsService(cluster, i, service)) {
                return false;
            }
        }
        return true;
    });
}

void requireNoReturn(const cluster &cluster)
{
    for (std::size_t i = 0; i < instances; ++i) {
        const auto versions = cluster.versionsInForce(i);
        CPPUNIT_ASSERT(!versions.empty());
        CPPUNIT_ASSERT_MESSAGE("instance " + std::to_string(i), std::is_sorted(versions.begin(), versions.end()));
        CPPUNIT_ASSERT_EQUAL(cluster.publishedVersion(), versions.back());
    }
}

std::chrono::milliseconds longestWriteGap(const std::vector<load_record> &records)
{
    load_clock::duration longest{};
    const load_record *last = nullptr;
    for (const auto &record : records) {
        if (record.isAcknowledged()) {
            longest = std::max(longest, last == nullptr ? load_clock::duration{} : record.answered - last->answered);
            last = &record;
        }
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest);
}

std::uint64_t statementsAt(const cluster &cluster, std::size_t database)
{
    return std::stoull(cluster.database(database).admin("statements").substr(3));
}

cluster_options threeInstances()
{
    cluster_options options;
    options.instances = static_cast<int>(instances);
    return options;
}

}

class configuration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_test);
    CPPUNIT_TEST(racingOperators);
    CPPUNIT_TEST(lostAnswerAndRestartedInstance);
    CPPUNIT_TEST(drainedTargetGetsNoWork);
    CPPUNIT_TEST(platformOutageDuringWorkAndPromotion);
    CPPUNIT_TEST(slowPlatform);
    CPPUNIT_TEST(instanceStartsWhileThePlatformIsDown);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against two conflicting updates that both succeed, and against a version that goes back. */
    void racingOperators()
    {
        const cluster cluster(threeInstances());
        std::vector<std::string> services{"orders"};
        for (int round = 0; round < 5; ++round) {
            const auto version = cluster.publishedVersion();
            std::vector<std::string> proposals[2] = {services, services};
            int status[2] = {0, 0};
            std::vector<std::thread> operators;
            for (int i = 0; i < 2; ++i) {
                proposals[i].push_back("s" + std::to_string(round) + (i == 0 ? "a" : "b"));
                operators.emplace_back(
                    [&, i] { status[i] = cluster.publish(version, cluster.configuration(proposals[i])); });
            }
            for (auto &thread : operators) {
                thread.join();
            }
            CPPUNIT_ASSERT_EQUAL(200 + 409, status[0] + status[1]);
            services = proposals[status[0] == 200 ? 0 : 1];
        }
        const auto published = load_clock::now();
        CPPUNIT_ASSERT(isEverywhere(cluster, services.back()));
        std::cout << "\nlast version everywhere after "
                  << std::chrono::duration_cast<std::chrono::milliseconds>(load_clock::now() - published).count()
                  << " ms" << std::endl;
        requireNoReturn(cluster);
    }

    /** Guards against an accepted change that is missing after a lost answer, and an old version after a restart. */
    void lostAnswerAndRestartedInstance()
    {
        cluster cluster(threeInstances());
        cluster.setPlatformFaults(R"({"drop_answers_after_effect":1})");
        CPPUNIT_ASSERT_EQUAL(0, cluster.publish(1, cluster.configuration({"orders", "second"})));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, cluster.publishedVersion());
        CPPUNIT_ASSERT(isEverywhere(cluster, "second"));
        cluster.killInstance(1);
        CPPUNIT_ASSERT_EQUAL(200, cluster.publish(2, cluster.configuration({"orders", "second", "third"})));
        cluster.startInstance(1);
        // As soon as it serves it knows at least what its peers knew when it was killed.
        CPPUNIT_ASSERT(waitFor(startLimit, [&] { return knowsService(cluster, 1, "orders"); }));
        CPPUNIT_ASSERT(knowsService(cluster, 1, "second"));
        CPPUNIT_ASSERT(isEverywhere(cluster, "third"));
        requireNoReturn(cluster);
    }

    /** Guards against new work on a target that is about to leave. */
    void drainedTargetGetsNoWork()
    {
        const cluster cluster(threeInstances());
        cluster.connect(0).run(write_load::createTable);
        const read_load reads(cluster, {0, 1, 2});
        const auto grows = [&](std::size_t database) {
            const auto before = statementsAt(cluster, database);
            std::this_thread::sleep_for(500ms);
            return statementsAt(cluster, database) > before;
        };
        CPPUNIT_ASSERT(waitFor(startLimit, [&] { return grows(2); }));
        CPPUNIT_ASSERT_EQUAL(200, cluster.publish(1, cluster.configuration({"orders"}, {"database-2"})));
        const auto published = load_clock::now();
        CPPUNIT_ASSERT(waitFor(propagationLimit, [&] { return !grows(2); }));
        std::cout << "\nno work within "
                  << std::chrono::duration_cast<std::chrono::milliseconds>(load_clock::now() - published).count()
                  << " ms" << std::endl;
        const auto drained = statementsAt(cluster, 2);
        std::this_thread::sleep_for(1500ms);
        CPPUNIT_ASSERT_EQUAL(drained, statementsAt(cluster, 2));
        CPPUNIT_ASSERT(grows(1));
        for (const auto &read : reads.records()) {
            CPPUNIT_ASSERT_EQUAL(std::string(), read.sqlState);
        }
    }

    /** Guards against work or a promotion that needs the platform. */
    void platformOutageDuringWorkAndPromotion()
    {
        cluster cluster;
        cluster.connect(0).run(write_load::createTable);
        cluster.setPlatformFaults(R"({"outage":true})");
        write_load writes(cluster, {0, 1}, 2, reconnect::SameInstance);
        std::this_thread::sleep_for(3s);
        const auto before = writes.records();
        for (const auto &record : before) {
            CPPUNIT_ASSERT_EQUAL(std::string(), record.sqlState);
        }
        CPPUNIT_ASSERT(longestWriteGap(before) <= maxWriteGap);
        const auto killed = load_clock::now();
        cluster.killDatabase(0);
        const auto newPrimary = cluster.waitForPrimaryOtherThan(0, 15s);
        CPPUNIT_ASSERT(writes.waitForWrite(load_clock::now(), 15s, {0}));
        CPPUNIT_ASSERT(writes.waitForWrite(load_clock::now(), 15s, {1}));
        cluster.setPlatformFaults(R"({"outage":false})");
        CPPUNIT_ASSERT(writes.waitForWrite(load_clock::now(), startLimit, {0, 1}));
        writes.stop();
        const auto records = writes.records();
        std::cout << "\nwrites: " << summary(records) << "failover gap " << gapUntilNewTerm(records, killed, 1).count()
                  << " ms" << std::endl;
        CPPUNIT_ASSERT_EQUAL(std::string(), contradictions(records, cluster.database(newPrimary)));
    }

    /** Guards against work that waits for a slow platform or for its lost answers. */
    void slowPlatform()
    {
        cluster cluster;
        cluster.connect(0).run(write_load::createTable);
        cluster.setPlatformFaults(R"({"delay_ms":3000,"drop_answers_after_effect":1000})");
        write_load writes(cluster, {0, 1}, 2, reconnect::SameInstance);
        std::this_thread::sleep_for(2s);
        const auto killed = load_clock::now();
        cluster.killDatabase(0);
        const auto newPrimary = cluster.waitForPrimaryOtherThan(0, 15s);
        CPPUNIT_ASSERT(writes.waitForWrite(load_clock::now(), 15s, {0}));
        CPPUNIT_ASSERT(writes.waitForWrite(load_clock::now(), 15s, {1}));
        writes.stop();
        cluster.setPlatformFaults(R"({"delay_ms":0,"drop_answers_after_effect":0})");
        const auto records = writes.records();
        std::cout << "\nwrites: " << summary(records) << "failover gap " << gapUntilNewTerm(records, killed, 1).count()
                  << " ms" << std::endl;
        CPPUNIT_ASSERT_EQUAL(std::string(), contradictions(records, cluster.database(newPrimary)));
    }

    /** Guards against an instance that needs the platform to start, or serves an older version than its peers. */
    void instanceStartsWhileThePlatformIsDown()
    {
        cluster cluster(threeInstances());
        CPPUNIT_ASSERT_EQUAL(200, cluster.publish(1, cluster.configuration({"orders", "second"})));
        CPPUNIT_ASSERT(isEverywhere(cluster, "second"));
        cluster.setPlatformFaults(R"({"outage":true})");
        cluster.killInstance(1);
        cluster.startInstance(1);
        CPPUNIT_ASSERT(waitFor(startLimit, [&] { return knowsService(cluster, 1, "orders"); }));
        CPPUNIT_ASSERT(knowsService(cluster, 1, "second"));
        CPPUNIT_ASSERT(cluster.waitUntilServing(1, answerLimit));
        cluster.setPlatformFaults(R"({"outage":false})");
        requireNoReturn(cluster);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_test);
