#include "targetdirectory.h"

#include <algorithm>
#include <set>

namespace crocusdeal
{

namespace
{

// A target that is partitioned together with the primary may go on acknowledging commits to it after its entry expired.
constexpr duration removedEntryRetention{30000};
constexpr duration drainMargin{1500}; // For statements that are in flight when the drain time ends.
// An instance that starts, or was partitioned, learns of changes late. The drain time does not bind it for
// stable_window_ms.
constexpr duration lateUpdateGrace{2500};
// After the store was away, targets write their entries again within this time.
constexpr duration entryReturnTime{3000};
constexpr duration shortestCheckInterval{500};
constexpr int checksInDrainTime = 2;
constexpr duration lateCheckTime{500};

}

// A report was made after the last check before it was asked for, and is heard with the next one at the latest: so half
// of the time for new work is left, in which a successor is found.
duration targetCheckInterval(duration drainTime)
{
    return std::max(shortestCheckInterval, (drainTime - drainMargin) / checksInDrainTime);
}

duration longestTargetAge(duration drainTime)
{
    return targetCheckInterval(drainTime) + lateCheckTime;
}

target_directory::target_directory(duration drainTime)
    : m_drainTime(drainTime)
{
}

void target_directory::put(const target_entry &entry, const directory_update_time &at)
{
    auto &target = m_targets[entry.id];
    const bool isNew = target.entry.id.empty();
    const bool isNewIncarnation = !isNew && target.entry.incarnation != entry.incarnation;
    // A list that was read while the entry was missing overlooks the target.
    if (isNew || isNewIncarnation || target.removedAt) {
        target.listedAt = entry.revision != 0 ? entry.revision : at.revision;
    }
    target.entry = entry;
    target.removedAt.reset();
    if (isNewIncarnation || !entry.isDraining) {
        target.drainingSince.reset();
    }
    if (entry.isDraining && !target.drainingSince) {
        target.drainingSince = at.receivedAt;
        target.newWorkUntil = newWorkUntil(at);
    }
}

time_point target_directory::newWorkUntil(const directory_update_time &at) const
{
    const auto until = at.changedAfter + (m_drainTime - drainMargin);
    const bool isHeardInTime = at.receivedAt - at.changedAfter <= longestTargetAge(m_drainTime);
    return isHeardInTime ? until : std::max(until, at.receivedAt + lateUpdateGrace);
}

void target_directory::markRemoved(const target_id &id, const directory_update_time &at)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end() && !found->second.removedAt) {
        found->second.removedAt = at.receivedAt;
        if (!found->second.drainingSince) {
            found->second.newWorkUntil = newWorkUntil(at);
        }
    }
}

void target_directory::replaceAll(const std::vector<target_entry> &entries, const directory_update_time &at)
{
    std::set<target_id> listed;
    for (const auto &entry : entries) {
        listed.insert(entry.id);
        put(entry, at);
    }
    for (const auto &[id, target] : m_targets) {
        if (!listed.contains(id)) {
            markRemoved(id, at);
        }
    }
}

std::vector<target_id> target_directory::eraseExpired(time_point now)
{
    std::vector<target_id> expired;
    for (const auto &[id, target] : m_targets) {
        if (target.removedAt && now - *target.removedAt >= removedEntryRetention) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        m_targets.erase(id);
    }
    return expired;
}

void target_directory::eraseDeparted(const target_id &id)
{
    m_targets.erase(id);
}

const known_target *target_directory::find(const target_id &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

const std::map<target_id, known_target> &target_directory::targets() const
{
    return m_targets;
}

bool target_directory::acceptsNewWork(const known_target &target, bool isPrimary, time_point now) const
{
    if (target.removedAt) {
        // The entry may have expired during a store outage or a partition that is over by now; a target that has left
        // does not answer.
        return !target.drainingSince && now < target.newWorkUntil;
    }
    if (!target.drainingSince) {
        return true;
    }
    // No other target accepts writes until the primary has changed.
    return isPrimary && now < target.newWorkUntil;
}

// One whose entry is missing is not known to an instance that starts now; the time only allows for entries that return.
// A draining one that an instance does not reach is taken for departed.
bool target_directory::mayProveCommits(const known_target &target, time_point now)
{
    return !target.removedAt || (!target.drainingSince && now - *target.removedAt < entryReturnTime);
}

}
