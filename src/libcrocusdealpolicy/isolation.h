#pragma once

#include "clock.h"
#include "identifiers.h"

#include <vector>

namespace crocusdeal
{

/** What an instance has last noticed of one target. */
struct reach_sighting {
    data_centre_id dataCentre;
    bool isWithoutAnswer = false; ///< To a statement or to attempts to connect.
    time_point lastAnswerAt = never;
};

/**
 * Whether every other data centre leaves this instance without an answer.
 *
 * Answers the cut of a data centre sooner than the survey of each service does: callers are better served by an
 * instance on the other side.
 */
bool areOtherDataCentresSilent(const std::vector<reach_sighting> &targets, const data_centre_id &own, time_point now);

}
