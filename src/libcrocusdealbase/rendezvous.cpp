#include "rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace crocusdeal
{

std::uint64_t rendezvousWeight(std::string_view key, const instance_id &instance)
{
    const auto keyHash = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(instance.str().data(), instance.str().size(), keyHash);
}

std::vector<instance_id> rendezvousOrder(std::string_view key, std::vector<instance_id> instances)
{
    std::vector<std::pair<std::uint64_t, instance_id>> weighted;
    weighted.reserve(instances.size());
    for (auto &instance : instances) {
        const auto weight = rendezvousWeight(key, instance);
        weighted.emplace_back(weight, std::move(instance));
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());

    std::vector<instance_id> order;
    order.reserve(weighted.size());
    for (auto &[weight, instance] : weighted) {
        order.push_back(std::move(instance));
    }
    return order;
}

}
