#pragma once

#include "clock.h"
#include "position.h"

#include <cstdint>

namespace crocusdeal
{

/** Replication status as reported by a target. */
struct replication_report {
    bool isPrimary = false;
    std::uint64_t term = 0;
    position received; ///< End of the received log, including what is not applied yet.
    std::uint64_t pausedTerm = 0; ///< Term for which it was paused (stopped receiving the log); 0 if not paused.
    duration lag; ///< Delay with which a replica applies the log.
    int busySlots = 0;
    int connections = 0; ///< Open connections from all instances.

    bool isPaused() const
    {
        return pausedTerm != 0;
    }
};

}
