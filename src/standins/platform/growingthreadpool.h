#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace platform_standin
{

/** Threads for an HTTP server: one is added when a task finds all of them busy, up to a maximum. */
class growing_thread_pool : public httplib::TaskQueue
{
public:
    explicit growing_thread_pool(std::size_t maxThreads);

    void enqueue(std::function<void()> task) override;
    /** Runs what is queued, then ends the threads. */
    void shutdown() override;

private:
    void run();

    std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads = 0;
    bool m_isShutDown = false;
};

}
