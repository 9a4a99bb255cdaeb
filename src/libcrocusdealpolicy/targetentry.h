#pragma once

#include "hostport.h"
#include "identifiers.h"

#include <cstdint>

namespace crocusdeal
{

/** Entry of a target in the metadata store, written by the target itself. */
struct target_entry {
    target_id id;
    service_id service;
    host_port address;
    data_centre_id dataCentre;
    int slots = 1; ///< Number of statements that it runs concurrently.
    bool isDraining = false;
    bool claimsPrimary = false; ///< As the target sees itself; a former primary may claim this for a moment.
    bool isWarmingUp = false;
    /** Start time; a different one under the same id means that the target holds none of its earlier state. */
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0; ///< Of the store, with the last change of the entry; 0 if it is not known.

    friend bool operator==(const target_entry &, const target_entry &) = default;
};

}
