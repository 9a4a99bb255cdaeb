#pragma once

#include "clock.h"

namespace crocusdeal
{

/**
 * Times and protections of a group's decisions.
 *
 * The protections are on in every real use. The model tests turn single ones off to show that they are needed.
 */
struct group_policy {
    duration probeInterval{250}; ///< Of the primary.
    duration replicaProbeInterval{500}; ///< Half of unheardLimit, so that one lost answer leaves no replica out.
    duration suspicionAfter{1000}; ///< Without an answer of the primary.
    /**
     * Since the first refused connection to the primary, if no answer to a later query is known. It leaves time for the
     * peers' answers: they probe each 250 ms and are asked with each refusal.
     */
    duration refusedSuspicionAfter{400};
    duration candidateStagger{500}; ///< Between the starts of two candidates for a promotion.
    duration primaryRecheckAfter{100}; ///< An older answer of the primary releases no write.
    duration waitRound{100}; ///< Time-out of one group_wait.
    duration unheardLimit{1000}; ///< A target not heard from for longer gets no work.
    duration plannedHold{500}; ///< For writes in flight to be confirmed before a planned change fences.
    duration fenceTimeout{500};
    duration followTimeout{2000}; ///< For the chosen database of a planned change to catch up.
    duration promoteTimeout{500};
    duration repairDelay{1000}; ///< Before a database that does not follow is told to; doubles with each attempt.
    duration pauseGap{500}; ///< A longer gap between ticks means that this instance was paused.

    bool fenceMajority = true; ///< Off: one granted fence is enough to promote.
    bool compareEntryTerms = true; ///< Off: the log with the highest offset counts as the furthest.
    bool checkReplicaTerm = true; ///< Off: replicas of any term confirm writes and newer terms are ignored.
    bool confirmCurrentTerm = true; ///< Off: the primary alone answers the read index and dates samples.
};

}
