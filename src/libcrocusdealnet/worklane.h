#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace crocusdeal
{

/** A few threads that run tasks in the order in which they fall due. */
class work_lane
{
public:
    using clock = std::chrono::steady_clock;
    /** Called exactly once; @p stopped is true if the lane was stopped before the task's turn. */
    using task = std::function<void(bool stopped)>;

    explicit work_lane(int threads);
    ~work_lane();
    work_lane(const work_lane &) = delete;
    work_lane &operator=(const work_lane &) = delete;

    /** After stop() the task is called at once, on the caller's thread. */
    void add(clock::time_point due, task work);

    /** Lets no further task start. */
    void requestStop();
    /** Waits up to @p limit until no task is running; false if one is. */
    bool waitIdle(std::chrono::milliseconds limit);
    /** Joins the threads, then calls the tasks that are left with stopped set. */
    void stop();

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<clock::time_point, task> m_tasks;
    std::vector<std::thread> m_threads;
    int m_running = 0;
    bool m_stopping = false;
};

}
