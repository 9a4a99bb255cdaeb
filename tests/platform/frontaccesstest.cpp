#include "capturedoutput.h"
#include "relaycodec.h"
#include "relayworld.h"
#include "systemclock.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <utility>

using namespace crocusdeal;
using namespace crocusdeal::test;
using namespace crocusdeal::literals;

namespace
{

const std::string largeKey = "k3y-of-large-4711";
const std::string smallKey = "k3y-of-small-0815";
const std::string otherSmallKey = "k3y-of-small-2342";

workspace_entry workspace(const std::string &name, const std::vector<std::string> &keys)
{
    workspace_entry entry;
    entry.name = workspace_id(name);
    for (const auto &key : keys) {
        entry.keys.push_back(*access_key_digest::of(key));
    }
    return entry;
}

void addWorkspaces(routing_configuration &configuration)
{
    configuration.workspaces =
        workspace_directory({workspace("large", {largeKey}), workspace("small", {smallKey, otherSmallKey})});
    configuration.routes.at("stale").isPublic = true;
}

/** The next version of the configuration, in which the small workspace has lost its first key. */
void takeSmallKey(front_world &world)
{
    world.configuration.version += 1;
    world.configuration.workspaces =
        workspace_directory({workspace("large", {largeKey}), workspace("small", {otherSmallKey})});
    world.store.setConfiguration(world.configuration);
}

/** On whose behalf the database has run the statement; empty if it has not. */
std::string workspaceOf(const line_database &database, const std::string &text)
{
    const auto found = std::find(database.statements.begin(), database.statements.end(), text);
    return found == database.statements.end()
        ? std::string()
        : database.workspaces[static_cast<std::size_t>(found - database.statements.begin())];
}

}

