#pragma once

#include "clock.h"
#include "identifiers.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace crocusdeal
{

/** Identifies a permit by the ledger that granted it and a number that rises with each permit of the ledger. */
struct permit_id {
    std::uint64_t ledger = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const permit_id &, const permit_id &) = default;
};

/**
 * Holder to owner: the complete state of one holder for one target. Sent on each change and as renewal, so that a lost
 * request is covered by the next one.
 */
struct permit_request {
    target_id target;
    instance_id holder;
    std::uint64_t incarnation = 0; ///< Start of the holder's process; a higher one replaces the earlier.
    std::uint64_t sequence = 0; ///< Rises with each request of the incarnation.
    std::uint64_t ledger = 0; ///< The ledger that the holder listens to; 0 if it does not know the owner's yet.
    std::uint64_t seen = 0; ///< Highest number received from it. Permits up to it that are not in `held` were released.
    std::vector<permit_id> held;
    int wanted = 0; ///< Permits that the holder could use, those held included.
    /** Long statements that run at the holder, also those that turned out to be long without a permit. */
    int running = 0;
};

/** Owner to holder: answers one request, repeats what the holder has not seen yet, and renews all that it holds. */
struct permit_grant {
    target_id target;
    instance_id owner;
    std::uint64_t ledger = 0; ///< Differs for each time that an instance becomes the owner.
    instance_id holder;
    std::uint64_t incarnation = 0; ///< Of the holder.
    std::uint64_t answers = 0; ///< Sequence of the request.
    std::vector<std::uint64_t> granted; ///< Numbers of this ledger.
    duration renewedFor; ///< From the time the request was sent.
};

/** Holder to owner: the holder gives up all its permits, on shutdown. */
struct permit_release {
    target_id target;
    instance_id holder;
    std::uint64_t incarnation = 0;
};

}
