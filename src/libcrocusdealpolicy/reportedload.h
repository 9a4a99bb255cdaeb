#pragma once

#include "clock.h"
#include "identifiers.h"
#include "position.h"

#include <cstdint>
#include <optional>

namespace crocusdeal
{

/** A hint of another instance on a target. It may be wrong, which costs time and nothing else. */
struct reported_load {
    target_id target;
    std::uint64_t incarnation = 0; ///< Of the target.
    duration age; ///< Of the oldest part, when the message was sent: of the refusal if there is behindAt.
    int inFlight = 0; ///< Statements of that instance at the target.
    double answerMs = 0; ///< Smoothed, as that instance sees it.
    bool isFull = false; ///< Has refused statements or connections lately.
    std::optional<position> behindAt; ///< The position of its log when it last refused a read as lagging.

    friend bool operator==(const reported_load &, const reported_load &) = default;
};

}
