#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace crocusdeal
{

/** A target that could run a read, and the known state and load of it. */
struct read_candidate {
    std::size_t index = 0; ///< Identifies the target to the caller of placeRead().
    int inFlight = 0; ///< Statements that this instance has in flight there.
    int permits = 1; ///< Limit on inFlight.
    int slots = 1; ///< Statements that the target runs at the same time.
    double answerMs = 0; ///< Smoothed response time; includes the effect of the load from other instances.
    bool isLocal = false; ///< In the data centre of this instance.
    bool isPrimary = false;
    bool hasRequiredPosition = false; ///< Its log is known to have reached the position that the read needs.
    bool isWarmingUp = false;
    bool hasIdleConnection = false;
    double failureRate = 0; ///< Of its recent answers, from 0 to 1.
};

/** Expected wait of new work with @p ahead statements queued before it, at a target that runs @p permits at a time. */
double expectedWaitMs(std::size_t ahead, double answerMs, int permits);

/**
 * Whether opening one more connection serves the waiting statements sooner than the @p working connections do as they
 * become free. Limits the connections opened in a load peak or when all callers reconnect at once, since opening one
 * takes a slot of the target that statements need.
 */
bool isConnectionWorthOpening(std::size_t waiting, int working, double answerMs, double openingMs);

/** The expected cost of one more read there: its time in milliseconds, with surcharges for what else it costs. */
double expectedMs(const read_candidate &candidate);

/** The index of the candidate with the lowest expected cost; nothing if no candidate has a free permit. */
std::optional<std::size_t> placeRead(const std::vector<read_candidate> &candidates);

/**
 * Like placeRead(), but shares reads out among the candidates that cost little more than the best one, so that many
 * instances with the same old knowledge do not all choose the same target. Of those, it takes only candidates that are
 * no worse apart from their load: none that is further away, unlike the best one.
 *
 * @p draw is a random number from 0 up to but not including 1.
 */
std::optional<std::size_t> spreadRead(const std::vector<read_candidate> &candidates, double draw);

}
