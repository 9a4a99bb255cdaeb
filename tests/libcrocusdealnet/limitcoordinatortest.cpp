#include "limitcoordinator.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace crocusdeal;

namespace
{

constexpr duration tickPeriod{100};
const target_id theTarget("g/t");

/** Coordinators that reach each other at once; time is moved by hand. */
struct coordinator_fleet {
    explicit coordinator_fleet(const std::vector<std::string> &names)
    {
        auto infos = std::make_shared<std::vector<member_info>>();
        for (const auto &name : names) {
            member_info info;
            auto description = std::make_shared<member_description>();
            description->id = instance_id(name);
            description->dataCentre = data_centre_id("dc");
            info.description = std::move(description);
            infos->push_back(std::move(info));
        }
        members = std::move(infos);
        for (const auto &name : names) {
            add(name);
        }
    }

    void add(const std::string &name)
    {
        limit_coordinator::hooks hooks;
        hooks.now = [this] { return now; };
        hooks.send = [this, name](const instance_id &to,
                                  const std::string &bytes,
                                  const std::function<void(std::optional<std::string>)> &done) {
            const auto found = nodes.find(to.str());
            if (found == nodes.end() || silent.contains(to.str()) || silent.contains(name)) {
                done(std::nullopt);
                return;
            }
            done(found->second->onMessages(instance_id(name), bytes));
        };
        hooks.log = [](const std::string &) {};
        hooks.onChanged = [](const target_id &) {};
        hooks.onShapes = [this, name](const target_id &, const std::vector<shared_shape> &shapes) {
            learnt[name].insert(learnt[name].end(), shapes.begin(), shapes.end());
        };
        auto node = std::make_shared<limit_coordinator>(instance_id(name), 1000 + nodes.size(), std::move(hooks));
        node->setTargets({{theTarget, data_centre_id("dc"), 15, 2}});
        node->setMembers(members);
        nodes.emplace(name, std::move(node));
    }

    /** Moves time on; the target counts what the instances have open and their control connections. */
    void run(duration time)
    {
        for (const auto until = now + time; now < until; now = now + tickPeriod) {
            int connections = lingering;
            for (const auto &[name, count] : open) {
                connections += count;
            }
            for (auto &[name, node] : nodes) {
                if (silent.contains(name)) {
                    continue;
                }
                node->setDemand(theTarget, demand[name], 0);
                node->onTargetStatus(theTarget, connections, now);
                node->tick();
            }
        }
    }

    int openAll(const std::string &name)
    {
        int opened = 0;
        while (nodes.at(name)->beginOpening(theTarget)) {
            nodes.at(name)->onEstablished(theTarget);
            ++open[name];
            ++opened;
        }
        return opened;
    }

    time_point now{100000};
    std::shared_ptr<const std::vector<member_info>> members;
    std::map<std::string, std::shared_ptr<limit_coordinator>> nodes;
    std::map<std::string, int> open;
    std::map<std::string, int> demand;
    std::set<std::string> silent;
    std::map<std::string, std::vector<shared_shape>> learnt;
    int lingering = 0; ///< Connections of instances that do not exist any more.
};

}

