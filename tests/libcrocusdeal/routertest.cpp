#include "router.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

class router_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(router_test);
    CPPUNIT_TEST(givesDrainedAndUnheardTargetsNoWork);
    CPPUNIT_TEST(prefersTheOwnDataCentreUnlessItsQueueIsLonger);
    CPPUNIT_TEST(keepsReadsOffThePrimaryUnlessReplicasAreFull);
    CPPUNIT_TEST(waitsOnlyForAReplicaThatCatchesUp);
    CPPUNIT_TEST(asksTheReadIndexForAnUnknownHistory);
    CPPUNIT_TEST(keepsStaleReadsWithinTheirAge);
    CPPUNIT_TEST(parksWhatNoValidPrimaryCanServe);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_now = time_point{10000};
        m_view = {group_id("g"), 2, target_id("p"), false, m_now, m_now - 100_ms, {}};
        m_view.targets = {target("p", "one", target_role::Primary, 50),
                          target("near", "one", target_role::Replica, 50),
                          target("far", "two", target_role::Replica, 50)};
        m_request = {route_class::Read, position{2, 40}, m_now - 1000_ms, std::nullopt, false, m_now + 2000_ms};
        m_load.clear();
    }

    /** Guards against work for a target that leaves or may be gone. */
    void givesDrainedAndUnheardTargetsNoWork()
    {
        m_view.targets[1].leaving = true;
        expect(route_kind::ToReplica, "far");
        m_view.targets[2].heardAt = m_now - 1001_ms;
        expect(route_kind::ToPrimary, "p");
        m_view.targets[0].leaving = true;
        CPPUNIT_ASSERT_EQUAL(route_reason::PrimaryLeaving, expect(route_kind::Park, "").reason);
    }

    /** Guards against crossing data centres for nothing, and against queueing at home beside an idle replica. */
    void prefersTheOwnDataCentreUnlessItsQueueIsLonger()
    {
        m_load[target_id("near")] = {1, 3_ms};
        expect(route_kind::ToReplica, "near");
        m_load[target_id("near")] = {2, 4_ms};
        CPPUNIT_ASSERT_EQUAL(route_reason::OtherDataCentreShorter, expect(route_kind::ToReplica, "far").reason);
    }

    /** Guards against a share of replica reads that falls without need. */
    void keepsReadsOffThePrimaryUnlessReplicasAreFull()
    {
        m_load[target_id("near")] = m_load[target_id("far")] = {20, 40_ms};
        CPPUNIT_ASSERT_EQUAL(route_kind::ToReplica, decide().kind);
        m_load[target_id("near")] = m_load[target_id("far")] = {30, 60_ms};
        CPPUNIT_ASSERT_EQUAL(route_reason::ReplicasOverloaded, expect(route_kind::ToPrimary, "p").reason);
    }

    /** Guards against waiting for a replica that will not have the session's write in time. */
    void waitsOnlyForAReplicaThatCatchesUp()
    {
        m_request.token = position{2, 60};
        m_view.targets[0].status->at = {2, 60};
        expect(route_kind::ToPrimary, "p");
        m_view.targets[2].replayRate = 0.4;
        expect(route_kind::ToPrimary, "p");
        m_view.targets[2].replayRate = 0.6;
        CPPUNIT_ASSERT_EQUAL(std::int64_t(20), expect(route_kind::WaitForReplica, "far").waitLimit.ms);
    }

    /** Guards against a new session that reads data older than what its caller wrote elsewhere. */
    void asksTheReadIndexForAnUnknownHistory()
    {
        m_request.token.reset();
        m_request.startedAt = m_now;
        CPPUNIT_ASSERT(expect(route_kind::ReadIndexFirst, "").indexFrom == m_now);
        m_request.kind = route_class::StaleRead;
        m_request.maxAge = 500_ms;
        expect(route_kind::ReadIndexFirst, "");
        m_request.mayMissOwnWrites = true;
        expect(route_kind::ToReplica, "near");
        m_request = {route_class::Read, std::nullopt, m_now - 300_ms, std::nullopt, false, m_now + 2000_ms};
        expect(route_kind::ToReplica, "near");
    }

    /** Guards against data older than stated, also from a primary that may have been replaced. */
    void keepsStaleReadsWithinTheirAge()
    {
        m_request.kind = route_class::StaleRead;
        m_request.maxAge = 150_ms;
        m_view.targets[1].includesUntil = m_now - 151_ms;
        m_view.targets[2].includesUntil = m_now - 150_ms;
        expect(route_kind::ToReplica, "far");
        m_view.targets[2].includesUntil = m_now - 151_ms;
        expect(route_kind::ToPrimary, "p");
        m_view.currentUntil = m_now - 151_ms;
        CPPUNIT_ASSERT_EQUAL(route_reason::DataTooOld, expect(route_kind::ReadIndexFirst, "").reason);
    }

    /** Guards against statements for a primary that is replaced, suspected or unknown. */
    void parksWhatNoValidPrimaryCanServe()
    {
        m_request.kind = route_class::Write;
        m_request.token = position{3, 1};
        CPPUNIT_ASSERT_EQUAL(route_reason::NewerTermElsewhere, expect(route_kind::Park, "").reason);
        m_request.token = position{2, 1};
        expect(route_kind::ToPrimary, "p");
        m_view.primarySuspected = true;
        CPPUNIT_ASSERT_EQUAL(route_reason::PrimarySuspected, expect(route_kind::Park, "").reason);
        m_view.primary.reset();
        CPPUNIT_ASSERT_EQUAL(route_reason::NoPrimary, expect(route_kind::Park, "").reason);
        m_request.deadline = m_now;
        expect(route_kind::Refuse, "");
    }

private:
    target_view target(const char *id, const char *centre, target_role role, std::uint64_t offset) const
    {
        target_view result;
        result.address = {target_id(id), "127.0.0.1", 1, data_centre_id(centre)};
        result.status = target_status{2, role, {2, offset}, 0, 10, ""};
        result.askedAt = result.heardAt = m_now - 10_ms;
        result.includesUntil = m_now - 100_ms;
        return result;
    }

    route decide() const
    {
        router_settings settings;
        settings.ownDataCentre = data_centre_id("one");
        return router(settings).decide(m_request, m_view, m_load, m_now);
    }

    route expect(route_kind kind, const std::string &name) const
    {
        auto result = decide();
        CPPUNIT_ASSERT_EQUAL(std::string(routeKindNames.name(kind)), std::string(routeKindNames.name(result.kind)));
        CPPUNIT_ASSERT_EQUAL(name, result.target.str());
        return result;
    }

    time_point m_now;
    group_view m_view;
    route_request m_request;
    load_table m_load;
};

CPPUNIT_TEST_SUITE_REGISTRATION(router_test);
