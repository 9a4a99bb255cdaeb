#pragma once

#include "identifiers.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** The weight of @p instance for @p key; every instance computes the same one. */
std::uint64_t rendezvousWeight(std::string_view key, const instance_id &instance);

/**
 * Orders @p instances by falling weight for @p key.
 *
 * Source: rendezvous (highest random weight) hashing, Thaler and Ravishankar 1998.
 */
std::vector<instance_id> rendezvousOrder(std::string_view key, std::vector<instance_id> instances);

}
