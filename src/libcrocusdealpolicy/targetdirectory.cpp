#include "targetdirectory.h"

#include <algorithm>
#include <set>

namespace crocusdeal
{

namespace
{

// A target that is cut off with the primary may go on acknowledging for it, though its entry lapses.
constexpr duration forgetTime{30000};
constexpr duration drainMargin{1500}; // For statements that are on their way when the time ends.
// An instance that starts, or was cut off, learns of a change late. It is not held to the time for stable_window_ms.
constexpr duration useAfterLateNews{2500};

}

target_directory::target_directory(duration drainTime)
    : m_drainTime(drainTime)
{
}

void target_directory::put(const target_entry &entry, const news_time &at)
{
    auto &target = m_targets[entry.id];
    const bool isAnotherLife = !target.entry.id.empty() && target.entry.born != entry.born;
    target.entry = entry;
    target.missingSince.reset();
    if (isAnotherLife || !entry.isDraining) {
        target.drainingSince.reset();
    }
    if (entry.isDraining && !target.drainingSince) {
        target.drainingSince = at.heardAt;
        target.newWorkUntil = newWorkUntil(at);
    }
}

time_point target_directory::newWorkUntil(const news_time &at) const
{
    return std::max(at.changedAfter + (m_drainTime - drainMargin), at.heardAt + useAfterLateNews);
}

void target_directory::remove(const target_id &id, const news_time &at)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end() && !found->second.missingSince) {
        found->second.missingSince = at.heardAt;
        if (!found->second.drainingSince) {
            found->second.newWorkUntil = newWorkUntil(at);
        }
    }
}

void target_directory::replaceAll(const std::vector<target_entry> &entries, const news_time &at)
{
    std::set<target_id> listed;
    for (const auto &entry : entries) {
        listed.insert(entry.id);
        put(entry, at);
    }
    for (const auto &[id, target] : m_targets) {
        if (!listed.contains(id)) {
            remove(id, at);
        }
    }
}

std::vector<target_id> target_directory::forgetGone(time_point now)
{
    std::vector<target_id> gone;
    for (const auto &[id, target] : m_targets) {
        if (target.missingSince && now - *target.missingSince >= forgetTime) {
            gone.push_back(id);
        }
    }
    for (const auto &id : gone) {
        m_targets.erase(id);
    }
    return gone;
}

void target_directory::forget(const target_id &id)
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

bool target_directory::acceptsNewWork(const known_target &target, bool isLeader, time_point now) const
{
    if (target.missingSince) {
        // Its entry may have lapsed beside a store or a cut that is over now; a target that is gone does not answer.
        return !target.drainingSince && now < target.newWorkUntil;
    }
    if (!target.drainingSince) {
        return true;
    }
    // Nobody else accepts writes until the lead has moved.
    return isLeader && now < target.newWorkUntil;
}

}
