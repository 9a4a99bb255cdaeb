#pragma once

#include "clock.h"
#include "grouptypes.h"

#include <optional>

namespace crocusdeal
{

/** An observation of one database, as it travels between instances. */
struct database_fact {
    group_id group;
    target_id target;
    target_status status;
    /** Age when the fact was sent; nothing if no upper bound is known, as in gossip. */
    std::optional<duration> age;
};

}
