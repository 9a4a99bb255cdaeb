#include "servingplan.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace crocusdeal;

namespace
{

std::vector<instance_id> instances(int count)
{
    std::vector<instance_id> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        result.emplace_back("front-" + std::to_string(i));
    }
    return result;
}

}

class serving_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(serving_plan_test);
    CPPUNIT_TEST(allServeWhereConnectionsSuffice);
    CPPUNIT_TEST(holdersOfATargetDoNotGrowWithTheFleet);
    CPPUNIT_TEST(everyInstanceKnowsTheSameServingOnes);
    CPPUNIT_TEST(lossMovesOnlyTheServicesOfTheLost);
    CPPUNIT_TEST(servicesAreSpread);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a detour in small fleets, and a way round the limit in large ones. */
    void allServeWhereConnectionsSuffice()
    {
        CPPUNIT_ASSERT_EQUAL(4, servingInstances(16, 4, 3));
        CPPUNIT_ASSERT_EQUAL(5, servingInstances(46, 5, 4));
        CPPUNIT_ASSERT_EQUAL(32, servingInstances(170, 32, 4));
        CPPUNIT_ASSERT_EQUAL(1, servingInstances(58, 77, 5));
        CPPUNIT_ASSERT_EQUAL(1, servingInstances(1, 300, 0));
    }

    /** Guards against connections and status requests of a target that grow with the number of instances. */
    void holdersOfATargetDoNotGrowWithTheFleet()
    {
        rc::check("serving instances of all data centres share the limit", [] {
            const int connections = *rc::gen::inRange(1, 1000);
            const int count = *rc::gen::inRange(1, 3001);
            const int dataCentres = *rc::gen::inRange(1, 7);
            const int serving = servingInstances(connections, count, dataCentres);
            RC_ASSERT(serving >= 1);
            RC_ASSERT(serving == count || serving * dataCentres <= std::max(dataCentres, connections));
        });
    }

    /** Guards against two instances that both believe the other one serves. */
    void everyInstanceKnowsTheSameServingOnes()
    {
        const auto members = instances(15);
        const service_id service("orders");
        std::set<instance_id> serving;
        for (const auto &relay : members) {
            const auto order = relayOrder(service, members, 2, relay);
            CPPUNIT_ASSERT_EQUAL(members.size(), order.size());
            serving.insert(order.front());
            if (isServing(service, members, 2, relay)) {
                CPPUNIT_ASSERT(order.front() == relay);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, serving.size());
    }

    /** Guards against moving every service when one instance leaves or joins. */
    void lossMovesOnlyTheServicesOfTheLost()
    {
        const auto members = instances(15);
        auto fewer = members;
        fewer.pop_back();
        for (int i = 0; i < 200; ++i) {
            const service_id service("s" + std::to_string(i));
            const auto before = relayOrder(service, members, 1, members.front()).front();
            const auto after = relayOrder(service, fewer, 1, members.front()).front();
            CPPUNIT_ASSERT(before == after || before == members.back());
        }
    }

    /** Guards against one instance that serves most services. */
    void servicesAreSpread()
    {
        std::map<instance_id, int> counts;
        const auto members = instances(15);
        for (int i = 0; i < 1500; ++i) {
            ++counts[relayOrder(service_id("s" + std::to_string(i)), members, 1, members.front()).front()];
        }
        for (const auto &[id, count] : counts) {
            CPPUNIT_ASSERT(count > 60 && count < 150);
        }
        CPPUNIT_ASSERT_EQUAL(members.size(), counts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(serving_plan_test);
