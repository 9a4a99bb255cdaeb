#pragma once

#include "clock.h"
#include "identifiers.h"

#include <cstdint>

namespace crocusdeal
{

/** Holder to owner: the complete state of one holder's connections to one target. */
struct share_report {
    target_id target;
    instance_id holder;
    std::uint64_t incarnation = 0; ///< Start of the holder's process; a higher one replaces the earlier.
    std::uint64_t sequence = 0; ///< Rises with each report of the incarnation.
    std::uint64_t ledger = 0; ///< The ledger that the holder listens to; 0 if it does not know the owner's yet.
    std::uint64_t seen = 0; ///< Number of the last grant of it that was applied; 0 if none.
    int allowance = 0; ///< Connections that the holder may open by the last grant of any ledger.
    int base = 0; ///< Guaranteed share by that grant.
    int open = 0; ///< Connections that are open or being opened, without control connections.
    int leastEstablished = 0; ///< Least number established within the last censusWindow, control connections included.
    int wanted = 0; ///< Connections that the holder could use.
    std::uint64_t round = 0; ///< Last census of the ledger that the holder has seen.
};

/** Owner to holder: answers a report and states the holder's allowance. */
struct share_grant {
    target_id target;
    instance_id owner;
    std::uint64_t ledger = 0; ///< Differs for each time that an instance becomes the owner.
    instance_id holder;
    std::uint64_t incarnation = 0; ///< Of the holder.
    std::uint64_t answers = 0; ///< Sequence of the last report taken in.
    std::uint64_t number = 0; ///< Rises with each change of this holder's allowance; 0: no change yet.
    int base = 0; ///< Guaranteed share, kept without the owner.
    int allowance = 0; ///< Base and loan.
    std::uint64_t round = 0; ///< Present census; the holder reports at once when it rises.
};

/** Holder to owner: all connections of the holder are closed and none will be opened, on shutdown. */
struct share_release {
    target_id target;
    instance_id holder;
    std::uint64_t incarnation = 0;
};

/** Span that a report's leastEstablished covers. */
inline constexpr duration censusWindow{2000};

/** Time from sending a report in which its answer allows the holder to open connections above its base. */
inline constexpr duration loanLease{5000};

}
