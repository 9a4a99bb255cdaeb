#include "targetownership.h"

#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::size_t probersPerTarget = 2;
/** Each rank waits 500 ms longer, so the last of these starts 3.5 s after the first, well within the 15 s bound. */
constexpr std::size_t candidatesKept = 8;
constexpr std::size_t watchersPerDataCentre = 2;

std::string probeKey(const group_id &group, const target_id &target)
{
    return "probe/" + group.str() + '/' + target.str();
}

std::string watchKey(const data_centre_id &dataCentre)
{
    return "config-watch/" + dataCentre.str();
}

}

target_ownership::target_ownership(member_description self)
    : m_self(std::move(self))
    , m_probers(probersPerTarget)
    , m_candidates(candidatesKept)
    , m_watchers(watchersPerDataCentre)
{
    m_watchers.setKeys({{watchKey(m_self.dataCentre), m_self.dataCentre}});
}

void target_ownership::setGroups(const std::vector<group_targets> &groups)
{
    m_groups = groups;
    m_places.clear();
    std::vector<rendezvous_key> targets;
    std::vector<rendezvous_key> candidates;
    for (std::size_t i = 0; i < groups.size(); ++i) {
        m_places.emplace(groups[i].group, i);
        candidates.push_back({groups[i].group.str(), {}});
        for (const auto &target : groups[i].targets) {
            targets.push_back({probeKey(groups[i].group, target.id), target.dataCentre});
        }
    }
    m_probers.setKeys(std::move(targets));
    m_candidates.setKeys(std::move(candidates));
}

void target_ownership::memberChanged(const member_info &member)
{
    for (auto *index : {&m_probers, &m_candidates, &m_watchers}) {
        if (member.isLive()) {
            index->add(member.id(), member.dataCentre());
        } else {
            index->remove(member.id());
        }
    }
}

std::vector<instance_id> target_ownership::probers(const group_id &group, const target_id &target) const
{
    return m_probers.owners(probeKey(group, target));
}

bool target_ownership::isProber(const group_id &group, const target_id &target) const
{
    return m_probers.rank(probeKey(group, target), m_self.id) >= 0;
}

int target_ownership::candidateRank(const group_id &group) const
{
    return m_candidates.rank(group.str(), m_self.id);
}

bool target_ownership::shouldWatchPlatform() const
{
    return m_watchers.rank(watchKey(m_self.dataCentre), m_self.id) >= 0;
}

std::vector<group_id> target_ownership::candidateGroups() const
{
    std::vector<group_id> groups;
    for (const auto &name : m_candidates.ownedBy(m_self.id)) {
        groups.emplace_back(name);
    }
    return groups;
}

const std::vector<group_targets> &target_ownership::groups() const
{
    return m_groups;
}

const group_targets *target_ownership::find(const group_id &group) const
{
    const auto place = m_places.find(group);
    return place == m_places.end() ? nullptr : &m_groups[place->second];
}

}
