#include "databasegroup.h"
#include "followerrepair.h"
#include "promotion.h"
#include "writeconfirmation.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

class database_group_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(database_group_test);
    CPPUNIT_TEST(suspectsASilentPrimaryOnly);
    CPPUNIT_TEST(suspectsAPrimaryThatRefusesConnections);
    CPPUNIT_TEST(doesNotSuspectAfterItsOwnPause);
    CPPUNIT_TEST(givesPeersTimeToReportAPrimary);
    CPPUNIT_TEST(datesDataByConfirmedSamples);
    CPPUNIT_TEST(keepsSamplesBounded);
    CPPUNIT_TEST(ignoresOvertakenAnswers);
    CPPUNIT_TEST(readsInBandStatesStrictly);
    CPPUNIT_TEST(repairsByTheUpstreamOfFullAnswersOnly);
    CPPUNIT_TEST(asksThePrimaryAgainBeforeARelease);
    CPPUNIT_TEST(failsWritesOfAnOldTerm);
    CPPUNIT_TEST(promotesOneDatabasePerTerm);
    CPPUNIT_TEST(alignsThePlannedDatabaseFirst);
    CPPUNIT_TEST(endsWithoutMajority);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_group.emplace(group_id("g"), std::vector<target_address>{address("a"), address("b"), address("c")});
        m_group->tick(time_point{0});
        heard("a", target_role::Primary, {1, 10}, 0);
        heard("b", target_role::Replica, {1, 10}, 0);
        heard("c", target_role::Replica, {1, 8}, 0);
    }

    /** Guards against replacing a primary that still answers, and against missing one that does not. */
    void suspectsASilentPrimaryOnly()
    {
        tickUntil(900);
        CPPUNIT_ASSERT(!m_group->primarySuspected(time_point{999}));
        m_group->observe(target_id("a"),
                         status(target_role::Primary, {1, 10}),
                         time_point{400},
                         time_point{900},
                         observation_source::Peer);
        tickUntil(1300);
        CPPUNIT_ASSERT(!m_group->primarySuspected(time_point{1399}));
        for (int i = 0; i < 3; ++i) {
            m_group->noteProbe(target_id("a"), time_point{1300});
        }
        CPPUNIT_ASSERT(m_group->primarySuspected(time_point{1400}));
    }

    /** Guards against waiting for the silence of a primary whose process has ended, against replacing one that a single
     * refusal or a rejecting firewall hides from this instance only, and against refusals from before a pause. */
    void suspectsAPrimaryThatRefusesConnections()
    {
        const target_id primary("a");
        tickUntil(300);
        m_group->noteRefused(primary, time_point{100});
        CPPUNIT_ASSERT(!m_group->primarySuspected(time_point{600}));
        m_group->noteRefused(primary, time_point{200});
        CPPUNIT_ASSERT(!m_group->primarySuspected(time_point{499}));
        CPPUNIT_ASSERT(m_group->primarySuspected(time_point{500}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(500), m_group->suspectedSince().ms);

        m_group->observe(
            primary, status(target_role::Primary, {1, 10}), time_point{150}, time_point{350}, observation_source::Peer);
        CPPUNIT_ASSERT(!m_group->primarySuspected(time_point{500}));

        m_group->noteRefused(primary, time_point{400});
        m_group->noteRefused(primary, time_point{450});
        m_group->tick(time_point{5000});
        CPPUNIT_ASSERT(!m_group->primarySuspected(time_point{5001}));
    }

    /** Guards against a promotion by an instance that was paused and has not asked again. */
    void doesNotSuspectAfterItsOwnPause()
    {
        tickUntil(900);
        m_group->tick(time_point{60000});
        CPPUNIT_ASSERT(!m_group->primarySuspected(time_point{60001}));
        CPPUNIT_ASSERT(!m_group->reachesMajority(time_point{60001}));
    }

    /** Guards against replacing a primary that an instance that has just started does not reach. */
    void givesPeersTimeToReportAPrimary()
    {
        m_group.emplace(group_id("g"), std::vector<target_address>{address("a"), address("b"), address("c")});
        m_group->tick(time_point{0});
        heard("b", target_role::Replica, {1, 10}, 0);
        heard("c", target_role::Replica, {1, 10}, 0);
        tickUntil(2950);
        CPPUNIT_ASSERT(!m_group->primarySuspected(time_point{2999}));
        CPPUNIT_ASSERT(m_group->primarySuspected(time_point{3005}));
    }

    /** Guards against dating a replica by a primary that may have been replaced. */
    void datesDataByConfirmedSamples()
    {
        heard("a", target_role::Primary, {1, 20}, 500);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), m_group->view(time_point{600})->find(target_id("b"))->includesUntil.ms);
        heard("b", target_role::Replica, {1, 20}, 450);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(450), m_group->view(time_point{600})->find(target_id("b"))->includesUntil.ms);
        CPPUNIT_ASSERT(m_group->view(time_point{600})->find(target_id("c"))->includesUntil == never);
    }

    /** Guards against memory that grows with the answers of the primary. */
    void keepsSamplesBounded()
    {
        age_samples samples;
        for (int i = 0; i < 200000; ++i) {
            samples.add(time_point{i}, {1, static_cast<std::uint64_t>(i)});
        }
        CPPUNIT_ASSERT(samples.size() <= 256);
        CPPUNIT_ASSERT(samples.includesUntil({1, 170000}, time_point{200000}) >= time_point{169500});
    }

    /** Guards against an old answer that arrives late and brings back an old term or position. */
    void ignoresOvertakenAnswers()
    {
        m_group->observe(target_id("b"),
                         {2, target_role::Fenced, {1, 10}, 0, 0, ""},
                         time_point{100},
                         time_point{110},
                         observation_source::Own);
        CPPUNIT_ASSERT(!m_group->primary());
        m_group->observe(target_id("b"),
                         status(target_role::Replica, {1, 9}),
                         time_point{90},
                         time_point{120},
                         observation_source::Own);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_group->find(target_id("b"))->status->term);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_group->highestTerm());
    }

    /** Guards against a state of another form that is half read. */
    void readsInBandStatesStrictly()
    {
        CPPUNIT_ASSERT(parseTargetState("4 fenced 3/1200")
                       == (target_state{4, target_role::Fenced, position{3, 1200}}));
        for (const char *text : {"", "4", "4 fenced", "4 fenced ", "4 Fenced 3/1", "x fenced 3/1", "4 fenced 3/1 "}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseTargetState(text));
        }
    }

    /** Guards against orders to a database that follows the primary, given because a report left its upstream out. */
    void repairsByTheUpstreamOfFullAnswersOnly()
    {
        follower_repair repair;
        m_group->observe(target_id("a"),
                         target_state{2, target_role::Primary, {2, 11}},
                         time_point{50},
                         time_point{55},
                         observation_source::Own);
        const target_state follows{2, target_role::Replica, {2, 11}};
        m_group->observe(target_id("b"), follows, time_point{50}, time_point{55}, observation_source::Peer);
        repair.update(*m_group, time_point{60});
        heard("c", target_role::Replica, {1, 8}, 500);
        const auto orders = repair.update(*m_group, time_point{1060});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), orders.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), orders.front().target.str());
    }

    /** Guards against an acknowledgement on a primary that has not answered since. */
    void asksThePrimaryAgainBeforeARelease()
    {
        write_confirmation writes;
        writes.add(1, {1, 10}, time_point{5000});
        const auto asked = writes.update(*m_group, time_point{200});
        CPPUNIT_ASSERT(asked.results.empty() && asked.statusAsks.size() == 1);
        heard("a", target_role::Primary, {1, 10}, 210);
        CPPUNIT_ASSERT_EQUAL(confirm_result::Confirmed, writes.update(*m_group, time_point{215}).results.at(0).result);
    }

    /** Guards against an acknowledgement after another primary may have taken over. */
    void failsWritesOfAnOldTerm()
    {
        write_confirmation writes;
        writes.add(1, {1, 10}, time_point{5000});
        m_group->observe(target_id("c"),
                         {2, target_role::Fenced, {1, 8}, 0, 0, ""},
                         time_point{20},
                         time_point{30},
                         observation_source::Peer);
        CPPUNIT_ASSERT_EQUAL(confirm_result::NewerTerm, writes.update(*m_group, time_point{30}).results.at(0).result);
    }

    /** Guards against a second promotion at a term whose first order may still take effect. */
    void promotesOneDatabasePerTerm()
    {
        promotion run({target_id("a"), target_id("b"), target_id("c")}, {}, std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), run.start(1, time_point{0}).size());
        run.answered(granted("b", 2, {1, 9}), time_point{5});
        const auto chosen = std::get<order_target>(run.answered(granted("c", 2, {1, 10}), time_point{6}).at(0));
        CPPUNIT_ASSERT(chosen.order == control_order::Promote && chosen.target == target_id("c"));
        CPPUNIT_ASSERT(run.answered(granted("a", 2, {1, 11}), time_point{7}).empty());
        const auto again = run.answered({control_order::Promote, target_id("c"), 2, true, false, {}}, time_point{8});
        CPPUNIT_ASSERT(std::get<order_target>(again.at(0)).order == control_order::Fence);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), run.term());
    }

    /** Guards against a planned change to a database that lacks acknowledged writes. */
    void alignsThePlannedDatabaseFirst()
    {
        promotion run({target_id("a"), target_id("b"), target_id("c")}, {}, target_id("c"));
        run.start(1, time_point{0});
        run.answered(granted("a", 2, {1, 10}), time_point{5});
        CPPUNIT_ASSERT(run.answered(granted("b", 2, {1, 9}), time_point{6}).empty());
        const auto follow = std::get<order_target>(run.answered(granted("c", 2, {1, 8}), time_point{7}).at(0));
        CPPUNIT_ASSERT(follow.order == control_order::Follow && follow.upstream == target_id("a"));
        target_status copied{2, target_role::Replica, {1, 9}, 0, 0, ""};
        CPPUNIT_ASSERT(run.observed(target_id("c"), copied, time_point{8}).empty());
        copied.at = {1, 10};
        const auto chosen = std::get<order_target>(run.observed(target_id("c"), copied, time_point{9}).at(0));
        CPPUNIT_ASSERT(chosen.order == control_order::Promote && chosen.target == target_id("c"));
    }

    /** Guards against a primary that a minority made. */
    void endsWithoutMajority()
    {
        promotion run({target_id("a"), target_id("b"), target_id("c")}, {}, std::nullopt);
        run.start(1, time_point{0});
        run.answered(granted("c", 2, {1, 10}), time_point{5});
        const auto ended = std::get<promotion_ended>(run.tick(time_point{500}).at(0));
        CPPUNIT_ASSERT(ended.outcome == promotion_outcome::NoMajority && ended.primary.empty());
    }

private:
    static target_address address(const char *name)
    {
        return {target_id(name), name, 1, data_centre_id("d")};
    }

    static target_status status(target_role role, position at)
    {
        return {1, role, at, 0, 10, role == target_role::Replica ? "a:1" : ""};
    }

    static order_answer granted(const char *name, std::uint64_t term, position at)
    {
        return {control_order::Fence, target_id(name), term, false, true, {term, target_role::Fenced, at, 0, 0, ""}};
    }

    void heard(const char *name, target_role role, position at, std::int64_t askedAt)
    {
        m_group->observe(
            target_id(name), status(role, at), time_point{askedAt}, time_point{askedAt + 5}, observation_source::Own);
    }

    void tickUntil(std::int64_t end)
    {
        for (std::int64_t t = 0; t <= end; t += 50) {
            m_group->tick(time_point{t});
        }
    }

    std::optional<database_group> m_group;
};

CPPUNIT_TEST_SUITE_REGISTRATION(database_group_test);
