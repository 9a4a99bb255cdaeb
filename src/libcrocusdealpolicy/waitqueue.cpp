#include "waitqueue.h"

#include <utility>
#include <vector>

namespace crocusdeal
{

wait_queue::ticket wait_queue::add(waiting_work work)
{
    const auto number = m_next++;
    const queue_key key{work.priority, work.wantedBy, number};
    m_keys.emplace(number, key);
    m_work.emplace(key, std::move(work));
    return number;
}

void wait_queue::remove(ticket number)
{
    const auto found = m_keys.find(number);
    if (found == m_keys.end()) {
        return;
    }
    const auto work = m_work.find(found->second);
    const auto onEnded = std::move(work->second.onEnded);
    m_work.erase(work);
    m_keys.erase(found);
    if (onEnded) {
        onEnded();
    }
}

void wait_queue::placeAll()
{
    // Placing work may add or remove entries, so the loop keeps tickets and no iterators across the calls.
    std::vector<ticket> numbers;
    numbers.reserve(m_work.size());
    for (const auto &[key, work] : m_work) {
        numbers.push_back(key.number);
    }
    for (const auto number : numbers) {
        const auto found = m_keys.find(number);
        if (found == m_keys.end()) {
            continue;
        }
        const auto tryPlace = m_work.at(found->second).tryPlace;
        if (tryPlace()) {
            remove(number);
        }
    }
}

void wait_queue::refuseExpired(time_point now)
{
    std::vector<ticket> expired;
    for (const auto &[key, work] : m_work) {
        if (work.refuseAt <= now) {
            expired.push_back(key.number);
        }
    }
    for (const auto number : expired) {
        const auto found = m_keys.find(number);
        if (found == m_keys.end()) {
            continue;
        }
        const auto refuse = m_work.at(found->second).refuse;
        remove(number);
        refuse();
    }
}

std::optional<time_point> wait_queue::nextRefusal() const
{
    std::optional<time_point> next;
    for (const auto &[key, work] : m_work) {
        if (!next || work.refuseAt < *next) {
            next = work.refuseAt;
        }
    }
    return next;
}

std::size_t wait_queue::aheadAtPrimary(int priority) const
{
    std::size_t ahead = 0;
    for (const auto &[key, work] : m_work) {
        if (key.priority > priority) {
            break;
        }
        ahead += work.isForPrimary ? 1 : 0;
    }
    return ahead;
}

std::size_t wait_queue::size() const
{
    return m_work.size();
}

}
