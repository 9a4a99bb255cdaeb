#include "placement.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

// Expected costs in milliseconds.
constexpr double remoteCost = 4;
constexpr double primaryCost = 8; // Reads on the primary take slots from writes.
constexpr double unknownPositionCost = 6; // The target may refuse the read as lagging, and it is sent again.
constexpr double warmUpCost = 15;
constexpr double connectCost = 10;
constexpr double failureCost = 250; // A failed read is retried at another target or by the caller.

double expectedMs(const read_candidate &candidate)
{
    const int ahead = std::max(0, candidate.inFlight + 1 - candidate.slots);
    const double rounds = 1.0 + static_cast<double>(ahead) / candidate.slots;
    double cost = candidate.answerMs * rounds;
    cost += candidate.isLocal ? 0 : remoteCost;
    cost += candidate.isPrimary ? primaryCost : 0;
    cost += candidate.hasRequiredPosition ? 0 : unknownPositionCost;
    cost += candidate.isWarmingUp ? warmUpCost : 0;
    cost += candidate.hasIdleConnection ? 0 : connectCost;
    cost += candidate.failureRate * failureCost;
    // Spreads simultaneous reads over equally loaded targets.
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
