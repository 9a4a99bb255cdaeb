#include "budgetholders.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

constexpr time_point start{1000};
const data_centre_id here("a");
const data_centre_id there("b");
const instance_id me("i1");
const instance_id other("i2");
const workspace_id workspace("shop");

fleet_member memberOf(const instance_id &id, const data_centre_id &dataCentre)
{
    return {id, dataCentre, {}, 1};
}

}

class budget_holders_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(budget_holders_test);
    CPPUNIT_TEST(eachDataCentreHasOneHolder);
    CPPUNIT_TEST(firstTableIsInForceAtOnce);
    CPPUNIT_TEST(newPartWaitsForThoseWhoGoByTheTableBefore);
    CPPUNIT_TEST(smallerPartShrinksAtOnce);
    CPPUNIT_TEST(oldReadingEndsTheHolding);
    CPPUNIT_TEST(restartWithTheSamePartDoesNotWait);
    CPPUNIT_TEST(tableIsCreatedInTurn);
    CPPUNIT_TEST(missingNameIsReplacedAfterAWhile);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against two holders of one part. */
    void eachDataCentreHasOneHolder()
    {
        const budget_holder_names names{{here, {me, other}}, {there, {instance_id("i3")}}};
        int holders = 0;
        for (const auto &id : names.at(here)) {
            holders += budgetShare(names, workspace, here, id) == 0.5 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, holders);
        CPPUNIT_ASSERT_EQUAL(0.5, budgetShare(names, workspace, there, instance_id("i3")));
        CPPUNIT_ASSERT_EQUAL(0.0, budgetShare(names, workspace, data_centre_id("c"), me));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, budgetHolders(names, workspace, here).size());
    }

    void firstTableIsInForceAtOnce()
    {
        budget_tenure tenure(me, here);
        CPPUNIT_ASSERT_EQUAL(0.0, tenure.share(workspace, start));
        tenure.tableRead({1, {{here, {me}}}, {}}, start, start);
        CPPUNIT_ASSERT_EQUAL(1.0, tenure.share(workspace, start));
    }

    /** Guards against two instances that fill one part: one by a table that it has not seen replaced. */
    void newPartWaitsForThoseWhoGoByTheTableBefore()
    {
        budget_tenure tenure(me, here);
        tenure.tableRead({2, {{here, {me}}}, {{here, {other}}}}, start, start);
        CPPUNIT_ASSERT_EQUAL(0.0, tenure.share(workspace, start));
        for (auto now = start; now < start + 40000_ms; now = now + 5000_ms) {
            tenure.tableRead({2, {{here, {me}}}, {{here, {other}}}}, now, now);
        }
        CPPUNIT_ASSERT_EQUAL(0.0, tenure.share(workspace, start + 34999_ms));
        CPPUNIT_ASSERT_EQUAL(1.0, tenure.share(workspace, start + 35000_ms));
    }

    void smallerPartShrinksAtOnce()
    {
        budget_tenure tenure(me, here);
        tenure.tableRead({1, {{here, {me}}}, {}}, start, start);
        tenure.tableRead({2, {{here, {me}}, {there, {other}}}, {{here, {me}}}}, start, start);
        CPPUNIT_ASSERT_EQUAL(0.5, tenure.share(workspace, start));
    }

    /** Guards against an instance that is cut off from the store, or was frozen, and goes on with a part. */
    void oldReadingEndsTheHolding()
    {
        budget_tenure tenure(me, here);
        tenure.tableRead({1, {{here, {me}}}, {}}, start, start + 20000_ms);
        CPPUNIT_ASSERT(tenure.mayAct(start + 29999_ms));
        CPPUNIT_ASSERT(!tenure.mayAct(start + 30000_ms));
        CPPUNIT_ASSERT_EQUAL(0.0, tenure.share(workspace, start + 30000_ms));
        // A reading that may be old allows nothing.
        tenure.tableRead({1, {{here, {me}}}, {}}, never, start + 30000_ms);
        CPPUNIT_ASSERT(!tenure.mayAct(start + 30000_ms));
    }

    /** Guards against restarts that cost a part of the limit for half a minute. */
    void restartWithTheSamePartDoesNotWait()
    {
        budget_tenure tenure(me, here);
        const budget_holder_names one{{here, {me}}};
        tenure.tableRead({7, one, one}, start, start);
        CPPUNIT_ASSERT_EQUAL(1.0, tenure.share(workspace, start));
    }

    /** Load: a fleet that starts at once. Guards against a write of each instance. */
    void tableIsCreatedInTurn()
    {
        int writers = 0;
        std::vector<fleet_member> members;
        members.reserve(36);
        for (int i = 0; i < 36; ++i) {
            members.push_back(memberOf(instance_id("i" + std::to_string(i)), here));
        }
        for (const auto &member : members) {
            budget_table_plan plan(member.id);
            plan.observe(members, start);
            CPPUNIT_ASSERT(!plan.due(std::nullopt, start + 2999_ms));
            const auto names = plan.due(std::nullopt, start + 3000_ms);
            writers += names ? 1 : 0;
            CPPUNIT_ASSERT(!names || names->at(here).size() == 16);
        }
        CPPUNIT_ASSERT_EQUAL(1, writers);
    }

    /** Guards against a part that nobody fills, and against a change for a restart. */
    void missingNameIsReplacedAfterAWhile()
    {
        budget_table_plan plan(me);
        const std::vector<fleet_member> both{memberOf(me, here), memberOf(other, here)};
        const budget_holder_table table{1, {{here, {me, other}}}, {}};
        plan.observe(both, start);
        CPPUNIT_ASSERT(!plan.due(table, start));
        const auto missedAt = start + 60000_ms;
        plan.observe(both, missedAt);
        CPPUNIT_ASSERT(!plan.due(table, missedAt));
        plan.observe({memberOf(me, here)}, missedAt + 9000_ms);
        CPPUNIT_ASSERT(!plan.due(table, missedAt + 9000_ms));
        plan.observe({memberOf(me, here)}, missedAt + 10000_ms);
        const auto names = plan.due(table, missedAt + 10000_ms);
        CPPUNIT_ASSERT(names.has_value());
        CPPUNIT_ASSERT(*names == (budget_holder_names{{here, {me}}}));
        // The new table stands until nobody goes by the old one.
        const budget_holder_table next{2, *names, table.names};
        plan.observe({memberOf(me, here), memberOf(other, there)}, missedAt + 11000_ms);
        CPPUNIT_ASSERT(!plan.due(next, missedAt + 11000_ms));
        CPPUNIT_ASSERT(!plan.due(next, missedAt + 45999_ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(budget_holders_test);
