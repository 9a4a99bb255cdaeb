#include "worklane.h"

#include <utility>

namespace crocusdeal
{

work_lane::work_lane(int threads)
{
    m_threads.reserve(static_cast<std::size_t>(threads));
    for (int i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] { run(); });
    }
}

work_lane::~work_lane()
{
    stop();
}

void work_lane::add(clock::time_point due, task work)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_stopping) {
            m_tasks.emplace(due, std::move(work));
            m_changed.notify_one();
            return;
        }
    }
    work(true);
}

void work_lane::requestStop()
{
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
}

bool work_lane::waitIdle(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, limit, [this] { return m_running == 0; });
}

void work_lane::stop()
{
    requestStop();
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    std::multimap<clock::time_point, task> left;
    {
        const std::lock_guard lock(m_mutex);
        left.swap(m_tasks);
    }
    for (auto &[due, work] : left) {
        work(true);
    }
}

void work_lane::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_tasks.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const auto first = m_tasks.begin();
        if (first->first > clock::now()) {
            const auto due = first->first;
            m_changed.wait_until(lock, due);
            continue;
        }
        auto work = std::move(first->second);
        m_tasks.erase(first);
        ++m_running;
        lock.unlock();
        work(false);
        work = nullptr;
        lock.lock();
        --m_running;
        m_changed.notify_all();
    }
}

}
