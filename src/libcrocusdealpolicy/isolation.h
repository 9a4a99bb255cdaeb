#pragma once

#include "clock.h"
#include "identifiers.h"

#include <vector>

namespace crocusdeal
{

/** Whether one target answers this instance, and when it last did. */
struct target_reachability {
    data_centre_id dataCentre;
    bool isUnresponsive = false; ///< A statement or all attempts to connect are unanswered.
    time_point lastAnswerAt = never;
};

/**
 * Whether no other data centre answers this instance.
 *
 * Detects a network partition of the own data centre sooner than the health checks of each service do. Callers are
 * better served by an instance on the other side of the partition.
 */
bool areOtherDataCentresUnreachable(const std::vector<target_reachability> &targets,
                                    const data_centre_id &own,
                                    time_point now);

}
