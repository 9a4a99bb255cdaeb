#pragma once

#include "clock.h"
#include "grouptypes.h"
#include "identifiers.h"
#include "memberinfo.h"
#include "rendezvousindex.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

/** A group with its targets as configured. */
struct group_targets {
    group_id group;
    std::vector<target_address> targets;
};

/**
 * Which instance does what, by rendezvous order among the live ones: who probes a target, who may run a promotion of a
 * group, and who holds the platform watch of the own data centre.
 */
class target_ownership
{
public:
    explicit target_ownership(member_description self);

    void setGroups(const std::vector<group_targets> &groups);
    void memberChanged(const member_info &member);

    /** The instances that probe @p target, in order. */
    std::vector<instance_id> probers(const group_id &group, const target_id &target) const;
    bool isProber(const group_id &group, const target_id &target) const;
    /** Rank of this instance among the candidates for a promotion of @p group; -1 beyond the ranks kept. */
    int candidateRank(const group_id &group) const;
    bool shouldWatchPlatform() const;
    /** Groups of which this instance is a candidate. */
    std::vector<group_id> candidateGroups() const;
    const std::vector<group_targets> &groups() const;
    /** The configured group; null if there is none. */
    const group_targets *find(const group_id &group) const;

private:
    member_description m_self;
    std::vector<group_targets> m_groups;
    std::unordered_map<group_id, std::size_t> m_places;
    rendezvous_index m_owners; ///< One index for all keys, because each index holds the list of instances.
};

}
