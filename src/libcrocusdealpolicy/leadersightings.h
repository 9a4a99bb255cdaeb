#pragma once

#include "clock.h"
#include "identifiers.h"
#include "replicationreport.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/**
 * What the targets of a service answered to a survey, and what that says of its primary.
 *
 * Whether a primary is lost is judged by what its replicas receive as well: one that only this instance cannot reach
 * goes on feeding them and is left alone.
 */
class leader_sightings
{
public:
    /** Marks the target as asked; false if its answer is awaited already. */
    bool beginAsking(const target_id &target);
    /** The target answered, with a report unless it refused, or did not answer. */
    void take(const target_id &target,
              bool isAnswered,
              const std::optional<replication_report> &report,
              time_point now);
    /** What was seen before the present trouble says nothing about it; awaited answers still count. */
    void forget();
    /** Drops the targets that @p isMember does not name. */
    void keepOnly(const std::function<bool(const target_id &)> &isMember);

    bool hasLeader() const;
    /** Whether no target leads, and none is fed by a primary out of reach, with trouble since @p troubleSince. */
    bool isLeaderLost(time_point now, time_point troubleSince) const;
    /** Whether most targets have been missing for a while. */
    bool isCutOff(time_point now) const;
    /**
     * Whether every target but @p leader reports the term in which that one led, and no pause: nobody else has acted
     * since. @p leader itself must not report.
     */
    bool isUnchangedBut(const target_id &leader, std::uint64_t leaderTerm) const;
    /** Whether another instance, perhaps one without the store, has paused replicas just now to change the primary. */
    bool isChangeUnderWay(time_point now) const;
    /** The targets that receive nothing until they are resumed. */
    std::vector<target_id> paused() const;
    /** Whether every replica that reports receives nothing, so that no commit can be acknowledged. */
    bool areAllReplicasPaused() const;
    /** For the log. */
    std::string describe(time_point now) const;

private:
    struct sighting {
        bool isAnswered = false;
        std::optional<replication_report> report;
        position received;
        time_point receivedChangedAt = never; ///< When the received position was last seen to grow.
        time_point missingSince = never;
        time_point answeredAt = never;
        time_point pausedSince = never; ///< When it was first seen paused.
        bool isAsked = false; ///< An answer is awaited.
    };

    std::map<target_id, sighting> m_targets;
};

}
