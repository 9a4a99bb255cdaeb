#pragma once

#include "clock.h"
#include "targetentry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crocusdeal
{

/** State of one target according to the metadata store. */
struct known_target {
    target_entry entry;
    std::optional<time_point> drainingSince;
    std::optional<time_point> removedAt; ///< When its entry was found to be missing.
    std::uint64_t listedAt = 0; ///< A revision of the store that contains this incarnation; later ones do too.
    time_point newWorkUntil = never; ///< Applies if the target drains or its entry is missing.
};

/** When an update from the metadata store was received, and the earliest time at which the change may have happened. */
struct directory_update_time {
    time_point receivedAt = never;
    /** When the last answer that would have shown the change, but did not, was asked for; it was true after that. */
    time_point changedAfter = never;
    std::uint64_t revision = 0; ///< Of the store, at least.
};

/** How often the targets have to be read as they are now, if they serve for @p drainTime after they report to leave. */
duration targetCheckInterval(duration drainTime);
/** How long ago the targets were as they are known, at most, while each check is answered. */
duration longestTargetAge(duration drainTime);

/** The targets of all services, as their entries in the metadata store describe them. */
class target_directory
{
public:
    /** @p drainTime is how long a target keeps serving after it reported that it is draining. */
    explicit target_directory(duration drainTime);

    /** Adds or updates the entry of a target. */
    void put(const target_entry &entry, const directory_update_time &at);
    /** The entry of the target was removed; the target stays known until eraseExpired() or eraseDeparted(). */
    void markRemoved(const target_id &id, const directory_update_time &at);
    /** Applies a complete list: targets that it does not contain are marked as removed. */
    void replaceAll(const std::vector<target_entry> &entries, const directory_update_time &at);
    /** Erases the targets whose entries have been missing so long that nothing waits for them; returns their ids. */
    std::vector<target_id> eraseExpired(time_point now);

    /** Erases a target that is known to have left for good. */
    void eraseDeparted(const target_id &id);

    const known_target *find(const target_id &id) const;
    const std::map<target_id, known_target> &targets() const;

    /** Whether @p target may receive statements that start new work. */
    bool acceptsNewWork(const known_target &target, bool isPrimary, time_point now) const;
    /** Whether what the target holds can prove a commit: others that order a promotion take it into account. */
    static bool mayProveCommits(const known_target &target, time_point now);

private:
    time_point newWorkUntil(const directory_update_time &at) const;

    duration m_drainTime;
    std::map<target_id, known_target> m_targets;
};

}
