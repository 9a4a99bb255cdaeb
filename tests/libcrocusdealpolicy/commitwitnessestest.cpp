#include "commitwitnesses.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

class commit_witnesses_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(commit_witnesses_test);
    CPPUNIT_TEST(nothingIsProvedBeforeTheLeaseIsKnown);
    CPPUNIT_TEST(targetListedWhileACommandIsOpenProvesNothing);
    CPPUNIT_TEST(oldAnswerAboutTheLeaseCoversNoNewTarget);
    CPPUNIT_TEST(olderAnswerDoesNotReplaceANewerOne);
    CPPUNIT_TEST(commitFromBeforeTheCoverIsNotProved);
    CPPUNIT_TEST(coveredTargetStaysAWitnessUnderALaterCommand);
    CPPUNIT_TEST(anotherIncarnationIsNew);
    CPPUNIT_TEST(connectionOpenedWhileACommandIsOpenProvesNothing);
    CPPUNIT_TEST(answerThatMayBeOldTrustsNoConnection);
    CPPUNIT_TEST(unchangedRecordTrustsForEarlierCommits);
    CPPUNIT_TEST(commandWithoutARecordOverlooksLaterConnections);
    CPPUNIT_TEST(secondCommandWithoutARecordHidesNoEarlierOne);
    CPPUNIT_TEST(commandWithoutARecordOverlooksLaterTargets);
    CPPUNIT_TEST(logOfAnotherTermIsNotComparable);
    CPPUNIT_TEST(targetListedBeforeTheFirstOpenClaimIsAWitness);
    CPPUNIT_TEST(instanceThatStartsWhileACommandIsOpenProvesNothing);
    CPPUNIT_TEST(takenOverCommandMayOverlookTheTarget);
    CPPUNIT_TEST(targetsOfOpenCommandsAreNamed);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against LOST: a target that an open command names leads without what another one proves. */
    void targetsOfOpenCommandsAreNamed()
    {
        m_witnesses.setTargets({m_old, m_joined}, m_now);
        m_witnesses.recordLease(std::nullopt, 5, m_now, m_now);
        auto record = opened(8);
        record.targets = std::vector<target_id>{m_joined.id};
        m_witnesses.recordLease(record, 8, m_now + 10_ms, m_now + 10_ms);
        CPPUNIT_ASSERT(m_witnesses.namedTargets() == std::vector<target_id>{m_joined.id});
        m_witnesses.recordLease(std::nullopt, 9, m_now + 20_ms, m_now + 20_ms);
        CPPUNIT_ASSERT(m_witnesses.namedTargets().empty());
    }

    /** Guards against an instance that has just started and hands out what only an overlooked replica holds. */
    void nothingIsProvedBeforeTheLeaseIsKnown()
    {
        m_witnesses.setTargets({m_old}, m_now);
        CPPUNIT_ASSERT(!proves(m_old, m_now + 10_ms));
        CPPUNIT_ASSERT(m_witnesses.isLeaseWanted());
        m_witnesses.recordLease(std::nullopt, 5, m_now, m_now);
        CPPUNIT_ASSERT(proves(m_old, m_now + 10_ms));
        CPPUNIT_ASSERT(!m_witnesses.isLeaseWanted());
    }

    /** Guards against LOST: a replica that joins after the list was read acknowledges what the new primary lacks. */
    void targetListedWhileACommandIsOpenProvesNothing()
    {
        m_witnesses.setTargets({m_old}, m_now);
        m_witnesses.recordLease(std::nullopt, 5, m_now, m_now);
        m_witnesses.recordLease(opened(8), 8, m_now + 10_ms, m_now + 10_ms);
        m_witnesses.setTargets({m_old, m_joined}, m_now + 20_ms);
        m_witnesses.recordLease(opened(8), 12, m_now + 20_ms, m_now + 20_ms);
        CPPUNIT_ASSERT(!proves(m_joined, m_now + 30_ms));
        m_witnesses.recordLease(std::nullopt, 13, m_now + 40_ms, m_now + 40_ms);
        CPPUNIT_ASSERT(proves(m_joined, m_now + 50_ms));
    }

    /** Guards against a reading that is seconds old: a command may have been sent since. */
    void oldAnswerAboutTheLeaseCoversNoNewTarget()
    {
        m_witnesses.recordLease(std::nullopt, 5, m_now, m_now);
        m_witnesses.setTargets({m_joined}, m_now);
        CPPUNIT_ASSERT(!proves(m_joined, m_now + 10_ms));
        CPPUNIT_ASSERT(m_witnesses.isLeaseWanted());
        m_witnesses.recordLease(std::nullopt, 9, m_now + 10_ms, m_now + 10_ms);
        CPPUNIT_ASSERT(!proves(m_joined, m_now + 20_ms));
        m_witnesses.recordLease(std::nullopt, 10, m_now + 20_ms, m_now + 20_ms);
        CPPUNIT_ASSERT(proves(m_joined, m_now + 30_ms));
    }

    /** Guards against a late answer that hides an open command. */
    void olderAnswerDoesNotReplaceANewerOne()
    {
        m_witnesses.recordLease(opened(8), 20, m_now, m_now);
        m_witnesses.recordLease(std::nullopt, 15, m_now, m_now);
        m_witnesses.setTargets({m_joined}, m_now);
        CPPUNIT_ASSERT(!proves(m_joined, m_now + 10_ms));
    }

    /** Guards against LOST: the command that has overlooked the replica is carried out, and then nothing is open. */
    void commitFromBeforeTheCoverIsNotProved()
    {
        m_witnesses.setTargets({m_joined}, m_now);
        m_witnesses.recordLease(std::nullopt, 13, m_now + 40_ms, m_now + 40_ms);
        CPPUNIT_ASSERT(!proves(m_joined, m_now + 30_ms));
        CPPUNIT_ASSERT(proves(m_joined, m_now + 40_ms));
    }

    /** Guards against writes that wait although a replica holds them that each command takes into account. */
    void coveredTargetStaysAWitnessUnderALaterCommand()
    {
        m_witnesses.setTargets({m_old}, m_now);
        m_witnesses.recordLease(std::nullopt, 5, m_now, m_now);
        m_witnesses.recordLease(opened(8), 8, m_now, m_now);
        m_witnesses.setTargets({m_old}, m_now);
        CPPUNIT_ASSERT(proves(m_old, m_now + 10_ms));
    }

    /** Guards against LOST: a replica that has started again is not paused, and its earlier pause is in the proof. */
    void anotherIncarnationIsNew()
    {
        m_witnesses.setTargets({m_old}, m_now);
        m_witnesses.recordLease(std::nullopt, 5, m_now, m_now);
        m_witnesses.recordLease(opened(8), 8, m_now, m_now);
        auto again = m_old;
        again.incarnation = 2;
        again.listedAt = 9;
        m_witnesses.setTargets({again}, m_now);
        CPPUNIT_ASSERT(!proves(again, m_now + 10_ms));
    }

    /** Guards against LOST: a replica that has started again answers long before its entry tells so. */
    void connectionOpenedWhileACommandIsOpenProvesNothing()
    {
        m_witnesses.setTargets({m_old}, m_now);
        m_witnesses.recordLease(std::nullopt, 5, m_now, m_now);
        m_witnesses.recordLease(opened(8), 8, m_now + 50_ms, m_now + 50_ms);
        const auto connectedAt = m_now + 100_ms;
        m_witnesses.recordLease(opened(8), 9, m_now + 5000_ms, m_now + 5000_ms);
        CPPUNIT_ASSERT(proves(m_old, m_now + 5000_ms));
        CPPUNIT_ASSERT(!m_witnesses.isWitness(m_old.id, connectedAt, m_now + 5000_ms));
        m_witnesses.recordLease(std::nullopt, 10, m_now + 5100_ms, m_now + 5100_ms);
        CPPUNIT_ASSERT(!m_witnesses.isWitness(m_old.id, connectedAt, m_now + 5000_ms));
        CPPUNIT_ASSERT(m_witnesses.isWitness(m_old.id, connectedAt, m_now + 5100_ms));
    }

    /** Guards against LOST: an answer from before the connection shows no command that was sent since. */
    void answerThatMayBeOldTrustsNoConnection()
    {
        m_witnesses.setTargets({m_old}, m_now);
        m_witnesses.recordLease(std::nullopt, 5, m_now, m_now);
        const auto connectedAt = m_now + 100_ms;
        m_witnesses.recordLease(std::nullopt, 6, never, m_now + 200_ms);
        CPPUNIT_ASSERT(!m_witnesses.isWitness(m_old.id, connectedAt, m_now + 300_ms));
        CPPUNIT_ASSERT(m_witnesses.isLeaseWantedFor(connectedAt));
        m_witnesses.recordLease(std::nullopt, 6, m_now + 99_ms, m_now + 200_ms);
        CPPUNIT_ASSERT(!m_witnesses.isWitness(m_old.id, connectedAt, m_now + 300_ms));
        m_witnesses.recordLease(std::nullopt, 6, m_now + 150_ms, m_now + 200_ms);
        CPPUNIT_ASSERT(m_witnesses.isWitness(m_old.id, connectedAt, m_now + 300_ms));
        CPPUNIT_ASSERT(!m_witnesses.isLeaseWantedFor(connectedAt));
    }

    /** Guards against a write in doubt whose replicas were connected to only after it was sent. */
    void unchangedRecordTrustsForEarlierCommits()
    {
        const promotion_lease_record settled{"other", 4, promotion_lease_purpose::Settled, 0};
        m_witnesses.setTargets({m_old}, m_now);
        m_witnesses.recordLease(settled, 5, m_now, m_now);
        const auto connectedAt = m_now + 100_ms;
        m_witnesses.recordLease(settled, 30, m_now + 110_ms, m_now + 120_ms);
        CPPUNIT_ASSERT(m_witnesses.isWitness(m_old.id, connectedAt, m_now + 50_ms));
        // Somebody has claimed and settled in between: a command may have been carried out.
        auto settledAgain = settled;
        settledAgain.revision = 40;
        const auto connectedLater = m_now + 200_ms;
        m_witnesses.recordLease(settledAgain, 41, m_now + 210_ms, m_now + 220_ms);
        CPPUNIT_ASSERT(!m_witnesses.isWitness(m_old.id, connectedLater, m_now + 150_ms));
        CPPUNIT_ASSERT(m_witnesses.isWitness(m_old.id, connectedLater, m_now + 220_ms));
    }

    /** Guards against LOST: a replica that has started again since a command that the lease does not tell of. */
    void commandWithoutARecordOverlooksLaterConnections()
    {
        m_witnesses.setTargets({m_old}, m_now);
        m_witnesses.recordLease(std::nullopt, 5, m_now, m_now);
        m_witnesses.recordUnrecordedCommand(m_now + 10_ms);
        const auto connectedAt = m_now + 20_ms;
        m_witnesses.recordLease(std::nullopt, 6, m_now + 30_ms, m_now + 30_ms);
        CPPUNIT_ASSERT(!m_witnesses.isWitness(m_old.id, connectedAt, m_now + 40_ms));
        CPPUNIT_ASSERT(proves(m_old, m_now + 40_ms));
        CPPUNIT_ASSERT(m_witnesses.isWitness(m_old.id, connectedAt, m_now + 16000_ms));
    }

    /** Guards against LOST: a second question hides the command that followed the first. */
    void secondCommandWithoutARecordHidesNoEarlierOne()
    {
        m_witnesses.setTargets({m_old}, m_now);
        m_witnesses.recordLease(std::nullopt, 5, m_now, m_now);
        m_witnesses.recordUnrecordedCommand(m_now + 10_ms);
        const auto connectedAt = m_now + 20_ms;
        m_witnesses.recordUnrecordedCommand(m_now + 5000_ms);
        m_witnesses.recordLease(std::nullopt, 6, m_now + 5100_ms, m_now + 5100_ms);
        CPPUNIT_ASSERT(!m_witnesses.isWitness(m_old.id, connectedAt, m_now + 5200_ms));
        CPPUNIT_ASSERT(m_witnesses.isWitness(m_old.id, connectedAt, m_now + 21000_ms));
    }

    /** Guards against LOST: an instance that the store turns away promotes, and the lease does not tell. */
    void commandWithoutARecordOverlooksLaterTargets()
    {
        m_witnesses.setTargets({m_old}, m_now);
        m_witnesses.recordLease(std::nullopt, 5, m_now, m_now);
        m_witnesses.recordUnrecordedCommand(m_now);
        m_witnesses.setTargets({m_old, m_joined}, m_now + 10_ms);
        m_witnesses.recordLease(std::nullopt, 12, m_now + 10_ms, m_now + 10_ms);
        CPPUNIT_ASSERT(proves(m_old, m_now + 20_ms));
        CPPUNIT_ASSERT(!proves(m_joined, m_now + 20_ms));
        CPPUNIT_ASSERT(!proves(m_joined, m_now + 12000_ms));
        CPPUNIT_ASSERT(proves(m_joined, m_now + 16000_ms));
    }

    /** Guards against taking the log of a later primary, which may have begun below the commit, for one that holds it.
     */
    void logOfAnotherTermIsNotComparable()
    {
        CPPUNIT_ASSERT(holdsCommit({3, 10}, {3, 10}));
        CPPUNIT_ASSERT(holdsCommit({3, 11}, {3, 10}));
        CPPUNIT_ASSERT(!holdsCommit({3, 9}, {3, 10}));
        CPPUNIT_ASSERT(!holdsCommit({4, 11}, {3, 10}));
        CPPUNIT_ASSERT(!holdsCommit({2, 11}, {3, 10}));
    }

    /** Guards against an instance that hears of targets while a command is open and takes none for a witness. */
    void targetListedBeforeTheFirstOpenClaimIsAWitness()
    {
        m_witnesses.recordLease(std::nullopt, 2, m_now, m_now);
        m_witnesses.setTargets({m_old, m_joined}, m_now);
        m_witnesses.recordLease(opened(8), 12, m_now, m_now);
        CPPUNIT_ASSERT(proves(m_old, m_now + 10_ms));
        CPPUNIT_ASSERT(!proves(m_joined, m_now + 10_ms));
    }

    /** Guards against LOST: a replica may have started again, unpaused, before the instance connects to it. */
    void instanceThatStartsWhileACommandIsOpenProvesNothing()
    {
        m_witnesses.setTargets({m_old}, m_now);
        m_witnesses.recordLease(opened(8), 12, m_now, m_now);
        CPPUNIT_ASSERT(!proves(m_old, m_now + 10_ms));
        m_witnesses.recordLease(std::nullopt, 13, m_now + 20_ms, m_now + 20_ms);
        CPPUNIT_ASSERT(proves(m_old, m_now + 30_ms));
    }

    /** Guards against LOST: the holder has taken over a command that was sent before the target was listed. */
    void takenOverCommandMayOverlookTheTarget()
    {
        m_witnesses.recordLease(std::nullopt, 2, m_now, m_now);
        auto takenOver = opened(20);
        takenOver.openSince = 8;
        m_witnesses.setTargets({m_joined}, m_now);
        m_witnesses.recordLease(takenOver, 20, m_now, m_now);
        CPPUNIT_ASSERT(!proves(m_joined, m_now + 10_ms));
        takenOver.openSince.reset();
        m_witnesses.recordLease(takenOver, 20, m_now, m_now);
        CPPUNIT_ASSERT(!proves(m_joined, m_now + 10_ms));
        m_witnesses.recordLease(opened(20), 20, m_now, m_now);
        CPPUNIT_ASSERT(proves(m_joined, m_now + 10_ms));
    }

private:
    static promotion_lease_record opened(std::uint64_t revision)
    {
        return {"other", revision, promotion_lease_purpose::Promotion, 0};
    }

    bool proves(const listed_target &target, time_point sentAt) const
    {
        return m_witnesses.isWitness(target.id, m_connectedAt, sentAt);
    }

    const time_point m_connectedAt{90000}; ///< Of connections that have been open all the while.
    const time_point m_now{100000};
    const listed_target m_old{target_id("b"), 1, 3};
    const listed_target m_joined{target_id("d"), 1, 10};
    commit_witnesses m_witnesses;
};

CPPUNIT_TEST_SUITE_REGISTRATION(commit_witnesses_test);
