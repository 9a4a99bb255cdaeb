#include "factstore.h"
#include "rendezvous.h"
#include "virtualfleet.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <set>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

database_fact factOf(std::uint64_t term, target_role role, std::optional<duration> age)
{
    database_fact fact;
    fact.group = group_id("orders");
    fact.target = target_id("orders-1");
    fact.status.term = term;
    fact.status.role = role;
    fact.age = age;
    return fact;
}

std::vector<group_targets> groupsOf(std::size_t count)
{
    std::vector<group_targets> groups;
    for (std::size_t i = 0; i < count; ++i) {
        group_targets group{group_id("group-" + std::to_string(i)), {}};
        for (int t = 0; t < 3; ++t) {
            group.targets.push_back({target_id(group.group.str() + '-' + std::to_string(t)),
                                     "10.0.0.1",
                                     5432,
                                     data_centre_id("dc-" + std::to_string(t))});
        }
        groups.push_back(group);
    }
    return groups;
}

}

class fact_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fact_store_test);
    CPPUNIT_TEST(ageCountsFromTheProbe);
    CPPUNIT_TEST(onlyNewerReplaces);
    CPPUNIT_TEST(unboundedFactIsNeverFresh);
    CPPUNIT_TEST(indexAgreesWithRendezvousOrder);
    CPPUNIT_TEST(ageIsAnUpperBoundInTheFleet);
    CPPUNIT_TEST(changeOfPrimaryReachesAll);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a fact that looks fresher than it is because the ack or its processing was slow. */
    void ageCountsFromTheProbe()
    {
        fact_store store;
        const auto news = store.receive(factOf(1, target_role::Replica, 40_ms), time_point{10'000});
        CPPUNIT_ASSERT(news.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9'960}, news->notBefore.ms);
    }

    /** Guards against an older observation that hides a newer one, in whatever order they arrive. */
    void onlyNewerReplaces()
    {
        const bool held = rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &observations) {
            fact_store store;
            std::pair<std::uint64_t, std::int64_t> newest{0, 0};
            for (const auto &[term, at] : observations) {
                store.observe(time_point{1000 + at}, factOf(term, target_role::Replica, 0_ms));
                newest = std::max(newest, {term, 1000 + at});
                const auto known = store.find(group_id("orders"), target_id("orders-1"));
                RC_ASSERT(known->fact.status.term == newest.first);
                RC_ASSERT(known->notBefore.ms == newest.second);
            }
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against gossip without an age that passes for a recent observation. */
    void unboundedFactIsNeverFresh()
    {
        fact_store store;
        store.receive(factOf(3, target_role::Primary, std::nullopt), std::nullopt);
        CPPUNIT_ASSERT(store.find(group_id("orders"), target_id("orders-1"))->notBefore == never);
        CPPUNIT_ASSERT(store.answer(time_point{5}, {groupHash(group_id("orders"))}, 6).empty());
        CPPUNIT_ASSERT(!store.receive(factOf(2, target_role::Primary, 1_ms), time_point{5}).has_value());
    }

    /** Guards against instances that disagree on who probes or promotes because they came to know each other in another
     * order. */
    void indexAgreesWithRendezvousOrder()
    {
        const bool held = rc::check([](const std::vector<std::pair<std::uint8_t, bool>> &steps) {
            rendezvous_index index;
            index.setKeys({{"a", {}, 2}});
            std::set<instance_id> live;
            for (const auto &[number, up] : steps) {
                const instance_id id("i" + std::to_string(number));
                const data_centre_id centre("dc-" + std::to_string(number % 2));
                if (up) {
                    index.add(id, centre);
                    live.insert(id);
                } else {
                    index.remove(id);
                    live.erase(id);
                }
            }
            // A key that comes later must get the same owners as one that was there from the start.
            index.setKeys({{"b", data_centre_id("dc-1"), 2}, {"a", {}, 2}});
            const auto firstTwo = [](const std::string &key, std::vector<instance_id> instances) {
                auto order = rendezvousOrder(key, std::move(instances));
                order.resize(std::min<std::size_t>(order.size(), 2));
                return order;
            };
            RC_ASSERT(index.owners("a") == firstTwo("a", {live.begin(), live.end()}));
            std::vector<instance_id> odd;
            std::copy_if(live.begin(), live.end(), std::back_inserter(odd), [](const instance_id &id) {
                return std::stoi(id.str().substr(1)) % 2 == 1;
            });
            RC_ASSERT(index.owners("b") == firstTwo("b", odd));
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against ages that depend on synchronised clocks, and against owners whose facts never arrive. */
    void ageIsAnUpperBoundInTheFleet()
    {
        virtual_fleet_settings settings;
        settings.size = 6;
        settings.loss = 0.05;
        settings.maxDelay = 50_ms;
        virtual_fleet fleet(settings);
        fleet.introduceAll();
        const auto groups = groupsOf(3);
        std::vector<group_id> wanted;
        wanted.reserve(groups.size());
        for (const auto &group : groups) {
            wanted.push_back(group.group);
        }
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.node(i).setGroups(groups, wanted);
        }
        // The offset of an observed position is the fleet's time of the observation.
        bool upperBound = true;
        std::set<std::pair<std::size_t, target_id>> heard;
        fleet.onFact = [&](std::size_t observer, const timed_fact &news) {
            heard.emplace(observer, news.fact.target);
            const auto observed = static_cast<std::int64_t>(news.fact.status.at.offset);
            upperBound = upperBound && fleet.toFleetTime(observer, news.notBefore).ms <= observed;
        };
        for (int step = 0; step < 100; ++step) {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                for (const auto &group : groups) {
                    for (const auto &target : group.targets) {
                        if (fleet.node(i).ownership().isProber(group.group, target.id)) {
                            database_fact fact;
                            fact.group = group.group;
                            fact.target = target.id;
                            fact.status.at.offset = static_cast<std::uint64_t>(fleet.time().ms);
                            fact.age = 0_ms;
                            fleet.node(i).observe(fleet.localTime(i), {fact});
                        }
                    }
                }
            }
            fleet.run(250_ms);
        }
        CPPUNIT_ASSERT(upperBound);
        // Each of the 6 instances probes some of the 9 targets itself and hears of the others.
        CPPUNIT_ASSERT(heard.size() >= 36);
    }

    /** Guards against instances that keep sending writes to an old primary. */
    void changeOfPrimaryReachesAll()
    {
        virtual_fleet_settings settings;
        settings.size = 100;
        settings.loss = 0.1;
        virtual_fleet fleet(settings);
        fleet.introduceAll();
        fleet.run(3_s);
        std::set<std::size_t> informed;
        fleet.onFact = [&](std::size_t observer, const timed_fact &news) {
            if (news.fact.status.term == 9) {
                informed.insert(observer);
            }
        };
        fleet.node(17).observe(fleet.localTime(17), {factOf(9, target_role::Primary, 0_ms)});
        fleet.run(5_s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{99}, informed.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fact_store_test);
