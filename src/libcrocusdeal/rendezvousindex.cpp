#include "rendezvousindex.h"

#include "rendezvous.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

void rendezvous_index::setKeys(std::vector<rendezvous_key> keys)
{
    std::vector<owned_key> entries;
    std::unordered_map<std::string, std::size_t> places;
    entries.reserve(keys.size());
    places.reserve(keys.size());
    for (auto &key : keys) {
        if (!places.emplace(key.name, entries.size()).second) {
            continue;
        }
        const auto old = m_places.find(key.name);
        if (old != m_places.end() && m_entries[old->second].key == key) {
            entries.push_back(std::move(m_entries[old->second]));
            continue;
        }
        entries.push_back({std::move(key), {}});
        refill(entries.back());
    }
    m_entries = std::move(entries);
    m_places = std::move(places);
}

void rendezvous_index::offer(owned_key &to, const instance_id &instance) const
{
    const auto weight = rendezvousWeight(to.key.name, instance);
    // The same tie-break as rendezvousOrder(), so that both agree.
    const auto before = [](const weighted_instance &a, const weighted_instance &b) {
        return a.weight != b.weight ? a.weight > b.weight : a.instance > b.instance;
    };
    if (to.first.size() == to.key.depth && weight < to.first.back().weight) {
        return;
    }
    const weighted_instance offered{weight, instance};
    to.first.insert(std::upper_bound(to.first.begin(), to.first.end(), offered, before), offered);
    if (to.first.size() > to.key.depth) {
        to.first.pop_back();
    }
}

void rendezvous_index::refill(owned_key &to) const
{
    to.first.clear();
    for (const auto &[instance, dataCentre] : m_instances) {
        if (to.key.dataCentre.empty() || to.key.dataCentre == dataCentre) {
            offer(to, instance);
        }
    }
}

void rendezvous_index::add(const instance_id &instance, const data_centre_id &dataCentre)
{
    const auto known = m_instances.find(instance);
    if (known != m_instances.end()) {
        if (known->second == dataCentre) {
            return;
        }
        remove(instance);
    }
    m_instances.emplace(instance, dataCentre);
    for (auto &entry : m_entries) {
        if (entry.key.dataCentre.empty() || entry.key.dataCentre == dataCentre) {
            offer(entry, instance);
        }
    }
}

void rendezvous_index::remove(const instance_id &instance)
{
    if (m_instances.erase(instance) == 0) {
        return;
    }
    for (auto &entry : m_entries) {
        const auto owns = std::any_of(
            entry.first.begin(), entry.first.end(), [&](const weighted_instance &c) { return c.instance == instance; });
        if (owns) {
            refill(entry);
        }
    }
}

std::vector<instance_id> rendezvous_index::owners(const std::string &key) const
{
    std::vector<instance_id> owners;
    const auto place = m_places.find(key);
    if (place != m_places.end()) {
        for (const auto &candidate : m_entries[place->second].first) {
            owners.push_back(candidate.instance);
        }
    }
    return owners;
}

int rendezvous_index::rank(const std::string &key, const instance_id &instance) const
{
    const auto ordered = owners(key);
    const auto found = std::find(ordered.begin(), ordered.end(), instance);
    return found == ordered.end() ? -1 : static_cast<int>(found - ordered.begin());
}

std::vector<std::string> rendezvous_index::ownedBy(const instance_id &instance) const
{
    std::vector<std::string> keys;
    for (const auto &entry : m_entries) {
        const auto owns = std::any_of(
            entry.first.begin(), entry.first.end(), [&](const weighted_instance &c) { return c.instance == instance; });
        if (owns) {
            keys.push_back(entry.key.name);
        }
    }
    return keys;
}

}
