#include "growingthreadpool.h"

#include <utility>

namespace platform_standin
{

growing_thread_pool::growing_thread_pool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

void growing_thread_pool::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idleThreads && m_threads.size() < m_maxThreads) {
        m_threads.emplace_back([this] { run(); });
        return;
    }
    m_changed.notify_one();
}

void growing_thread_pool::shutdown()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_isShutDown = true;
        threads.swap(m_threads);
    }
    m_changed.notify_all();
    for (auto &thread : threads) {
        thread.join();
    }
}

void growing_thread_pool::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idleThreads;
        m_changed.wait(lock, [this] { return !m_tasks.empty() || m_isShutDown; });
        --m_idleThreads;
        if (m_tasks.empty()) {
            return;
        }
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

}