/** Keys of callers, and connections that belong to workspaces. */
class front_access_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_access_test);
    CPPUNIT_TEST(onlyKnownKeysAreLetIn);
    CPPUNIT_TEST(statementsRunOnBehalfOfTheirWorkspace);
    CPPUNIT_TEST(takenKeyEndsWhatItAllowed);
    CPPUNIT_TEST(noOutputHoldsAKey);
    CPPUNIT_TEST(smallWorkspaceGetsInBesideALargeOne);
    CPPUNIT_TEST(relayedStatementsMeetAtOneInstance);
    CPPUNIT_TEST(relayedAccessOfAnOlderVersionIsRefused);
    CPPUNIT_TEST(fleetWithoutWorkspacesIsServedAsBefore);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against work of callers whom no configuration lets in, and against a key that is asked for in vain. */
    void onlyKnownKeysAreLetIn()
    {
        front_world world;
        addWorkspaces(world.configuration);
        world.start();
        CPPUNIT_ASSERT_EQUAL(std::string("ERROR AUTHFAIL own"), world.answerToStartup("own", "guess"));
        CPPUNIT_ASSERT_EQUAL(std::string("ERROR AUTHFAIL own"), world.answerToStartup("own", ""));
        CPPUNIT_ASSERT_EQUAL(std::string("ERROR NOSUCHDB nowhere"), world.answerToStartup("nowhere", "guess"));
        CPPUNIT_ASSERT_EQUAL(std::string("READY I -"), world.answerToStartup("own", smallKey));
        CPPUNIT_ASSERT_EQUAL(std::string("READY I -"), world.answerToStartup("own", otherSmallKey));
        CPPUNIT_ASSERT_EQUAL(std::string("READY I -"), world.answerToStartup("stale", ""));
    }

    /** Guards against a target that takes work for that of another workspace, and against a key that it is told. */
    void statementsRunOnBehalfOfTheirWorkspace()
    {
        front_world world;
        addWorkspaces(world.configuration);
        world.start();
        const auto large = world.connect("fresh", largeKey);
        const auto small = world.connect("fresh", smallKey);
        const auto nobody = world.connect("stale", "");
        const auto &primary = world.group.at("a");
        for (int i = 0; i < 3; ++i) {
            const auto item = std::to_string(i);
            assertContains("COMPLETE sig", world.ask(*large, "WRITE l" + item + " x"));
            assertContains("COMPLETE sig", world.ask(*small, "WRITE s" + item + " x"));
            CPPUNIT_ASSERT_EQUAL(std::string("large"), workspaceOf(primary, "WRITE l" + item + " x"));
            CPPUNIT_ASSERT_EQUAL(std::string("small"), workspaceOf(primary, "WRITE s" + item + " x"));
        }
        assertContains("COMPLETE", world.ask(*small, "BEGIN"));
        assertContains("COMPLETE sig", world.ask(*small, "WRITE t x"));
        assertContains("COMPLETE sig", world.ask(*small, "COMMIT"));
        CPPUNIT_ASSERT_EQUAL(std::string("small"), workspaceOf(primary, "WRITE t x"));
        assertContains("COMPLETE sig", world.ask(*nobody, "READ l0"));
        for (const auto &[id, database] : world.group.databases) {
            for (const auto &line : database->startups) {
                CPPUNIT_ASSERT_MESSAGE(line, !contains(line, "k3y"));
            }
        }
    }

    /** Guards against work that goes on with a key which the operator has taken away. */
    void takenKeyEndsWhatItAllowed()
    {
        front_world world;
        addWorkspaces(world.configuration);
        world.start();
        const auto resting = world.connect("fresh", smallKey);
        const auto inTransaction = world.connect("fresh", smallKey);
        const auto kept = world.connect("fresh", otherSmallKey);
        assertContains("COMPLETE", world.ask(*inTransaction, "BEGIN"));
        assertContains("COMPLETE sig", world.ask(*inTransaction, "WRITE 1 lost"));
        takeSmallKey(world);
        CPPUNIT_ASSERT(world.runUntil([&] { return resting->isClosed(); }, 3000_ms));
        CPPUNIT_ASSERT(contains(world.ask(*inTransaction, "COMMIT"), "ERROR"));
        CPPUNIT_ASSERT_EQUAL(std::string("ERROR AUTHFAIL fresh"), world.answerToStartup("fresh", smallKey));
        assertContains("COMPLETE sig", world.ask(*kept, "WRITE 2 kept"));
        CPPUNIT_ASSERT(!world.group.at("a").items.contains("1"));
    }

    /** Guards against a key in a log line, a metric or an error. */
    void noOutputHoldsAKey()
    {
        std::string output;
        std::string answers;
        {
            const captured_output captured;
            front_world world;
            world.log.setLevel(log_level::Debug);
            addWorkspaces(world.configuration);
            world.start();
            const auto client = world.connect("own", smallKey);
            answers += world.ask(*client, "WRITE 1 x");
            answers += world.answerToStartup("own", "k3y-that-nobody-has");
            answers += world.answerToStartup("nowhere", smallKey);
            takeSmallKey(world);
            world.runUntil([&] { return client->isClosed(); }, 3000_ms);
            answers += world.answerToStartup("own", smallKey);
            answers += world.metrics.render();
            world.log.flush();
            output = captured.read();
        }
        CPPUNIT_ASSERT(contains(output, "event=session_refused"));
        CPPUNIT_ASSERT(!contains(output, "k3y"));
        CPPUNIT_ASSERT(!contains(answers, "k3y"));
    }

    /** Guards against a workspace whose statements take all connections of a target from the others. */
    void smallWorkspaceGetsInBesideALargeOne()
    {
        front_world world;
        addWorkspaces(world.configuration);
        for (auto &[service, policy] : world.configuration.services) {
            policy.maxConnections = 5;
        }
        world.start();
        std::vector<std::unique_ptr<line_client>> busy;
        for (int i = 0; i < 6; ++i) {
            busy.push_back(world.connect("fresh", largeKey));
            world.ask(*busy.back(), "BEGIN");
            busy.back()->send("QUERY b" + std::to_string(i) + " WRITE " + std::to_string(i) + " x");
        }
        world.runFor(200_ms);
        const auto small = world.connect("fresh", smallKey);
        const auto begun = systemNow();
        assertContains("COMPLETE sig", world.ask(*small, "WRITE s x"));
        CPPUNIT_ASSERT(systemNow() - begun < world.configuration.routes.at("fresh").latencyObjective);
    }

    /** Guards against a connection for each workspace at each instance, more than a target accepts. */
    void relayedStatementsMeetAtOneInstance()
    {
        relay_world fleet(4, 12);
        addWorkspaces(fleet.world.configuration);
        fleet.world.configuration.version += 1;
        fleet.world.store.setConfiguration(fleet.world.configuration);
        fleet.world.runFor(1500_ms);
        int asked = 0;
        for (const auto &[name, node] : fleet.fronts) {
            const auto client = fleet.connect(name, "fresh", smallKey);
            for (int i = 0; i < 3; ++i) {
                assertContains("COMPLETE sig", fleet.ask(*client, "WRITE i" + std::to_string(asked++) + " x"));
            }
        }
        const auto &primary = fleet.world.group.at("a");
        const auto ofSmall = std::count_if(primary.startups.begin(), primary.startups.end(), [](const auto &line) {
            return contains(line, " small ");
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, ofSmall);
        CPPUNIT_ASSERT(std::all_of(
            primary.workspaces.begin(), primary.workspaces.end(), [](const auto &name) { return name == "small"; }));
    }

    /** Guards against a statement that an instance behind a newer configuration has let in by a key that is gone. */
    void relayedAccessOfAnOlderVersionIsRefused()
    {
        relay_world fleet(3, 4);
        addWorkspaces(fleet.world.configuration);
        fleet.world.configuration.version = 2;
        fleet.world.store.setConfiguration(fleet.world.configuration);
        fleet.world.runFor(1000_ms);
        takeSmallKey(fleet.world);
        fleet.world.runFor(1000_ms);
        const auto &peer = fleet.settingsOf(fleet.serving());
        const auto &self = fleet.settingsOf(fleet.relays().front());
        const auto link =
            std::make_shared<relay_link>(fleet.world.context,
                                         fleet_member{self.instance, self.dataCentre, *self.relayAddress, 1},
                                         fleet_member{peer.instance, peer.dataCentre, *peer.relayAddress, 1});
        link->open();
        CPPUNIT_ASSERT(fleet.world.runUntil([&] { return link->isUsable(); }));
        const auto askWith = [&](const std::string &workspaceName, std::uint64_t decidedBy) {
            relay_run run;
            run.request = {"q" + workspaceName, {statement_kind::Write, "WRITE 7 x", {}, {}, effect::Read}};
            run.kind = effect::Write;
            run.route = fleet.world.configuration.routes.at("fresh");
            run.workspace = workspace_id(workspaceName);
            run.accessDecidedBy = decidedBy;
            std::optional<relay_result> result;
            link->run(run, false, [&](const relay_result &ended) { result = ended; });
            CPPUNIT_ASSERT(fleet.world.runUntil([&] { return result.has_value(); }));
            return result->answer;
        };
        CPPUNIT_ASSERT(askWith("small", 2).error == error_code::Busy);
        CPPUNIT_ASSERT(askWith("two words", 3).error == error_code::Malformed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.world.group.at("a").statements.size());
        CPPUNIT_ASSERT(askWith("small", 3).reply.isSuccess());
        CPPUNIT_ASSERT(askWith("large", 2).reply.isSuccess());
        link->close("test");
    }

    /** Guards against a change for deployments that know no workspaces. */
    void fleetWithoutWorkspacesIsServedAsBefore()
    {
        front_world world;
        world.start();
        const auto client = world.connect("fresh", "anybody");
        assertContains("COMPLETE sig", world.ask(*client, "WRITE 1 x"));
        CPPUNIT_ASSERT_EQUAL(std::string("READY I -"), world.answerToStartup("fresh", ""));
        CPPUNIT_ASSERT_EQUAL(std::string("crocusdeal"), workspaceOf(world.group.at("a"), "WRITE 1 x"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_access_test);
