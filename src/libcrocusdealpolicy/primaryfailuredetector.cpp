#include "primaryfailuredetector.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

// The primary counts as lost once it has been missing, and the log of no replica has grown, for this long.
constexpr duration primaryLostTimeout{220};
constexpr duration maxReportAge{250}; // Older reports of replicas say nothing about the current state.
constexpr duration unreachableTimeout{250};
// A change of the primary takes less than this from pausing the replicas to the new primary.
constexpr duration primaryChangeTimeout{1500};

}

bool primary_failure_detector::beginQuery(const target_id &target)
{
    return !std::exchange(m_targets[target].isQueryPending, true);
}

void primary_failure_detector::recordReply(const target_id &target,
                                           bool isAnswered,
                                           const std::optional<replication_report> &report,
                                           time_point now)
{
    auto &state = m_targets[target];
    state.isQueryPending = false;
    state.isAnswered = isAnswered;
    state.queryEndedAt = now;
    state.report = report;
    if (!report || !report->isPaused()) {
        state.pausedSince = never;
    } else if (state.pausedSince == never) {
        state.pausedSince = now;
    }
    if (isAnswered) {
        state.unreachableSince = never;
    } else if (state.unreachableSince == never) {
        state.unreachableSince = now;
    }
    if (report && report->received > state.received) {
        state.received = report->received;
        state.receivedChangedAt = now;
    }
}

void primary_failure_detector::discardReplies()
{
    for (auto &[id, state] : m_targets) {
        const bool isQueryPending = state.isQueryPending;
        state = {};
        state.isQueryPending = isQueryPending;
    }
}

void primary_failure_detector::keepOnly(const std::function<bool(const target_id &)> &isMember)
{
    std::erase_if(m_targets, [&](const auto &entry) { return !isMember(entry.first); });
}

bool primary_failure_detector::hasPrimary() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [](const auto &entry) {
        return entry.second.report && entry.second.report->isPrimary;
    });
}

bool primary_failure_detector::isPrimaryLost(time_point now, time_point suspectedSince) const
{
    bool hasReplicaReport = false;
    for (const auto &[id, state] : m_targets) {
        if (state.queryEndedAt == never || (state.isAnswered && !state.report)) {
            return false; // This target may be the primary.
        }
        if (!state.report) {
            continue;
        }
        hasReplicaReport = true;
        if (state.report->isPrimary || now - state.queryEndedAt > maxReportAge) {
            return false;
        }
        if (now - state.receivedChangedAt < primaryLostTimeout) {
            return false; // Still replicates, or did until just now, from a primary that this instance cannot reach.
        }
    }
    return hasReplicaReport && suspectedSince != never && now - suspectedSince >= primaryLostTimeout;
}

bool primary_failure_detector::isPrimaryChangeInProgress(time_point now) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
        return entry.second.pausedSince != never && now - entry.second.pausedSince < primaryChangeTimeout;
    });
}

bool primary_failure_detector::areMostTargetsUnreachable(time_point now) const
{
    const auto unreachable = std::count_if(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
        return entry.second.unreachableSince != never && now - entry.second.unreachableSince >= unreachableTimeout;
    });
    return static_cast<std::size_t>(unreachable) * 2 > m_targets.size();
}

bool primary_failure_detector::areOthersUnchanged(const target_id &primary, std::uint64_t primaryTerm) const
{
    return std::all_of(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
        const auto &report = entry.second.report;
        return entry.first == primary ? !report.has_value()
                                      : report && report->term == primaryTerm && !report->isPaused();
    });
}

std::uint64_t primary_failure_detector::newestTerm() const
{
    std::uint64_t newest = 0;
    for (const auto &[id, state] : m_targets) {
        newest = std::max(newest, state.report ? state.report->term : 0);
    }
    return newest;
}

bool primary_failure_detector::isSurveyComplete() const
{
    return std::all_of(
        m_targets.begin(), m_targets.end(), [](const auto &entry) { return entry.second.queryEndedAt != never; });
}

std::optional<target_id> primary_failure_detector::onlyUnpausedReplica() const
{
    std::optional<target_id> found;
    for (const auto &[id, state] : m_targets) {
        if (!state.report) {
            return std::nullopt;
        }
        if (state.report->isPrimary || state.report->isPaused()) {
            continue;
        }
        if (found) {
            return std::nullopt;
        }
        found = id;
    }
    return found;
}

std::string primary_failure_detector::describe(time_point now) const
{
    std::string text;
    for (const auto &[id, state] : m_targets) {
        text += id.str();
        text += state.report ? (state.report->isPrimary ? " primary " : " replica ")
                             : (state.isAnswered ? " refuses " : " missing ");
        text += toString(state.received) + " grew " + std::to_string((now - state.receivedChangedAt).ms) + " ms ago; ";
    }
    return text;
}

}
