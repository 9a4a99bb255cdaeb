#pragma once

#include "clock.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>

namespace crocusdeal
{

/** Runs actions at given times, with one timer for all of them. Not thread-safe. */
class deadline_queue
{
public:
    using handle = std::uint64_t; ///< 0 means that nothing is scheduled.

    explicit deadline_queue(asio::io_context &io);

    handle schedule(time_point at, std::function<void()> action);
    handle scheduleAfter(duration delay, std::function<void()> action);
    /** Cancels the action, if it is still pending, and sets @p number to 0. */
    void cancel(handle &number);
    void cancelAll();

private:
    struct key {
        time_point at;
        handle number;

        friend auto operator<=>(const key &, const key &) = default;
    };

    void arm();
    void runDue();

    asio::steady_timer m_timer;
    std::map<key, std::function<void()>> m_actions;
    std::map<handle, time_point> m_timeByHandle;
    time_point m_armedFor = never;
    bool m_isArmed = false;
    handle m_nextHandle = 1;
};

}
