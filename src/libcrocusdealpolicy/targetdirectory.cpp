#include "targetdirectory.h"

#include <set>

namespace crocusdeal
{

namespace
{

// A target that is cut off with the primary may go on acknowledging for it, though its entry lapses.
constexpr duration forgetTime{30000};
constexpr duration drainMargin{1500}; // For statements that are on their way when the time ends.

}

target_directory::target_directory(duration drainTime)
    : m_drainTime(drainTime)
{
}

void target_directory::put(const target_entry &entry, time_point now)
{
    auto &target = m_targets[entry.id];
    const bool isAnotherLife = !target.entry.id.empty() && target.entry.born != entry.born;
    target.entry = entry;
    target.missingSince.reset();
    if (isAnotherLife || !entry.isDraining) {
        target.drainingSince.reset();
    }
    if (entry.isDraining && !target.drainingSince) {
        target.drainingSince = now;
    }
}

void target_directory::remove(const target_id &id, time_point now)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end() && !found->second.missingSince) {
        found->second.missingSince = now;
    }
}

void target_directory::replaceAll(const std::vector<target_entry> &entries, time_point now)
{
    std::set<target_id> listed;
    for (const auto &entry : entries) {
        listed.insert(entry.id);
        put(entry, now);
    }
    for (const auto &[id, target] : m_targets) {
        if (!listed.contains(id)) {
            remove(id, now);
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
        return !target.drainingSince && now - *target.missingSince < m_drainTime - drainMargin;
    }
    if (!target.drainingSince) {
        return true;
    }
    // Nobody else accepts writes until the lead has moved.
    return isLeader && now - *target.drainingSince < m_drainTime - drainMargin;
}

}
