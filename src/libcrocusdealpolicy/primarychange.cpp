#include "primarychange.h"

namespace crocusdeal
{

namespace
{

/**
 * A planned change pauses every replica but the chosen one. The target of a command that is still carried out must not
 * be among the paused ones: it would become primary without the commits that were acknowledged since.
 */
bool isPlannedChangeSafe(const primary_situation &situation)
{
    const bool isChoiceKnown = !situation.isOrderOpen || situation.isOrderedTargetKnown;
    return isChoiceKnown && (!situation.mayBePromoting || situation.isOrderedTargetNamed);
}

/** The command that a planned change sends is a fence as well. */
bool isFenceNeeded(const primary_situation &situation)
{
    if (!situation.isOrderOpen || !situation.isFenceOfUse) {
        return false;
    }
    return !situation.isPrimaryDraining || (situation.isSurveyComplete && !situation.isOrderedTargetKnown);
}

}

primary_step nextPrimaryStep(const primary_situation &situation)
{
    if (!situation.isRetryDue) {
        return primary_step::None;
    }
    if (!situation.hasPrimary) {
        const bool isToBeReplaced = situation.isPrimaryLost && situation.isLogKnown && !situation.isOthersChange;
        return isToBeReplaced ? primary_step::ReplaceLost : primary_step::None;
    }
    // What was carried out takes effect at a time of its own, and a fence does not take it back. A newer command for
    // the same target ends the wait.
    const bool isOrderToBeRepeated = situation.isOrderedTargetNamed && situation.mayFence;
    const bool isChangeWanted = situation.isPrimaryDraining || isOrderToBeRepeated;
    if (isChangeWanted && isPlannedChangeSafe(situation)) {
        return primary_step::PlannedChange;
    }
    if (isFenceNeeded(situation) && situation.mayFence) {
        return primary_step::FenceOpenOrder;
    }
    return situation.isPrimaryStalled && situation.isLogKnown ? primary_step::ReplaceStalled : primary_step::None;
}

}
