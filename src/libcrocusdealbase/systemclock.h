#pragma once

#include "clock.h"

namespace crocusdeal
{

/** The monotonic clock of the machine; goes on while the process is stopped. */
time_point systemNow();

}
