#include "writeload.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <iostream>

using namespace crocusdeal;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t instanceCount = 5;
constexpr std::size_t pausedInstance = 4;
constexpr std::size_t killedPrimary = 0;
constexpr std::size_t otherPrimary = 3;
constexpr std::size_t cutReplica = 4;
/** Failover gap at scale, section 1.2 of the design. */
constexpr std::chrono::milliseconds maxFailoverGap = 15s;
constexpr std::chrono::milliseconds startLimit = 10s;
constexpr std::chrono::milliseconds answerLimit = 20s;
const std::vector<std::size_t> allInstances = {0, 1, 2, 3, 4};
const std::vector<std::string> services = {"dbname=orders", "dbname=records"};

/** A session writes through one instance; with its token others read the row through every instance. */
void requireOwnWrites(const cluster &cluster, const std::string &service, std::size_t writer, const std::string &id)
{
    auto session = cluster.connect(writer, service);
    const auto written = session.runWithin("INSERT INTO w VALUES (" + id + ", 0)", answerLimit);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(service, std::string(), written.sqlState);
    auto parameters = service;
    parameters += " options='-c crocusdeal.session=" + session.parameterStatus("crocusdeal.session") + "'";
    for (const auto instance : allInstances) {
        auto reader = cluster.connect(instance, parameters);
        const auto read = reader.runWithin("SELECT count(*) FROM w WHERE id = " + id, answerLimit);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            service + " by " + std::to_string(instance) + ' ' + read.sqlState, std::string("1"), read.value());
    }
}

void requireTruth(const cluster &cluster, write_load &writes, std::size_t group)
{
    writes.stop();
    const auto records = writes.records();
    std::cout << "\n" << services.at(group) << " writes: " << summary(records) << std::endl;
    const auto primary = cluster.primary(group);
    CPPUNIT_ASSERT(primary.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(), contradictions(records, cluster.database(*primary)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, acknowledgedAfterNewerTerm(records).size());
}

}

class combined_failure_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(combined_failure_test);
    CPPUNIT_TEST(fourFailuresAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Guards against lost or doubled writes, a group that stays without a primary and sessions that miss their own
     * writes when a primary is killed, an instance is paused, the platform is down and a replica is cut off at once.
     */
    void fourFailuresAtOnce()
    {
        cluster_options options;
        options.instances = instanceCount;
        options.groups = 2;
        cluster cluster(options);
        for (const auto &service : services) {
            CPPUNIT_ASSERT_EQUAL(std::string(), cluster.connect(0, service).run(write_load::createTable).sqlState);
        }
        write_load orders(cluster, allInstances, 1, reconnect::SameInstance, 2ms, services[0]);
        write_load records(cluster, allInstances, 1, reconnect::SameInstance, 2ms, services[1]);
        CPPUNIT_ASSERT(orders.waitForWrite(load_clock::now() + 200ms, startLimit, allInstances));
        CPPUNIT_ASSERT(records.waitForWrite(load_clock::now(), startLimit, allInstances));

        // The killed primary has writes that no replica ever gets.
        cluster.cutDatabase(killedPrimary, {1, 2});
        std::this_thread::sleep_for(200ms);

        const auto failed = load_clock::now();
        cluster.setPlatformFaults(R"({"outage":true})");
        cluster.instance(pausedInstance).signal(SIGSTOP);
        cluster.cutDatabase(cutReplica, {otherPrimary, otherPrimary + 2});
        for (const auto instance : allInstances) {
            cluster.cutInstance(cutReplica, instance);
        }
        cluster.killDatabase(killedPrimary);
        cluster.waitForPrimaryOtherThan(killedPrimary, maxFailoverGap);
        CPPUNIT_ASSERT(orders.waitForWrite(load_clock::now(), maxFailoverGap, {0, 1, 2, 3}));
        CPPUNIT_ASSERT(records.waitForWrite(load_clock::now(), maxFailoverGap, {0, 1, 2, 3}));

        cluster.database(cutReplica).admin("heal");
        cluster.instance(pausedInstance).signal(SIGCONT);
        cluster.setPlatformFaults(R"({"outage":false})");
        const auto healed = load_clock::now();
        for (const auto instance : allInstances) {
            CPPUNIT_ASSERT(orders.waitForWrite(healed, maxFailoverGap, {instance}));
            CPPUNIT_ASSERT(records.waitForWrite(healed, maxFailoverGap, {instance}));
        }
        requireOwnWrites(cluster, services[0], pausedInstance, "-1");
        requireOwnWrites(cluster, services[1], pausedInstance, "-2");
        requireTruth(cluster, orders, 0);
        requireTruth(cluster, records, 1);
        CPPUNIT_ASSERT_EQUAL(otherPrimary, cluster.primary(1).value());
        std::cout << "failover gap " << gapUntilNewTerm(orders.records(), failed, 1).count() << " ms" << std::endl;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(combined_failure_test);
