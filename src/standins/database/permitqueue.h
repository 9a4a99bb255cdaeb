#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

namespace crocusdeal
{

/**
 * A counted permit that is granted in the order of the requests.
 *
 * Serves as execution slots and, with a limit of one, as the write lock.
 */
class permit_queue
{
public:
    using clock = std::chrono::steady_clock;
    /** Receives the time from which the permit counts as held. Called without any lock held. */
    using granted_callback = std::function<void(clock::time_point)>;

    explicit permit_queue(std::int64_t limit);

    /** True if the permit was granted at once; otherwise the request is queued under @p id. */
    bool acquire(std::uint64_t id, granted_callback granted);
    /** Removes a queued request; false if it is not queued any more. */
    bool cancel(std::uint64_t id);
    /** @p end is the time at which the holder was due to finish, for exact capacity when timers are late. */
    void release(clock::time_point end);
    void setLimit(std::int64_t limit);
    std::size_t waiting() const;

private:
    struct request {
        std::uint64_t id = 0;
        granted_callback granted;
    };

    void grantNext(clock::time_point end);

    mutable std::mutex m_mutex;
    std::int64_t m_limit;
    std::int64_t m_held = 0;
    std::deque<request> m_queue;
};

}
