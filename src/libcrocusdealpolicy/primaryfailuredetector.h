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
 * Decides from the status replies of the targets of a service whether its primary is lost.
 *
 * Takes into account what the replicas receive: a primary that only this instance cannot reach still replicates to them
 * and must not be replaced.
 */
class primary_failure_detector
{
public:
    /** Marks a status query to the target as pending; returns false if one is pending already. */
    bool beginQuery(const target_id &target);
    /** Records the result of a query: an answer with a report, an answer without one if the target refused, or none. */
    void recordReply(const target_id &target,
                     bool isAnswered,
                     const std::optional<replication_report> &report,
                     time_point now);
    /** Discards replies from before the suspected failure, which say nothing about it; pending queries stay pending. */
    void discardReplies();
    /** Removes the targets for which @p isMember returns false. */
    void keepOnly(const std::function<bool(const target_id &)> &isMember);

    bool hasPrimary() const;
    /**
     * Whether no target is primary and no replica still receives from a primary that this instance cannot reach, with
     * a failure suspected since @p suspectedSince.
     */
    bool isPrimaryLost(time_point now, time_point suspectedSince) const;
    /** Whether most targets have not answered for some time. */
    bool areMostTargetsUnreachable(time_point now) const;
    /**
     * Whether every target but @p primary reports @p primaryTerm, the term in which that one was primary, and no pause:
     * no other instance has acted since. False if @p primary itself reports.
     */
    bool areOthersUnchanged(const target_id &primary, std::uint64_t primaryTerm) const;
    /** Whether replicas were paused recently: another instance, perhaps without the store, is changing the primary. */
    bool isPrimaryChangeInProgress(time_point now) const;
    /** The newest term that a target has reported; 0 without a report. */
    std::uint64_t newestTerm() const;
    /** Whether each target has answered, or failed to answer, since replies were last discarded. */
    bool isSurveyComplete() const;
    /**
     * The replica that a planned change has left unpaused. Nothing if several are unpaused, one of them perhaps since a
     * restart, or if one that may be unpaused does not report.
     */
    std::optional<target_id> onlyUnpausedReplica() const;
    /** Describes the state of all targets for the log. */
    std::string describe(time_point now) const;

private:
    struct target_state {
        bool isAnswered = false;
        std::optional<replication_report> report;
        position received;
        time_point receivedChangedAt = never; ///< When the received position was last found to have grown.
        time_point unreachableSince = never;
        time_point queryEndedAt = never; ///< With or without an answer.
        time_point pausedSince = never; ///< Since the first report of the present pause.
        bool isQueryPending = false;
    };

    std::map<target_id, target_state> m_targets;
};

}