class limit_coordinator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limit_coordinator_test);
    CPPUNIT_TEST(everyInstanceGetsItsBase);
    CPPUNIT_TEST(lendsByDemandWithinTheLimit);
    CPPUNIT_TEST(servesWithoutAnOwner);
    CPPUNIT_TEST(tellsLongShapesToAll);
    CPPUNIT_TEST(cutOffInstanceKeepsToTheCountOfTheTarget);
    CPPUNIT_TEST(isReadyWithAGrantOrCutOff);
    CPPUNIT_TEST(messagesSurviveTheCodec);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against an owner that lends to others but not to itself. */
    void everyInstanceGetsItsBase()
    {
        coordinator_fleet fleet({"a", "b", "c"});
        fleet.run(duration{5000});
        for (const auto &[name, node] : fleet.nodes) {
            CPPUNIT_ASSERT_MESSAGE(name, node->allowance(theTarget) >= 2);
        }
    }

    /** Guards against more open connections than the target allows when demand moves between instances. */
    void lendsByDemandWithinTheLimit()
    {
        coordinator_fleet fleet({"a", "b", "c"});
        fleet.demand["b"] = 20;
        fleet.run(duration{5000});
        int all = 0;
        for (const auto &[name, node] : fleet.nodes) {
            all += fleet.openAll(name);
        }
        constexpr int limitWithoutControl = 15 - 3 - 1;
        CPPUNIT_ASSERT(all <= limitWithoutControl);
        CPPUNIT_ASSERT(fleet.open["b"] > fleet.open["a"]);
    }

    /** Guards against an instance that never serves because the owner cannot be reached. */
    void servesWithoutAnOwner()
    {
        coordinator_fleet fleet({"a", "b", "c"});
        for (const auto &name : {"a", "b", "c"}) {
            fleet.silent = {"a", "b", "c"};
            fleet.silent.erase(name);
            fleet.run(duration{4000});
            CPPUNIT_ASSERT_MESSAGE(name, fleet.openAll(name) >= 1);
        }
    }

    /** Guards against an instance that never hears which shapes are long, be it the owner or not. */
    void tellsLongShapesToAll()
    {
        coordinator_fleet fleet({"a", "b", "c"});
        fleet.run(duration{2000});
        const shared_shape shape{7, duration{900}, true};
        fleet.nodes.at("b")->setShapes(theTarget, {shape});
        fleet.run(duration{3000});
        for (const auto &name : {"a", "c"}) {
            CPPUNIT_ASSERT_MESSAGE(name, fleet.learnt[name] == std::vector<shared_shape>{shape});
        }
    }

    /** Guards against connections above the limit when an instance without an owner replaces one whose connections
     * linger. */
    void cutOffInstanceKeepsToTheCountOfTheTarget()
    {
        for (const int free : {0, 1, 2}) {
            coordinator_fleet fleet({"a", "b", "c"});
            fleet.silent = {"b", "c"};
            constexpr int keptForPromotion = 1;
            fleet.lingering = 15 - keptForPromotion - free;
            int opened = 0;
            for (int i = 0; i < 20; ++i) {
                fleet.run(duration{500});
                opened += fleet.openAll("a");
            }
            CPPUNIT_ASSERT_EQUAL(free, opened);
        }
    }

    /** Guards against callers that are sent to an instance before it may open connections, and against one that is
     * never ready without an owner. */
    void isReadyWithAGrantOrCutOff()
    {
        coordinator_fleet fleet({"a", "b", "c"});
        for (const auto &[name, node] : fleet.nodes) {
            CPPUNIT_ASSERT_MESSAGE(name, !node->isReady());
        }
        fleet.run(duration{5000});
        for (const auto &[name, node] : fleet.nodes) {
            CPPUNIT_ASSERT_MESSAGE(name, node->isReady());
        }
        coordinator_fleet cut({"a", "b", "c"});
        cut.silent = {"a", "b"};
        cut.run(duration{500});
        CPPUNIT_ASSERT(!cut.nodes.at("c")->isReady());
        cut.run(duration{4000});
        CPPUNIT_ASSERT(cut.nodes.at("c")->isReady());
    }

    /** Guards against fields that are lost between instances, and against crashes on malformed input. */
    void messagesSurviveTheCodec()
    {
        limit_messages messages;
        share_grant grant;
        grant.target = theTarget;
        grant.holder = instance_id("b");
        grant.number = 7;
        grant.allowance = 5;
        messages.shareGrants.push_back(grant);
        permit_request request;
        request.held = {{3, 4}};
        request.running = 2;
        messages.permitRequests.push_back(request);
        messages.shapeReports.push_back({theTarget, instance_id("b"), 1, 2, 3, {{4, duration{5}, true}}});
        messages.shapeUpdates.push_back({theTarget, instance_id("b"), 1, 2, 3, {{4, duration{5}, false}}});
        const auto bytes = encodeLimitMessages(messages);
        const auto decoded = decodeLimitMessages(bytes);
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(5, decoded->shareGrants.at(0).allowance);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), decoded->shareGrants.at(0).holder.str());
        CPPUNIT_ASSERT((decoded->permitRequests.at(0).held.at(0) == permit_id{3, 4}));
        CPPUNIT_ASSERT_EQUAL(2, decoded->permitRequests.at(0).running);
        CPPUNIT_ASSERT(decoded->shapeReports.at(0).shapes == messages.shapeReports.at(0).shapes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), decoded->shapeReports.at(0).seen);
        CPPUNIT_ASSERT(decoded->shapeUpdates.at(0).shapes == messages.shapeUpdates.at(0).shapes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), decoded->shapeUpdates.at(0).version);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            CPPUNIT_ASSERT(!decodeLimitMessages(std::string_view(bytes).substr(0, size)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_coordinator_test);
