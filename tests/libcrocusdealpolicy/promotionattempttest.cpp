#include "promotionattempt.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

const target_id oldPrimary("a");
const target_id nearReplica("b");
const target_id farReplica("c");
const target_id leaving("d");

std::vector<promotion_member> members(std::initializer_list<target_id> ids)
{
    std::vector<promotion_member> list;
    for (const auto &id : ids) {
        list.push_back({id, false, false, false});
    }
    return list;
}

replication_report report(bool isPrimary, position received, std::uint64_t pausedAt = 0)
{
    replication_report result;
    result.isPrimary = isPrimary;
    result.term = 3;
    result.received = received;
    result.pausedAt = pausedAt;
    return result;
}

template<typename Action>
std::vector<target_id> targetsOf(const std::vector<promotion_action> &actions)
{
    std::vector<target_id> targets;
    for (const auto &action : actions) {
        if (const auto *wanted = std::get_if<Action>(&action)) {
            targets.push_back(wanted->target);
        }
    }
    return targets;
}

bool isOrdered(const std::vector<promotion_action> &actions)
{
    return !targetsOf<order_promotion>(actions).empty();
}

}

class promotion_attempt_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(promotion_attempt_test);
    CPPUNIT_TEST(choosesTheFurthestPausedReplica);
    CPPUNIT_TEST(doesNotOrderBesideAReplicaThatIsNotPaused);
    CPPUNIT_TEST(ordersOnceTheMissingReplicaIsGone);
    CPPUNIT_TEST(resumesWhenThePrimaryAnswersAgain);
    CPPUNIT_TEST(primaryThatSteppedDownIsAMemberLikeTheOthers);
    CPPUNIT_TEST(plannedChangeResumesTheChosenReplica);
    CPPUNIT_TEST(leavesPausesToTheNewerHolderWhenRefused);
    CPPUNIT_TEST(plannedChangePausesAllButTheChosen);
    CPPUNIT_TEST(plannedChangeWaitsForThePositionAfterThePauses);
    CPPUNIT_TEST(plannedChangeStepsDownWhenAReplicaCannotBePaused);
    CPPUNIT_TEST(plannedChangeWithoutACandidateOrdersNothing);
    CPPUNIT_TEST(endsWhenAnotherTargetLeadsMeanwhile);
    CPPUNIT_TEST(endsBeforeTheOrderWhenTheDutyIsLost);
    CPPUNIT_TEST(unansweredOrderIsRepeatedForTheSameTarget);
    CPPUNIT_TEST(everyInstanceOrdersTheSameTarget);
    CPPUNIT_TEST(unansweredOrderLeavesThePauses);
    CPPUNIT_TEST(plannedChangeTakesTheReplicaThatWasLeftUnpaused);
    CPPUNIT_TEST(wakesOnlyInTheFuture);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against losing a commit that only the further replica holds. */
    void choosesTheFurthestPausedReplica()
    {
        auto attempt = lostAttempt();
        attempt.statusReceived(nearReplica, report(false, {3, 10}), m_now, m_now);
        attempt.statusReceived(farReplica, report(false, {3, 12}), m_now, m_now);
        const auto pauses = targetsOf<pause_target>(attempt.step(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pauses.size());
        attempt.statusReceived(nearReplica, report(false, {3, 14}, 4), m_now, m_now);
        attempt.statusReceived(farReplica, report(false, {3, 13}, 4), m_now, m_now);
        const auto ordered = targetsOf<order_promotion>(attempt.step(m_now));
        CPPUNIT_ASSERT(ordered == std::vector<target_id>{nearReplica});
    }

    /** Guards against LOST: a replica that this instance cannot reach may go on acknowledging for the primary. */
    void doesNotOrderBesideAReplicaThatIsNotPaused()
    {
        auto attempt = lostAttempt();
        attempt.statusReceived(nearReplica, report(false, {3, 10}), m_now, m_now);
        attempt.statusMissing(farReplica, m_now);
        bool wasOrdered = false;
        for (int i = 0; i < 100; ++i) {
            for (const auto &action : attempt.step(m_now)) {
                wasOrdered = wasOrdered || std::holds_alternative<order_promotion>(action);
                if (const auto *pause = std::get_if<pause_target>(&action)) {
                    answerPause(attempt, pause->target);
                }
            }
            m_now = m_now + 100_ms;
        }
        CPPUNIT_ASSERT(!wasOrdered);
    }

    /** Guards against waiting for ever for a target that has left. */
    void ordersOnceTheMissingReplicaIsGone()
    {
        auto attempt = lostAttempt();
        attempt.statusReceived(nearReplica, report(false, {3, 10}), m_now, m_now);
        attempt.statusMissing(farReplica, m_now);
        attempt.step(m_now);
        attempt.statusReceived(nearReplica, report(false, {3, 10}, 4), m_now, m_now);
        CPPUNIT_ASSERT(!isOrdered(attempt.step(m_now)));
        attempt.memberGone(farReplica);
        CPPUNIT_ASSERT(isOrdered(attempt.step(m_now)));
    }

    /** Guards against leaving replicas paused, and against replacing a primary that lives. */
    void resumesWhenThePrimaryAnswersAgain()
    {
        auto attempt = lostAttempt();
        attempt.statusReceived(nearReplica, report(false, {3, 10}), m_now, m_now);
        attempt.statusMissing(farReplica, m_now);
        attempt.step(m_now);
        attempt.statusReceived(oldPrimary, report(true, {3, 15}), m_now, m_now);
        const auto resumed = targetsOf<resume_target>(attempt.step(m_now));
        CPPUNIT_ASSERT(attempt.result() == attempt_outcome::LeaderFound);
        CPPUNIT_ASSERT(std::find(resumed.begin(), resumed.end(), nearReplica) != resumed.end());
    }

    /** Guards against LOST: the old primary has stepped down for an attempt that failed, and alone holds the last
     * commits. */
    void primaryThatSteppedDownIsAMemberLikeTheOthers()
    {
        auto attempt = lostAttempt();
        attempt.statusReceived(oldPrimary, report(false, {3, 30}), m_now, m_now);
        attempt.statusReceived(nearReplica, report(false, {3, 10}), m_now, m_now);
        attempt.statusReceived(farReplica, report(false, {3, 10}), m_now, m_now);
        const auto pauses = targetsOf<pause_target>(attempt.step(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, pauses.size());
        attempt.statusReceived(oldPrimary, report(false, {3, 30}, 4), m_now, m_now);
        attempt.statusReceived(nearReplica, report(false, {3, 10}, 4), m_now, m_now);
        attempt.statusReceived(farReplica, report(false, {3, 10}, 4), m_now, m_now);
        CPPUNIT_ASSERT(targetsOf<order_promotion>(attempt.step(m_now)) == std::vector<target_id>{oldPrimary});
    }

    /** Guards against waiting for a replica that an earlier attempt has left paused. */
    void plannedChangeResumesTheChosenReplica()
    {
        auto attempt = plannedAttempt({oldPrimary, nearReplica, farReplica});
        attempt.statusReceived(oldPrimary, report(true, {3, 20}), m_now, m_now);
        attempt.statusReceived(nearReplica, report(false, {3, 20}, 4), m_now, m_now);
        attempt.statusReceived(farReplica, report(false, {3, 20}, 4), m_now, m_now);
        const auto paused = targetsOf<pause_target>(attempt.step(m_now)).front();
        attempt.statusReceived(paused, report(false, {3, 20}, 5), m_now, m_now);
        bool isResumed = false;
        for (int i = 0; i < 5 && !isResumed; ++i) {
            const auto resumed = targetsOf<resume_target>(attempt.step(m_now));
            isResumed = resumed == std::vector<target_id>{*attempt.chosen()};
            m_now = m_now + 100_ms;
        }
        CPPUNIT_ASSERT(isResumed);
    }

    /** Guards against ending the pauses on which a newer holder of the duty relies. */
    void leavesPausesToTheNewerHolderWhenRefused()
    {
        auto attempt = lostAttempt();
        attempt.statusReceived(nearReplica, report(false, {3, 10}), m_now, m_now);
        attempt.statusReceived(farReplica, report(false, {3, 10}), m_now, m_now);
        attempt.step(m_now);
        attempt.orderRefused();
        CPPUNIT_ASSERT(attempt.step(m_now).empty());
        CPPUNIT_ASSERT(attempt.result() == attempt_outcome::Refused);
    }

    /** Guards against a gap in a planned change: the old primary serves on with the chosen replica. */
    void plannedChangePausesAllButTheChosen()
    {
        auto attempt = plannedAttempt({oldPrimary, nearReplica, farReplica});
        answerSurvey(attempt);
        const auto pauses = targetsOf<pause_target>(attempt.step(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pauses.size());
        CPPUNIT_ASSERT(attempt.chosen().has_value());
        CPPUNIT_ASSERT(pauses.front() != *attempt.chosen());
        CPPUNIT_ASSERT(pauses.front() != oldPrimary);
    }

    /** Guards against LOST: what the primary committed before the pauses may be on the paused replica only. */
    void plannedChangeWaitsForThePositionAfterThePauses()
    {
        auto attempt = plannedAttempt({oldPrimary, nearReplica, farReplica});
        answerSurvey(attempt);
        const auto paused = targetsOf<pause_target>(attempt.step(m_now)).front();
        m_now = m_now + 5_ms;
        attempt.statusReceived(paused, report(false, {3, 22}, 4), m_now, m_now);
        CPPUNIT_ASSERT(!isOrdered(attempt.step(m_now)));
        m_now = m_now + 100_ms;
        attempt.statusReceived(oldPrimary, report(true, {3, 25}), m_now, m_now);
        attempt.statusReceived(*attempt.chosen(), report(false, {3, 24}), m_now, m_now);
        CPPUNIT_ASSERT(!isOrdered(attempt.step(m_now)));
        m_now = m_now + 100_ms;
        attempt.statusReceived(*attempt.chosen(), report(false, {3, 25}), m_now, m_now);
        CPPUNIT_ASSERT(isOrdered(attempt.step(m_now)));
    }

    /** Guards against LOST when a replica acknowledges that this instance cannot reach. */
    void plannedChangeStepsDownWhenAReplicaCannotBePaused()
    {
        auto attempt = plannedAttempt({oldPrimary, nearReplica, leaving});
        attempt.statusReceived(oldPrimary, report(true, {3, 20}), m_now, m_now);
        attempt.statusReceived(nearReplica, report(false, {3, 20}), m_now, m_now);
        attempt.statusMissing(leaving, m_now);
        bool hasSteppedDown = false;
        for (int i = 0; i < 20 && !hasSteppedDown; ++i) {
            const auto actions = attempt.step(m_now);
            CPPUNIT_ASSERT(!isOrdered(actions));
            hasSteppedDown = !targetsOf<step_down_target>(actions).empty();
            attempt.statusMissing(leaving, m_now);
            m_now = m_now + 100_ms;
        }
        CPPUNIT_ASSERT(hasSteppedDown);
        attempt.statusReceived(oldPrimary, report(false, {3, 30}), m_now, m_now);
        attempt.statusReceived(nearReplica, report(false, {3, 29}), m_now, m_now);
        CPPUNIT_ASSERT(!isOrdered(attempt.step(m_now)));
        attempt.statusReceived(nearReplica, report(false, {3, 30}), m_now, m_now);
        CPPUNIT_ASSERT(isOrdered(attempt.step(m_now)));
    }

    /** Guards against ordering the primary itself, or a target that is leaving as well. */
    void plannedChangeWithoutACandidateOrdersNothing()
    {
        promotion_attempt attempt(promotion_reason::PrimaryDraining,
                                  oldPrimary,
                                  {{oldPrimary, true, false, false}, {leaving, true, false, false}},
                                  true,
                                  m_now);
        attempt.step(m_now);
        attempt.statusReceived(oldPrimary, report(true, {3, 20}), m_now, m_now);
        attempt.statusReceived(leaving, report(false, {3, 20}), m_now, m_now);
        CPPUNIT_ASSERT(!isOrdered(attempt.step(m_now)));
        CPPUNIT_ASSERT(attempt.result() == attempt_outcome::NotSafe);
    }

    /** Guards against LOST: another instance has promoted a member while this attempt waited for a missing one. */
    void endsWhenAnotherTargetLeadsMeanwhile()
    {
        promotion_attempt attempt(
            promotion_reason::PrimaryLost, std::nullopt, members({oldPrimary, nearReplica, farReplica}), true, m_now);
        pauseBothReplicas(attempt);
        m_now = m_now + 5000_ms;
        attempt.step(m_now);
        attempt.statusReceived(nearReplica, report(true, {4, 12}), m_now, m_now);
        attempt.statusReceived(farReplica, report(false, {4, 12}, 5), m_now, m_now);
        attempt.statusReceived(oldPrimary, report(false, {4, 13}, 5), m_now, m_now);
        CPPUNIT_ASSERT(!isOrdered(attempt.step(m_now)));
        CPPUNIT_ASSERT(attempt.result() == attempt_outcome::LeaderFound);
        CPPUNIT_ASSERT(attempt.chosen() == nearReplica);
    }

    /** Guards against ordering from what was seen before another instance held the duty. */
    void endsBeforeTheOrderWhenTheDutyIsLost()
    {
        auto waiting = lostAttempt();
        pauseBothReplicas(waiting);
        waiting.dutyLost();
        CPPUNIT_ASSERT(waiting.step(m_now).empty());
        CPPUNIT_ASSERT(waiting.result() == attempt_outcome::Refused);

        auto ordered = lostAttempt();
        ordered.statusReceived(nearReplica, report(false, {3, 10}), m_now, m_now);
        ordered.statusReceived(farReplica, report(false, {3, 10}), m_now, m_now);
        ordered.step(m_now);
        ordered.statusReceived(nearReplica, report(false, {3, 10}, 4), m_now, m_now);
        ordered.statusReceived(farReplica, report(false, {3, 10}, 4), m_now, m_now);
        CPPUNIT_ASSERT(isOrdered(ordered.step(m_now)));
        ordered.orderAccepted(m_now);
        ordered.dutyLost();
        CPPUNIT_ASSERT(ordered.result() == attempt_outcome::Pending);
    }

    /** Guards against LOST: a late order names a target that lacks what others have acknowledged since. */
    void unansweredOrderIsRepeatedForTheSameTarget()
    {
        auto attempt = orderedPlannedAttempt();
        const auto chosen = *attempt.chosen();
        for (int i = 0; i < 10; ++i) {
            m_now = m_now + 800_ms;
            attempt.orderUnanswered(m_now);
            bool isRepeated = false;
            for (int j = 0; j < 5 && !isRepeated; ++j) {
                const auto actions = attempt.step(m_now);
                CPPUNIT_ASSERT(targetsOf<resume_target>(actions).empty());
                isRepeated = targetsOf<order_promotion>(actions) == std::vector<target_id>{chosen};
                m_now = m_now + 100_ms;
            }
            CPPUNIT_ASSERT(isRepeated);
            CPPUNIT_ASSERT(attempt.result() == attempt_outcome::Pending);
        }
        attempt.orderAccepted(m_now);
        attempt.statusReceived(chosen, report(true, {4, 20}), m_now, m_now);
        CPPUNIT_ASSERT(!targetsOf<resume_target>(attempt.step(m_now)).empty());
        CPPUNIT_ASSERT(attempt.result() == attempt_outcome::Promoted);
    }

    /** Guards against LOST: the order of an instance that has died names the replica that it has left unpaused. */
    void plannedChangeTakesTheReplicaThatWasLeftUnpaused()
    {
        auto attempt = plannedAttempt({oldPrimary, nearReplica, farReplica});
        attempt.statusReceived(oldPrimary, report(true, {3, 20}), m_now, m_now);
        attempt.statusReceived(nearReplica, report(false, {3, 15}, 4), m_now, m_now);
        attempt.statusReceived(farReplica, report(false, {3, 20}), m_now, m_now);
        attempt.step(m_now);
        CPPUNIT_ASSERT(attempt.chosen() == farReplica);
    }

    /** Guards against LOST: late orders of two instances, each for the replica nearby, are carried out in turn. */
    void everyInstanceOrdersTheSameTarget()
    {
        std::vector<target_id> ordered;
        for (const auto &nearby : {nearReplica, farReplica}) {
            std::vector<promotion_member> all{{oldPrimary}, {nearReplica}, {farReplica}};
            for (auto &member : all) {
                member.isLocal = member.id == nearby;
            }
            promotion_attempt attempt(promotion_reason::PrimaryLost, oldPrimary, all, true, m_now);
            attempt.step(m_now);
            pauseBothReplicas(attempt);
            attempt.statusReceived(farReplica, report(false, {3, 10}, 4), m_now, m_now);
            const auto targets = targetsOf<order_promotion>(attempt.step(m_now));
            ordered.insert(ordered.end(), targets.begin(), targets.end());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ordered.size());
        CPPUNIT_ASSERT(ordered[0] == ordered[1]);
    }

    /** Guards against LOST: without the pauses others acknowledge what an order that is still open then loses. */
    void unansweredOrderLeavesThePauses()
    {
        auto attempt = orderedPlannedAttempt();
        while (attempt.result() == attempt_outcome::Pending) {
            m_now = m_now + 100_ms;
            attempt.orderUnanswered(m_now);
            m_now = m_now + 5000_ms;
            CPPUNIT_ASSERT(targetsOf<resume_target>(attempt.step(m_now)).empty());
        }
        CPPUNIT_ASSERT(attempt.result() == attempt_outcome::Unanswered);
    }

    /** Guards against a busy loop: members that are not asked any more lie far in the past. */
    void wakesOnlyInTheFuture()
    {
        auto attempt = plannedAttempt({oldPrimary, nearReplica, farReplica});
        answerSurvey(attempt);
        for (int i = 0; i < 50; ++i) {
            attempt.step(m_now);
            CPPUNIT_ASSERT(attempt.wakeAt(m_now) > m_now);
            m_now = m_now + 100_ms;
        }
    }

private:
    promotion_attempt lostAttempt()
    {
        promotion_attempt attempt(
            promotion_reason::PrimaryLost, oldPrimary, members({oldPrimary, nearReplica, farReplica}), true, m_now);
        attempt.step(m_now);
        return attempt;
    }

    /** The old primary does not answer. */
    void pauseBothReplicas(promotion_attempt &attempt)
    {
        attempt.step(m_now);
        attempt.statusReceived(nearReplica, report(false, {3, 10}), m_now, m_now);
        attempt.statusReceived(farReplica, report(false, {3, 10}), m_now, m_now);
        attempt.statusMissing(oldPrimary, m_now);
        attempt.step(m_now);
        attempt.statusReceived(nearReplica, report(false, {3, 10}, 4), m_now, m_now);
    }

    promotion_attempt plannedAttempt(std::initializer_list<target_id> ids)
    {
        promotion_attempt attempt(promotion_reason::PrimaryDraining, oldPrimary, members(ids), true, m_now);
        attempt.step(m_now);
        return attempt;
    }

    /** A planned change whose order has been sent. */
    promotion_attempt orderedPlannedAttempt()
    {
        auto attempt = plannedAttempt({oldPrimary, nearReplica, farReplica});
        answerSurvey(attempt);
        const auto paused = targetsOf<pause_target>(attempt.step(m_now)).front();
        attempt.statusReceived(paused, report(false, {3, 20}, 4), m_now, m_now);
        attempt.step(m_now);
        m_now = m_now + 100_ms;
        attempt.statusReceived(oldPrimary, report(true, {3, 20}), m_now, m_now);
        attempt.statusReceived(*attempt.chosen(), report(false, {3, 20}), m_now, m_now);
        CPPUNIT_ASSERT(isOrdered(attempt.step(m_now)));
        return attempt;
    }

    void answerSurvey(promotion_attempt &attempt)
    {
        attempt.statusReceived(oldPrimary, report(true, {3, 20}), m_now, m_now);
        attempt.statusReceived(nearReplica, report(false, {3, 20}), m_now, m_now);
        attempt.statusReceived(farReplica, report(false, {3, 20}), m_now, m_now);
    }

    void answerPause(promotion_attempt &attempt, const target_id &target)
    {
        if (target == farReplica) {
            attempt.statusMissing(target, m_now);
        } else {
            attempt.statusReceived(target, report(false, {3, 10}, 4), m_now, m_now);
        }
    }

    time_point m_now{1000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(promotion_attempt_test);
