#include "permitqueue.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

/** A holder later than this does not pass its planned end on: the process was paused or the statement was long. */
constexpr auto maxLateness = std::chrono::milliseconds(5);

}

permit_queue::permit_queue(std::int64_t limit)
    : m_limit(limit)
{
}

bool permit_queue::acquire(std::uint64_t id, granted_callback granted)
{
    const std::lock_guard lock(m_mutex);
    if (m_held < m_limit && m_queue.empty()) {
        ++m_held;
        return true;
    }
    m_queue.push_back({id, std::move(granted)});
    return false;
}

bool permit_queue::cancel(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_queue.begin(), m_queue.end(), [id](const auto &r) { return r.id == id; });
    if (found == m_queue.end()) {
        return false;
    }
    m_queue.erase(found);
    return true;
}

void permit_queue::release(clock::time_point end)
{
    {
        const std::lock_guard lock(m_mutex);
        --m_held;
    }
    grantNext(end);
}

void permit_queue::setLimit(std::int64_t limit)
{
    {
        const std::lock_guard lock(m_mutex);
        m_limit = limit;
    }
    grantNext(clock::now());
}

std::size_t permit_queue::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.size();
}

void permit_queue::grantNext(clock::time_point end)
{
    const auto now = clock::now();
    const auto start = now - end > maxLateness ? now : std::min(now, end);
    for (;;) {
        granted_callback granted;
        {
            const std::lock_guard lock(m_mutex);
            if (m_queue.empty() || m_held >= m_limit) {
                return;
            }
            ++m_held;
            granted = std::move(m_queue.front().granted);
            m_queue.pop_front();
        }
        granted(start);
    }
}

}
