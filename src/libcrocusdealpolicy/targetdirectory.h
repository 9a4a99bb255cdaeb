#pragma once

#include "clock.h"
#include "targetentry.h"

#include <map>
#include <optional>
#include <vector>

namespace crocusdeal
{

/** What the metadata store has said of one target. */
struct known_target {
    target_entry entry;
    std::optional<time_point> drainingSince;
    std::optional<time_point> missingSince; ///< Its entry is gone.
    time_point newWorkUntil = never; ///< If it drains or its entry is gone.
};

/** When news of targets was heard, and since when what it tells may have been so. */
struct news_time {
    time_point heardAt = never;
    time_point changedAfter = never; ///< When there was last an answer that would have told of a change.
};

/** The targets of all services, by what they say of themselves in the metadata store. */
class target_directory
{
public:
    /** @p drainTime is how long a target serves after it has reported that it drains. */
    explicit target_directory(duration drainTime);

    void put(const target_entry &entry, const news_time &at);
    void remove(const target_id &id, const news_time &at);
    /** A complete list; what it does not name is gone. */
    void replaceAll(const std::vector<target_entry> &entries, const news_time &at);
    /** Forgets the targets whose entries have been gone for so long that nothing waits for them; returns their ids. */
    std::vector<target_id> forgetGone(time_point now);

    /** The target has left for certain. */
    void forget(const target_id &id);

    const known_target *find(const target_id &id) const;
    const std::map<target_id, known_target> &targets() const;

    /** Whether @p target may be given a statement that begins something new. */
    bool acceptsNewWork(const known_target &target, bool isLeader, time_point now) const;

private:
    time_point newWorkUntil(const news_time &at) const;

    duration m_drainTime;
    std::map<target_id, known_target> m_targets;
};

}
