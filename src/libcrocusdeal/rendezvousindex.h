#pragma once

#include "identifiers.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

/** Something to be owned by the first live instances in rendezvous order. */
struct rendezvous_key {
    std::string name; ///< Key of the order; unique within an index.
    data_centre_id dataCentre; ///< Only instances of this data centre; of any if empty.
    std::size_t depth = 1; ///< Owners kept.

    friend bool operator==(const rendezvous_key &, const rendezvous_key &) = default;
};

/**
 * The first instances in rendezvous order for many keys, kept up to date as instances come and go.
 *
 * Sorting 3,000 instances for each of 18,000 targets at every change of membership would exceed the processor limit of
 * 1.1% of a core. An arrival costs one weight per key, and a departure reorders only the keys of the instance that
 * went.
 */
class rendezvous_index
{
public:
    /** Replaces the keys; those that stay keep their owners. */
    void setKeys(std::vector<rendezvous_key> keys);
    void add(const instance_id &instance, const data_centre_id &dataCentre);
    void remove(const instance_id &instance);

    /** Owners of @p key, the first first; empty for an unknown key. */
    std::vector<instance_id> owners(const std::string &key) const;
    /** Rank of @p instance among the owners of @p key; -1 if it is none. */
    int rank(const std::string &key, const instance_id &instance) const;
    std::vector<std::string> ownedBy(const instance_id &instance) const;

private:
    struct weighted_instance {
        std::uint64_t weight;
        instance_id instance;
    };
    struct owned_key {
        rendezvous_key key;
        std::vector<weighted_instance> first;
    };

    void offer(owned_key &to, const instance_id &instance) const;
    void refill(owned_key &to) const;

    std::vector<owned_key> m_entries;
    std::unordered_map<std::string, std::size_t> m_places;
    std::unordered_map<instance_id, data_centre_id> m_instances;
};

}
