#pragma once

#include "clock.h"
#include "grouptypes.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace crocusdeal
{

/** Names one waiter of an aggregate; chosen by whoever adds it. */
using waiter_id = std::uint64_t;

/** Wants the status of a target by a query sent at or after a time. Repeating it has no effect. */
struct ask_status {
    target_id target;
    time_point notBefore;
};

/** Wants a replica to answer as soon as it reached a position. A newer one replaces an earlier one. */
struct ask_wait {
    target_id target;
    position at;
};

/** What the statements of group control change. */
enum class control_order {
    Fence,
    Follow,
    Promote,
};

inline constexpr auto controlOrderNames = makeNameTable<control_order>("fence", "follow", "promote");

/** Sends a database an order of group control. */
struct order_target {
    control_order order = control_order::Fence;
    target_id target;
    std::uint64_t term = 0;
    target_id upstream; ///< For Follow: the database to replicate from.
};

}
