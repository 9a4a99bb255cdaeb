#include "connectionallowance.h"
#include "keyaccess.h"
#include "keyrevocations.h"
#include "servingplan.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

using namespace crocusdeal;

namespace
{

access_key_digest digest(const std::string &key)
{
    return *access_key_digest::of(key);
}

workspace_entry workspace(const std::string &name, const std::vector<std::string> &keys)
{
    workspace_entry entry;
    entry.name = workspace_id(name);
    for (const auto &key : keys) {
        entry.keys.push_back(digest(key));
    }
    return entry;
}

routing_configuration withWorkspaces(std::vector<workspace_entry> entries)
{
    routing_configuration configuration;
    configuration.workspaces = workspace_directory(std::move(entries));
    return configuration;
}

}

class workspace_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(workspace_test);
    CPPUNIT_TEST(keyOpensItsWorkspaceOnly);
    CPPUNIT_TEST(ambiguousKeyOpensNothing);
    CPPUNIT_TEST(publicRoutesNeedNoKey);
    CPPUNIT_TEST(lostKeyForbidsWhatWasDecidedBefore);
    CPPUNIT_TEST(longestUnusedConnectionMakesRoom);
    CPPUNIT_TEST(workspaceLeavesRoomToOthers);
    CPPUNIT_TEST(allowancesStayUnderTheLimitOfATarget);
    CPPUNIT_TEST(workspacesSpreadOverThoseThatServe);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a caller who is taken for one of another workspace. */
    void keyOpensItsWorkspaceOnly()
    {
        const auto configuration = withWorkspaces({workspace("a", {"one", "two"}), workspace("b", {"three"})});
        const database_route route;
        CPPUNIT_ASSERT(decideAccess(configuration, route, digest("two")).workspace == workspace_id("a"));
        CPPUNIT_ASSERT(decideAccess(configuration, route, digest("three")).workspace == workspace_id("b"));
        CPPUNIT_ASSERT(decideAccess(configuration, route, digest("four")).refusal == access_refusal::UnknownKey);
        CPPUNIT_ASSERT(decideAccess(configuration, route, digest("")).refusal == access_refusal::UnknownKey);
        CPPUNIT_ASSERT(decideAccess(configuration, route, std::nullopt).refusal == access_refusal::NoKey);
    }

    /** Guards against work on behalf of one of two workspaces that nobody can tell apart. */
    void ambiguousKeyOpensNothing()
    {
        const workspace_directory directory(
            {workspace("a", {"one", "both"}), workspace("b", {"both"}), workspace("a", {"late"})});
        CPPUNIT_ASSERT(directory.ofKey(digest("both")) == nullptr);
        CPPUNIT_ASSERT(directory.ofKey(digest("late")) == nullptr);
        CPPUNIT_ASSERT(directory.ofKey(digest("one")) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.problems().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.entries().size());
    }

    /** Guards against callers of public routes, or of deployments without workspaces, who are turned away. */
    void publicRoutesNeedNoKey()
    {
        const auto configuration = withWorkspaces({workspace("a", {"one"})});
        database_route route;
        route.isPublic = true;
        CPPUNIT_ASSERT(!decideAccess(configuration, route, std::nullopt).refusal);
        CPPUNIT_ASSERT(decideAccess(configuration, route, digest("one")).workspace.empty());
        CPPUNIT_ASSERT(!decideAccess({}, database_route{}, std::nullopt).refusal);
    }

    /** Guards against a relayed statement that rests on a key which a newer configuration has taken away. */
    void lostKeyForbidsWhatWasDecidedBefore()
    {
        const workspace_directory before({workspace("a", {"one", "two"}), workspace("b", {"three"})});
        const workspace_directory added({workspace("a", {"one", "two", "new"}), workspace("b", {"three"})});
        const workspace_directory moved({workspace("a", {"one", "new"}), workspace("b", {"three", "two"})});
        key_revocations revocations;
        revocations.recordChange(before, added, 5);
        CPPUNIT_ASSERT(!revocations.mayRestOnLostKey(workspace_id("a"), 4));
        revocations.recordChange(added, moved, 7);
        CPPUNIT_ASSERT(revocations.mayRestOnLostKey(workspace_id("a"), 6));
        CPPUNIT_ASSERT(!revocations.mayRestOnLostKey(workspace_id("a"), 7));
        CPPUNIT_ASSERT(!revocations.mayRestOnLostKey(workspace_id("b"), 4));
        revocations.recordChange(moved, workspace_directory(), 9);
        CPPUNIT_ASSERT(revocations.mayRestOnLostKey(workspace_id("b"), 8));
    }

    /** Guards against a connection that is closed although it was used later than another. */
    void longestUnusedConnectionMakesRoom()
    {
        connection_census census;
        census.all = 5;
        const workspace_id wanting("w");
        CPPUNIT_ASSERT(chooseConnection({6, true}, wanting, census).step == connection_step::Open);
        CPPUNIT_ASSERT(chooseConnection({5, true}, wanting, census).step == connection_step::Wait);
        census.idle = {
            {workspace_id("x"), time_point{30}}, {wanting, time_point{1}}, {workspace_id("y"), time_point{20}}};
        const auto choice = chooseConnection({5, true}, wanting, census);
        CPPUNIT_ASSERT(choice.step == connection_step::Replace);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, choice.closes);
    }

    /** Guards against a workspace with much work that keeps all others out; load: one that is busy with all it has. */
    void workspaceLeavesRoomToOthers()
    {
        const connection_allowance allowance{9, true};
        connection_census census;
        const workspace_id large("large");
        while (chooseConnection(allowance, large, census).step == connection_step::Open) {
            ++census.all;
            ++census.ofWorkspace;
        }
        CPPUNIT_ASSERT(census.all < allowance.most);
        census.ofWorkspace = 0;
        CPPUNIT_ASSERT(chooseConnection(allowance, workspace_id("small"), census).step == connection_step::Open);
    }

    /** Guards against more connections than a target accepts, also beside those of instances that have just died. */
    void allowancesStayUnderTheLimitOfATarget()
    {
        for (const int limit : {46, 70, 90, 170}) {
            for (const auto &[instances, dataCentres] : std::map<int, int>{{5, 4}, {36, 4}, {77, 5}, {300, 6}}) {
                const int here = servingInstancesByWorkspace(limit, instances, dataCentres);
                const int serving = here == instances ? here : here * dataCentres;
                CPPUNIT_ASSERT(allowanceByWorkspace(limit, serving).most * serving <= limit);
                CPPUNIT_ASSERT(serving <= instances || here == 1);
            }
        }
    }

    /** Guards against one instance that serves all workspaces of a service while the others that serve it idle. */
    void workspacesSpreadOverThoseThatServe()
    {
        constexpr int instances = 12;
        std::vector<instance_id> members;
        members.reserve(instances);
        for (int i = 0; i < instances; ++i) {
            members.emplace_back("i" + std::to_string(i));
        }
        const service_id service("svc");
        const int serving = 3;
        std::map<instance_id, int> firsts;
        constexpr int workspaces = 90;
        for (int i = 0; i < workspaces; ++i) {
            const workspace_id name("w" + std::to_string(i));
            const auto order = relayOrderOfWorkspace(service, name, members, serving);
            CPPUNIT_ASSERT_EQUAL(members.size(), order.size());
            CPPUNIT_ASSERT(isServing(service, members, serving, order.front()));
            ++firsts[order.front()];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{serving}, firsts.size());
        for (const auto &[id, count] : firsts) {
            CPPUNIT_ASSERT(count >= workspaces / serving / 2);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(workspace_test);
