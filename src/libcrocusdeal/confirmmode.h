#pragma once

#include "nametable.h"

namespace crocusdeal
{

/** Which databases must hold a write before it is acknowledged; the key writes.confirm of the service file. */
enum class confirm_mode {
    Replica, ///< A majority of the group.
    Primary, ///< The primary alone; the replication lag is lost at a failover.
};

inline constexpr auto confirmModeNames = makeNameTable<confirm_mode>("replica", "primary");

}
