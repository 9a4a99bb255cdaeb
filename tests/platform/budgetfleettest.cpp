#include "frontworld.h"
#include "operationbudget.h"
#include "systemclock.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

namespace
{

const workspace_id workspace("shop");

routing_configuration limitedConfiguration(double perSecond)
{
    routing_configuration configuration;
    configuration.version = 1;
    workspace_entry entry;
    entry.name = workspace;
    entry.limit = rate_limit{perSecond, perSecond};
    configuration.workspaces = workspace_directory({entry});
    return configuration;
}

/** The budgets of some instances, with their links over loopback and one store. */
class budget_fleet
{
public:
    struct instance {
        fleet_member member;
        std::shared_ptr<relay_hub> hub;
        std::shared_ptr<operation_budget> budget;
        bool isUp = true;
        int admitted = 0;
        int refused = 0;
    };

    budget_fleet(const std::vector<std::string> &dataCentres, double perSecond)
    {
        int number = 1;
        for (const auto &dataCentre : dataCentres) {
            const auto address = world.holdAddress();
            start({instance_id("i" + std::to_string(number)), data_centre_id(dataCentre), address, 1});
            ++number;
        }
        for (const auto &[id, one] : instances) {
            one->budget->setConfiguration(limitedConfiguration(perSecond));
        }
        shareMembers();
        keepTicking();
    }

    ~budget_fleet()
    {
        m_isOver = true;
        for (const auto &[id, one] : instances) {
            end(id);
        }
        world.runFor(200_ms);
    }
    budget_fleet(const budget_fleet &) = delete;
    budget_fleet &operator=(const budget_fleet &) = delete;

    void end(const instance_id &id)
    {
        auto &one = *instances.at(id);
        if (one.isUp) {
            one.isUp = false;
            one.budget->stop();
            one.hub->close();
        }
    }

    /** Asks for an operation on each of the given instances. */
    void operate(instance &one)
    {
        one.budget->admit(workspace,
                          [&one](const admission &result) { ++(result.isAdmitted ? one.admitted : one.refused); });
    }

    /** Waits for the table of the holders, and for links and full buckets. */
    void settle()
    {
        world.runUntil([this] { return world.store.budgetHolders.has_value(); }, 8000_ms);
        world.runFor(4000_ms);
    }

    instance_id holderIn(const std::string &dataCentre) const
    {
        return budgetHolder(world.store.budgetHolders->names, workspace, data_centre_id(dataCentre));
    }

    front_world world;
    std::map<instance_id, std::unique_ptr<instance>> instances;

private:
    void start(const fleet_member &member)
    {
        auto one = std::make_unique<instance>();
        auto &added = *one;
        added.member = member;
        relay_surroundings surroundings;
        surroundings.self = member;
        surroundings.isLeaving = [] { return false; };
        surroundings.isIsolated = [] { return false; };
        surroundings.isStoreAway = [] { return false; };
        surroundings.reportConfiguration = [] { return std::nullopt; };
        surroundings.loads = [] { return std::vector<reported_load>(); };
        surroundings.heardLoads = [](const instance_id &, const std::vector<reported_load> &) {};
        surroundings.recentStall = [] { return duration{}; };
        surroundings.grantBudget = [&added](const budget_request &request,
                                            std::function<void(const budget_grant &)> done) {
            added.budget->serve(request, std::move(done));
        };
        added.hub = std::make_shared<relay_hub>(world.context, std::move(surroundings));
        const auto problem = added.hub->listen(member.relayAddress);
        CPPUNIT_ASSERT_EQUAL(std::string(), problem);
        const rate_limit_bound bound{5000_ms, 0.1, 20};
        added.budget = std::make_shared<operation_budget>(
            world.context, world.store, budget_surroundings{member, bound, added.hub});
        instances.emplace(member.id, std::move(one));
    }

    void shareMembers()
    {
        std::vector<fleet_member> members;
        for (const auto &[id, one] : instances) {
            members.push_back(one->member);
        }
        for (const auto &[id, one] : instances) {
            one->hub->setMembers(members);
            one->budget->setMembers(members);
        }
    }

    void keepTicking()
    {
        if (m_isOver) {
            return;
        }
        for (const auto &[id, one] : instances) {
            if (one->isUp) {
                const auto now = systemNow();
                one->hub->tick(now, {});
                one->budget->tick(now);
            }
        }
        world.deadlines.scheduleAfter(100_ms, [this] { keepTicking(); });
    }

    bool m_isOver = false;
};

}

class budget_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(budget_fleet_test);
    CPPUNIT_TEST(limitHoldsOverAllInstances);
    CPPUNIT_TEST(lossOfAHolderMovesTheAsking);
    CPPUNIT_TEST(withoutLimitsNothingIsAskedOrRead);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Load: three instances of two data centres that ask for ten times the limit. Guards against a limit for each. */
    void limitHoldsOverAllInstances()
    {
        budget_fleet fleet({"a", "a", "b"}, 20);
        fleet.settle();
        constexpr int rounds = 100;
        for (int round = 0; round < rounds; ++round) {
            for (const auto &[id, one] : fleet.instances) {
                for (int i = 0; i < 4; ++i) {
                    fleet.operate(*one);
                }
            }
            fleet.world.runFor(20_ms);
        }
        fleet.world.runFor(300_ms);
        int admitted = 0;
        for (const auto &[id, one] : fleet.instances) {
            CPPUNIT_ASSERT(one->admitted > 0);
            CPPUNIT_ASSERT_EQUAL(rounds * 4, one->admitted + one->refused);
            admitted += one->admitted;
        }
        const auto message = "admitted " + std::to_string(admitted);
        CPPUNIT_ASSERT_MESSAGE(message, admitted <= 152); // (20 x 5 + 20) x 1.1 + 20
        CPPUNIT_ASSERT_MESSAGE(message, admitted >= 60); // What the limit allows in 2 s.
    }

    /** Guards against operations that wait for, or fail with, a holder that has ended. */
    void lossOfAHolderMovesTheAsking()
    {
        budget_fleet fleet({"a", "a", "b"}, 20);
        fleet.settle();
        const auto holder = fleet.holderIn("a");
        fleet.end(holder);
        fleet.world.runFor(50_ms);
        for (const auto &[id, one] : fleet.instances) {
            if (one->isUp) {
                for (int i = 0; i < 5; ++i) {
                    fleet.operate(*one);
                    fleet.world.runFor(200_ms);
                }
                const auto message =
                    id.str() + " of " + one->member.dataCentre.str() + ": " + std::to_string(one->admitted);
                CPPUNIT_ASSERT_MESSAGE(message, one->admitted >= 4); // The first may come before the link is open.
                CPPUNIT_ASSERT(one->budget->isReady(systemNow()));
            }
        }
    }

    /** Guards against costs where no workspace has a limit. */
    void withoutLimitsNothingIsAskedOrRead()
    {
        budget_fleet fleet({"a", "a"}, 20);
        for (const auto &[id, one] : fleet.instances) {
            one->budget->setConfiguration({});
        }
        const int before = fleet.world.store.calls["budget holders"];
        fleet.world.runFor(5000_ms);
        CPPUNIT_ASSERT_EQUAL(before, fleet.world.store.calls["budget holders"]);
        CPPUNIT_ASSERT(!fleet.world.store.budgetHolders);
        auto &one = *fleet.instances.begin()->second;
        fleet.operate(one);
        CPPUNIT_ASSERT_EQUAL(1, one.admitted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(budget_fleet_test);
