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

const std::string candidatePrefix = "promote/";

std::string candidateKey(const group_id &group)
{
    return candidatePrefix + group.str();
}

std::string watchKey(const data_centre_id &dataCentre)
{
    return "config-watch/" + dataCentre.str();
}

}

target_ownership::target_ownership(member_description self)
    : m_self(std::move(self))
{
    setGroups({});
}

void target_ownership::setGroups(const std::vector<group_targets> &groups)
{
    m_groups = groups;
    m_places.clear();
    std::vector<rendezvous_key> keys;
    keys.push_back({watchKey(m_self.dataCentre), m_self.dataCentre, watchersPerDataCentre});
    for (std::size_t i = 0; i < groups.size(); ++i) {
        m_places.emplace(groups[i].group, i);
        keys.push_back({candidateKey(groups[i].group), {}, candidatesKept});
        for (const auto &target : groups[i].targets) {
            keys.push_back({probeKey(groups[i].group, target.id), target.dataCentre, probersPerTarget});
        }
    }
    m_owners.setKeys(std::move(keys));
}

void target_ownership::memberChanged(const member_info &member)
{
    if (member.isLive()) {
        m_owners.add(member.id(), member.dataCentre());
    } else {
        m_owners.remove(member.id());
    }
}

std::vector<instance_id> target_ownership::probers(const group_id &group, const target_id &target) const
{
    return m_owners.owners(probeKey(group, target));
}

bool target_ownership::isProber(const group_id &group, const target_id &target) const
{
    return m_owners.rank(probeKey(group, target), m_self.id) >= 0;
}

int target_ownership::candidateRank(const group_id &group) const
{
    return m_owners.rank(candidateKey(group), m_self.id);
}

bool target_ownership::shouldWatchPlatform() const
{
    return m_owners.rank(watchKey(m_self.dataCentre), m_self.id) >= 0;
}

std::vector<group_id> target_ownership::candidateGroups() const
{
    std::vector<group_id> groups;
    for (const auto &name : m_owners.ownedBy(m_self.id)) {
        if (name.starts_with(candidatePrefix)) {
            groups.emplace_back(name.substr(candidatePrefix.size()));
        }
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
