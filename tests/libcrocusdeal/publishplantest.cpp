#include "publishplan.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;

namespace
{

service_file fileOf(const std::string &service, int slots, const std::string &group = "")
{
    const auto name = group.empty() ? service : group;
    service_configuration configuration;
    configuration.service = service_id(service);
    configuration.group = group_id(name);
    const auto port = static_cast<std::uint16_t>(1000 + 10 * (name.back() % 32));
    configuration.targets = {{target_id(name + "-1"), "10.0.0.1", port, data_centre_id("a")},
                             {target_id(name + "-2"), "10.0.0.2", port, data_centre_id("b")}};
    configuration.limits = {20, slots};
    return {service + ".json", configuration, false};
}

fleet_configuration published(const std::vector<service_file> &files)
{
    fleet_configuration fleet;
    fleet.version = 3;
    for (const auto &file : files) {
        fleet.services[file.configuration.service] = file.configuration;
    }
    return fleet;
}

}

class publish_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(publish_plan_test);
    CPPUNIT_TEST(leavesOtherServicesAlone);
    CPPUNIT_TEST(keepsDrainsThatTheFileDoesNotState);
    CPPUNIT_TEST(checksAgainstPublishedServices);
    CPPUNIT_TEST(drainsInEveryServiceOfTheTarget);
    CPPUNIT_TEST(namesInstancesBehind);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a publish of one team that removes or changes the services of another. */
    void leavesOtherServicesAlone()
    {
        const auto before = published({fileOf("a", 2), fileOf("b", 2)});
        const auto plan = planPublish({fileOf("a", 3), fileOf("c", 1)}, {})(before);
        CPPUNIT_ASSERT(plan.problems.empty());
        const auto changes = difference(before, plan.result);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        CPPUNIT_ASSERT(changes[0].service == service_id("a") && changes[0].kind == change_kind::Changed);
        CPPUNIT_ASSERT((changes[0].details == std::vector<std::string>{"limits.slots: 2 -> 3"}));
        CPPUNIT_ASSERT(changes[1].service == service_id("c") && changes[1].kind == change_kind::Added);

        const auto removal = planPublish({}, {service_id("b")})(before);
        CPPUNIT_ASSERT(removal.problems.empty() && removal.result.services.size() == 1);
        CPPUNIT_ASSERT(!planPublish({}, {service_id("x")})(before).problems.empty());
        CPPUNIT_ASSERT(!planPublish({fileOf("a", 2)}, {service_id("a")})(before).problems.empty());
    }

    /** Guards against a routine publish that puts a drained target back into work. */
    void keepsDrainsThatTheFileDoesNotState()
    {
        const auto drained = planDrain(target_id("a-1"), true)(published({fileOf("a", 2)})).result;
        auto file = fileOf("a", 3);
        const auto kept = planPublish({file}, {})(drained).result;
        CPPUNIT_ASSERT(kept.find(service_id("a"))->drained == std::vector<target_id>{target_id("a-1")});
        file.statesDrained = true;
        CPPUNIT_ASSERT(planPublish({file}, {})(drained).result.find(service_id("a"))->drained.empty());
        // The published drain would leave the service without any target.
        file = fileOf("a", 2);
        file.configuration.targets.pop_back();
        CPPUNIT_ASSERT(!planPublish({file}, {})(drained).problems.empty());
    }

    /** Guards against a file that is valid alone and contradicts a service of another team. */
    void checksAgainstPublishedServices()
    {
        const auto before = published({fileOf("a", 2)});
        const auto plan = planPublish({fileOf("z", 3, "a")}, {})(before);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.problems.size());
        CPPUNIT_ASSERT_EQUAL(std::string("z.json"), plan.problems[0].file);
        CPPUNIT_ASSERT_EQUAL(std::string("limits"), plan.problems[0].key);
        CPPUNIT_ASSERT(planPublish({fileOf("a", 3), fileOf("z", 3, "a")}, {})(before).problems.empty());
    }

    /** Guards against a drained target that still gets work of a second service, and against draining the last one. */
    void drainsInEveryServiceOfTheTarget()
    {
        const auto before = published({fileOf("a", 2), fileOf("z", 2, "a"), fileOf("b", 2)});
        const auto plan = planDrain(target_id("a-1"), true)(before);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, difference(before, plan.result).size());
        const auto again = planDrain(target_id("a-1"), true)(plan.result);
        CPPUNIT_ASSERT(again.result == plan.result);
        CPPUNIT_ASSERT(planDrain(target_id("a-1"), false)(plan.result).result == before);
        CPPUNIT_ASSERT(!planDrain(target_id("a-2"), true)(plan.result).problems.empty());
        CPPUNIT_ASSERT(!planDrain(target_id("none"), true)(before).problems.empty());
    }

    /** Guards against "in force everywhere" while an instance is behind, and against waiting for one that is gone. */
    void namesInstancesBehind()
    {
        const std::vector<instance_version> instances{{instance_id("i1"), false, 4, ""},
                                                      {instance_id("i2"), false, 3, ""},
                                                      {instance_id("i3"), false, std::nullopt, "unreachable"},
                                                      {instance_id("i4"), true, std::nullopt, "unreachable"},
                                                      {instance_id("i5"), true, 3, ""},
                                                      {instance_id("i6"), false, 5, ""}};
        std::string behind;
        for (const auto &instance : notInForce(instances, 4)) {
            behind += instance.instance.str() + ' ';
        }
        CPPUNIT_ASSERT_EQUAL(std::string("i2 i3 i5 "), behind);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(publish_plan_test);
