#include "leadersightings.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration lostTime{220}; // The primary and the growth of its replicas' logs are missed for this long.
constexpr duration sightingUse{250}; // An older answer of a replica tells nothing of the present.
constexpr duration cutOffTime{250};
constexpr duration changeTime{1500}; // A change of the primary takes less from its pauses to the new lead.

}

bool leader_sightings::beginAsking(const target_id &target)
{
    return !std::exchange(m_targets[target].isAsked, true);
}

void leader_sightings::take(const target_id &target,
                            bool isAnswered,
                            const std::optional<replication_report> &report,
                            time_point now)
{
    auto &seen = m_targets[target];
    seen.isAsked = false;
    seen.isAnswered = isAnswered;
    seen.answeredAt = now;
    seen.report = report;
    if (!report || !report->isPaused()) {
        seen.pausedSince = never;
    } else if (seen.pausedSince == never) {
        seen.pausedSince = now;
    }
    if (isAnswered) {
        seen.missingSince = never;
    } else if (seen.missingSince == never) {
        seen.missingSince = now;
    }
    if (report && report->received > seen.received) {
        seen.received = report->received;
        seen.receivedChangedAt = now;
    }
}

void leader_sightings::forget()
{
    for (auto &[id, seen] : m_targets) {
        const bool isAsked = seen.isAsked;
        seen = {};
        seen.isAsked = isAsked;
    }
}

void leader_sightings::keepOnly(const std::function<bool(const target_id &)> &isMember)
{
    std::erase_if(m_targets, [&](const auto &entry) { return !isMember(entry.first); });
}

bool leader_sightings::hasLeader() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [](const auto &entry) {
        return entry.second.report && entry.second.report->isPrimary;
    });
}

bool leader_sightings::isLeaderLost(time_point now, time_point troubleSince) const
{
    bool isAnyReplicaSeen = false;
    for (const auto &[id, seen] : m_targets) {
        if (seen.answeredAt == never || (seen.isAnswered && !seen.report)) {
            return false; // It may be the primary.
        }
        if (!seen.report) {
            continue;
        }
        isAnyReplicaSeen = true;
        if (seen.report->isPrimary || now - seen.answeredAt > sightingUse) {
            return false;
        }
        if (now - seen.receivedChangedAt < lostTime) {
            return false; // A primary that this instance cannot reach still feeds it, or did just now.
        }
    }
    return isAnyReplicaSeen && troubleSince != never && now - troubleSince >= lostTime;
}

bool leader_sightings::isChangeUnderWay(time_point now) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
        return entry.second.pausedSince != never && now - entry.second.pausedSince < changeTime;
    });
}

bool leader_sightings::isCutOff(time_point now) const
{
    const auto missing = std::count_if(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
        return entry.second.missingSince != never && now - entry.second.missingSince >= cutOffTime;
    });
    return static_cast<std::size_t>(missing) * 2 > m_targets.size();
}

bool leader_sightings::isUnchangedBut(const target_id &leader, std::uint64_t leaderTerm) const
{
    return std::all_of(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
        const auto &report = entry.second.report;
        return entry.first == leader ? !report.has_value()
                                     : report && report->term == leaderTerm && !report->isPaused();
    });
}

std::vector<target_id> leader_sightings::paused() const
{
    std::vector<target_id> found;
    for (const auto &[id, seen] : m_targets) {
        if (seen.report && seen.report->isPaused()) {
            found.push_back(id);
        }
    }
    return found;
}

bool leader_sightings::areAllReplicasPaused() const
{
    return std::all_of(m_targets.begin(), m_targets.end(), [](const auto &entry) {
        const auto &report = entry.second.report;
        return !report || report->isPrimary || report->isPaused();
    });
}

std::string leader_sightings::describe(time_point now) const
{
    std::string text;
    for (const auto &[id, seen] : m_targets) {
        text += id.str();
        text += seen.report ? (seen.report->isPrimary ? " primary " : " replica ")
                            : (seen.isAnswered ? " refuses " : " missing ");
        text += toString(seen.received) + " grew " + std::to_string((now - seen.receivedChangedAt).ms) + " ms ago; ";
    }
    return text;
}

}
