#pragma once

#include "nametable.h"

namespace crocusdeal
{

enum class log_level {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
};

inline constexpr auto logLevelNames = makeNameTable<log_level>("trace", "debug", "info", "warn", "error");

}
