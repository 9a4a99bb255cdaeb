#pragma once

#include "clock.h"
#include "identifiers.h"
#include "position.h"
#include "promotionlease.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** A target of the service as its entry describes it. */
struct listed_target {
    target_id id;
    std::uint64_t incarnation = 0;
    std::uint64_t listedAt = 0; ///< A revision of the store from which on it is listed in this incarnation.
    bool mayProveCommits = true; ///< Else other instances may order without it.
};

/**
 * Decides which targets of one service can prove that a commit survives each promotion that may be under way.
 *
 * The primary acknowledges a commit as soon as any replica has received it, also one that no instance knows yet. A
 * promotion command is safe for what the targets hold that its sender knew: it reads their list after it has claimed
 * the promotion lease. A target that may be missing from that list proves nothing, whatever it holds. It becomes a
 * witness once every command that may be open is known to have been claimed after the target was listed, so that it was
 * sent with the target taken into account. Revisions of the store give the order of these events, so that old answers
 * do no harm. A command that has overlooked the target may have been carried out until then, so it proves only commits
 * that were sent to the primary afterwards.
 *
 * A pause that an open command relies on may end before the command takes effect. So while the record names the targets
 * of open commands, only what all of these hold survives.
 *
 * A target may also start again, without its log and its pause, before its entry tells of it. So its answers count only
 * over a connection that was open before a current answer about the lease was asked for that shows no open command:
 * each later command pauses what is at the other end of that connection.
 */
class commit_witnesses
{
public:
    /** Takes over the targets that are known now; one that is listed again, or in another incarnation, is new. */
    void setTargets(const std::vector<listed_target> &targets, time_point now);
    /**
     * The record of the lease, or none, as it was at @p revision of the store. @p currentSince is when the answer was
     * asked for if it is current; never if it may be old.
     */
    void recordLease(const std::optional<promotion_lease_record> &record,
                     std::uint64_t revision,
                     time_point currentSince,
                     time_point now);
    /** Another instance may send a command that the lease does not tell of, for the targets that are known now. */
    void recordUnrecordedCommand(time_point now);

    /**
     * Whether a commit that @p target holds, and that was sent to the primary at @p sentAt, survives each promotion.
     * The target has told so over a connection that has been open since @p connectedAt.
     */
    bool isWitness(const target_id &target, time_point connectedAt, time_point sentAt) const;
    /** As isWitness(), for a target that an open command names: whether it still holds the commit if it leads. */
    bool isKeeper(const target_id &target, time_point connectedAt, time_point sentAt) const;
    /**
     * Whether a current answer about the lease can make answers count over a connection that is open since then; not
     * while a command is known to be open.
     */
    bool isLeaseWantedFor(time_point connectedAt) const;
    /**
     * Targets that open commands name, as far as the record tells. Each of them may lead with nothing but its own log,
     * so a commit survives only if all of them hold it, but for the primary that has acknowledged it.
     */
    const std::vector<target_id> &namedTargets() const;
    bool isNamed(const target_id &target) const;
    /** What is known of a target as a witness, with revisions and ages, for the log. */
    std::string describe(const target_id &target, time_point now) const;
    /** Whether a newer answer about the lease can make more targets witnesses. */
    bool isLeaseWanted() const;

private:
    struct witness_state {
        std::uint64_t incarnation = 0;
        std::uint64_t listedAt = 0;
        bool mayProveCommits = true;
        time_point coveredAt = never; ///< Since when no command that overlooks it can be open; never if one can.
        bool isNewSinceCommand = false; ///< Listed since recordUnrecordedCommand().
    };

    /** No command is open that was claimed after connections of then were opened. */
    struct trusted_connections {
        time_point openedUntil = never;
        time_point since = never; ///< Nothing has been open since then; for commits that are sent from then on.
    };

    void coverTargets(time_point now);
    void recordQuietLease(const std::optional<promotion_lease_record> &record, time_point currentSince, time_point now);
    bool isTrusted(time_point connectedAt, time_point sentAt) const;

    std::map<target_id, witness_state> m_targets;
    std::uint64_t m_leaseRevision = 0;
    /** A target that was listed at this revision or earlier is overlooked by no open command. */
    std::uint64_t m_coveredRevision = 0;
    std::vector<target_id> m_named; ///< By open commands.
    time_point m_unrecordedSince = never; ///< The first of those that may be open together.
    time_point m_unrecordedCommandAt = never; ///< The last one.
    std::optional<promotion_lease_record> m_quietRecord; ///< The last record without an open command.
    time_point m_quietSince = never; ///< Since when that record is known; never while a command may be open.
    std::vector<trusted_connections> m_trusted; ///< The newest last.
};

/** Whether a log that ends at @p log holds the commit; a log of another term is not comparable. */
bool holdsCommit(const position &log, const position &commit);

}
