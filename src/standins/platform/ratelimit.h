#pragma once

#include <chrono>
#include <mutex>

namespace platform_standin
{

/** Token bucket that holds one second's worth of calls. */
class rate_limit
{
public:
    using clock = std::chrono::steady_clock;

    explicit rate_limit(double perSecond);

    /** Takes one call; false if the rate is exceeded. */
    bool take(clock::time_point now);

private:
    std::mutex m_mutex;
    double m_perSecond;
    double m_available;
    clock::time_point m_filled;
};

}
