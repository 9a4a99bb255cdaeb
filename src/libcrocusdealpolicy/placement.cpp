#include "placement.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

// Expected costs in milliseconds.
constexpr double remoteCost = 4;
constexpr double primaryCost = 8; // Reads there take slots from the writes.
constexpr double uncoveredCost = 6; // The read may be refused there and be sent again.
constexpr double warmingCost = 15;
constexpr double connectCost = 10;
constexpr double failureCost = 250; // A failed read is sent again elsewhere, or by its caller.

double expectedMs(const read_candidate &candidate)
{
    const int ahead = std::max(0, candidate.inFlight + 1 - candidate.slots);
    const double turns = 1.0 + static_cast<double>(ahead) / candidate.slots;
    double cost = candidate.answerMs * turns;
    cost += candidate.isLocal ? 0 : remoteCost;
    cost += candidate.isPrimary ? primaryCost : 0;
    cost += candidate.isKnownToCover ? 0 : uncoveredCost;
    cost += candidate.isWarmingUp ? warmingCost : 0;
    cost += candidate.hasIdleConnection ? 0 : connectCost;
    cost += candidate.failureShare * failureCost;
    // Spreads simultaneous reads over targets of equal load.
    return cost + candidate.inFlight;
}

}

double expectedWaitMs(std::size_t ahead, double answerMs, int permits)
{
    return static_cast<double>(ahead + 1) * answerMs / std::max(1, permits);
}

bool isConnectionWorthOpening(std::size_t waiting, int working, double answerMs, double openingMs)
{
    return working == 0 || static_cast<double>(waiting) * answerMs / working > openingMs;
}

std::optional<std::size_t> placeRead(const std::vector<read_candidate> &candidates)
{
    std::optional<std::size_t> best;
    double bestMs = 0;
    for (const auto &candidate : candidates) {
        if (candidate.inFlight >= candidate.permits) {
            continue;
        }
        const double cost = expectedMs(candidate);
        if (!best || cost < bestMs) {
            best = candidate.index;
            bestMs = cost;
        }
    }
    return best;
}

}
