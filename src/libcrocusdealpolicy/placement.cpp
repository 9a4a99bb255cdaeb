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

// By this share of the best cost above it, a candidate gets no reads; its part falls in proportion to there.
constexpr double spreadOverBest = 1;
// Of targets in other data centres, some are further away than others, which shows only in their time.
constexpr double remoteSpreadOverBest = 0.3;

/** What does not depend on the load of the target. */
double fixedMs(const read_candidate &candidate)
{
    double cost = candidate.isLocal ? 0 : remoteCost;
    cost += candidate.isPrimary ? primaryCost : 0;
    cost += candidate.hasRequiredPosition ? 0 : unknownPositionCost;
    cost += candidate.isWarmingUp ? warmUpCost : 0;
    cost += candidate.hasIdleConnection ? 0 : connectCost;
    return cost;
}

bool hasPermit(const read_candidate &candidate)
{
    return candidate.inFlight < candidate.permits;
}

const read_candidate *cheapest(const std::vector<read_candidate> &candidates)
{
    const read_candidate *best = nullptr;
    double bestMs = 0;
    for (const auto &candidate : candidates) {
        if (!hasPermit(candidate)) {
            continue;
        }
        const double cost = expectedMs(candidate);
        if (best == nullptr || cost < bestMs) {
            best = &candidate;
            bestMs = cost;
        }
    }
    return best;
}

/** The part of the reads that @p candidate should get, relative to others; 0 for none. */
double shareOf(const read_candidate &candidate, const read_candidate &best)
{
    if (!hasPermit(candidate) || fixedMs(candidate) > fixedMs(best)) {
        return 0;
    }
    const double bestMs = std::max(1.0, expectedMs(best)); // Times are measured in whole milliseconds.
    const double over = expectedMs(candidate) / bestMs - 1;
    const double spread = candidate.isLocal ? spreadOverBest : remoteSpreadOverBest;
    return candidate.slots * std::max(0.0, 1 - over / spread);
}

}

double expectedMs(const read_candidate &candidate)
{
    const int ahead = std::max(0, candidate.inFlight + 1 - candidate.slots);
    const double rounds = 1.0 + static_cast<double>(ahead) / candidate.slots;
    const double cost = candidate.answerMs * rounds + fixedMs(candidate) + candidate.failureRate * failureCost;
    // Spreads simultaneous reads over equally loaded targets.
    return cost + candidate.inFlight;
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
    const auto *best = cheapest(candidates);
    return best == nullptr ? std::nullopt : std::optional(best->index);
}

std::optional<std::size_t> spreadRead(const std::vector<read_candidate> &candidates, double draw)
{
    const auto *best = cheapest(candidates);
    if (best == nullptr) {
        return std::nullopt;
    }
    double sum = 0;
    for (const auto &candidate : candidates) {
        sum += shareOf(candidate, *best);
    }
    double left = draw * sum;
    for (const auto &candidate : candidates) {
        const double share = shareOf(candidate, *best);
        if (left < share) {
            return candidate.index;
        }
        left -= share;
    }
    return best->index; // By rounding.
}

}
