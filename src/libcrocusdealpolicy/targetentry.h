#pragma once

#include "hostport.h"
#include "identifiers.h"

#include <cstdint>

namespace crocusdeal
{

/** What a target says of itself in the metadata store. */
struct target_entry {
    target_id id;
    service_id service;
    host_port address;
    data_centre_id dataCentre;
    int slots = 1; ///< Statements that it runs at the same time.
    bool isDraining = false;
    bool claimsPrimary = false; ///< As it sees itself; a target that lost the lead may say so for a moment.
    bool isWarmingUp = false;
    std::uint64_t born = 0; ///< Time of its start; another one under the same id means that it holds nothing of before.

    friend bool operator==(const target_entry &, const target_entry &) = default;
};

}
