#pragma once

#include "nametable.h"

namespace crocusdeal
{

/** What an instance knows of the primary of a service when it decides whether to change it. */
struct primary_situation {
    bool hasPrimary = false; ///< A target answers as primary.
    bool isPrimaryDraining = false;
    bool isPrimaryStalled = false; ///< It answers, but commits are not acknowledged.
    bool isPrimaryLost = false;
    bool isLogKnown = true; ///< No log is lost that may hold acknowledged commits besides the primary.
    bool isOthersChange = false; ///< Another instance seems to be replacing the lost primary.
    bool isSurveyComplete = false; ///< Each target has answered or failed to answer.
    bool isOrderOpen = false; ///< A promotion command may still take effect.
    bool isOrderedTargetKnown = false; ///< The only replica that the open command can name is known.
    bool isOrderedTargetNamed = false; ///< By the open command itself; it is not the primary in place.
    bool isFenceOfUse = true; ///< The open command has perhaps not been carried out yet.
    bool mayBePromoting =
        false; ///< A command may have been carried out just now, so that its target becomes primary soon.
    bool mayFence = false; ///< The promotion lease may be claimed, and the primary in place is known.
    bool isRetryDue = false; ///< After the last attempt.
};

enum class primary_step {
    None,
    PlannedChange,
    FenceOpenOrder, ///< Sends a newer promotion command that names the primary in place.
    ReplaceStalled,
    ReplaceLost,
};

inline constexpr auto primaryStepNames =
    makeNameTable<primary_step>("none", "planned_change", "fence_open_order", "replace_stalled", "replace_lost");

/** Decides on the next step; it is safe for acknowledged commits whatever open commands are carried out meanwhile. */
primary_step nextPrimaryStep(const primary_situation &situation);

}
