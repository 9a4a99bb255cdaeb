#include "deadlinequeue.h"

#include "systemclock.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace crocusdeal
{

deadline_queue::deadline_queue(asio::io_context &io)
    : m_timer(io)
{
}

deadline_queue::handle deadline_queue::schedule(time_point at, std::function<void()> action)
{
    const auto number = m_nextHandle++;
    m_actions.emplace(key{at, number}, std::move(action));
    m_timeByHandle.emplace(number, at);
    if (!m_isArmed || at < m_armedFor) {
        arm();
    }
    return number;
}

deadline_queue::handle deadline_queue::scheduleAfter(duration delay, std::function<void()> action)
{
    return schedule(systemNow() + delay, std::move(action));
}

void deadline_queue::cancel(handle &number)
{
    const auto found = m_timeByHandle.find(std::exchange(number, 0));
    if (found == m_timeByHandle.end()) {
        return;
    }
    m_actions.erase(key{found->second, found->first});
    m_timeByHandle.erase(found);
}

void deadline_queue::cancelAll()
{
    m_timer.cancel();
    m_timeByHandle.clear();
    // What an action was the last to hold may cancel others in its destructor.
    const auto ended = std::exchange(m_actions, {});
}

void deadline_queue::arm()
{
    if (m_actions.empty()) {
        m_isArmed = false;
        return;
    }
    // The steady clock stops while the machine is suspended, so an action may run late but never early.
    m_armedFor = m_actions.begin()->first.at;
    m_isArmed = true;
    const auto wait = std::max<std::int64_t>(0, (m_armedFor - systemNow()).ms);
    m_timer.expires_after(std::chrono::milliseconds(wait));
    m_timer.async_wait([this](std::error_code error) {
        if (!error) {
            runDue();
        }
    });
}

void deadline_queue::runDue()
{
    const auto now = systemNow();
    while (!m_actions.empty() && m_actions.begin()->first.at <= now) {
        auto node = m_actions.extract(m_actions.begin());
        m_timeByHandle.erase(node.key().number);
        node.mapped()();
    }
    arm();
}

}
