#pragma once

#include "nametable.h"

#include <cstddef>

namespace crocusdeal
{

enum class work_kind {
    PointRead,
    StaleRead,
    Write,
    Transaction,
    Straggler,
};

inline constexpr std::size_t workKindCount = 5;
inline constexpr auto workKindNames =
    makeNameTable<work_kind>("point-read", "stale-read", "write", "transaction", "straggler");

}
