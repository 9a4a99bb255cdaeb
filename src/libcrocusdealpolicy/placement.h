#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace crocusdeal
{

/** A target that could run a read, and what is known of its load. */
struct read_candidate {
    std::size_t index = 0; ///< Of the target, for the caller of placeRead().
    int inFlight = 0; ///< Statements of this instance that the target is working on.
    int permits = 1; ///< How many this instance may have in flight there.
    int slots = 1;
    double answerMs = 0; ///< Smoothed time from a statement to its answer, so the load of other instances too.
    bool isLocal = false; ///< In the data centre of this instance.
    bool isPrimary = false;
    bool isKnownToCover = false; ///< Its log is known to hold the position that the read needs.
    bool isWarmingUp = false;
    bool hasIdleConnection = false;
    double failureShare = 0; ///< Of its latest answers.
};

/** How long new work is expected to wait behind @p ahead others at a target that runs @p permits at a time. */
double expectedWaitMs(std::size_t ahead, double answerMs, int permits);

/**
 * Whether one more connection serves the statements that wait sooner than the @p working ones, which will be free for
 * them. Answers a crest, or the return of all callers at once: opening one takes a slot of the target from statements.
 */
bool isConnectionWorthOpening(std::size_t waiting, int working, double answerMs, double openingMs);

/** The candidate that is expected to answer soonest; nothing if none has a permit free. */
std::optional<std::size_t> placeRead(const std::vector<read_candidate> &candidates);

}
