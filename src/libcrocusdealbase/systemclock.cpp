#include "systemclock.h"

#include <ctime>

namespace crocusdeal
{

time_point systemNow()
{
    // CLOCK_BOOTTIME also counts while the machine sleeps, so that a resumed process sees how much time has passed.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr std::int64_t msPerSecond = 1000;
    constexpr std::int64_t nsPerMs = 1000000;
    return {now.tv_sec * msPerSecond + now.tv_nsec / nsPerMs};
}

}
