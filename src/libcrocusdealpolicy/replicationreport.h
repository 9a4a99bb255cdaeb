#pragma once

#include "clock.h"
#include "position.h"

#include <cstdint>

namespace crocusdeal
{

/** What a target says of itself when it is asked for its status. */
struct replication_report {
    bool isPrimary = false;
    std::uint64_t term = 0;
    position received; ///< Of its log, also what it has not applied yet.
    std::uint64_t pausedAt = 0; ///< The term for which it has stopped receiving; 0 if it receives.
    duration lag; ///< By which a replica applies late.
    int busySlots = 0;
    int connections = 0; ///< Of all instances.

    bool isPaused() const
    {
        return pausedAt != 0;
    }
};

}
