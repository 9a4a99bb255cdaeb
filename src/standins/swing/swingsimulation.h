#pragma once

#include "nametable.h"

#include <cstdint>
#include <vector>

namespace crocusdeal
{

/** How a chooser picks the target of a read. */
enum class swing_way {
    LowestCost, ///< placeRead().
    Spread, ///< spreadRead().
    TwoChoices, ///< The cheaper one of two random targets.
    Inverse, ///< At random, by weights that fall with the square of the answer time.
    Rendezvous, ///< By a hash of the read, without regard to the load.
};

inline constexpr auto swingWayNames =
    makeNameTable<swing_way>("lowest cost", "spread", "two choices", "inverse weights", "rendezvous");

/** Many choosers that share some targets, and learn of their answer times late. */
struct swing_scenario {
    swing_way how = swing_way::Spread;
    int targets = 5;
    int slots = 4; ///< Of each target.
    int choosers = 36;
    double delayMs = 0; ///< From an answer until the chooser knows its time.
    double load = 0.6; ///< Of the capacity of all targets.
    double slowFactor = 1; ///< Of the running times of the first target.
    double endMs = 20000;
    std::uint32_t seed = 1;
};

struct swing_outcome {
    double busiestOverMean = 0; ///< Of the reads that reach a target in 500 ms; the mean of all windows.
    double worstWindow = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double refusedShare = 0; ///< Refused as busy.
};

swing_outcome simulateSwing(const swing_scenario &what);

}
