#include "admissionqueue.h"
#include "lossynetwork.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

/** The naive version: first come, first served, up to the limit; refuses only what is past its deadline. */
class fifo_queue
{
public:
    queue_actions submit(const queue_entry &entry, time_point now)
    {
        m_waiting.push_back(entry);
        return settle(now);
    }

    queue_actions finish(std::uint64_t, time_point now)
    {
        --m_running;
        return settle(now);
    }

    queue_actions cancel(std::uint64_t id, time_point now)
    {
        std::erase_if(m_waiting, [&](const auto &entry) { return entry.id == id; });
        return settle(now);
    }

    queue_actions reclassify(std::uint64_t, time_point now)
    {
        return settle(now);
    }

    queue_actions setLimit(int limit, time_point now)
    {
        m_limit = limit;
        return settle(now);
    }

    queue_actions setLongPlaces(int, time_point now)
    {
        return settle(now);
    }

    queue_actions tick(time_point now)
    {
        return settle(now);
    }

private:
    queue_actions settle(time_point now)
    {
        queue_actions actions;
        std::erase_if(m_waiting, [&](const auto &entry) {
            if (entry.deadline < now) {
                actions.refuse.push_back({entry.id, refuse_reason::DeadlinePassed});
            }
            return entry.deadline < now;
        });
        for (; m_running < m_limit && !m_waiting.empty(); ++m_running) {
            actions.start.push_back(m_waiting.front().id);
            m_waiting.pop_front();
        }
        return actions;
    }

    std::deque<queue_entry> m_waiting;
    int m_running = 0;
    int m_limit = 1;
};

/** What becomes of each request, and what the queue may not do. */
template<typename Queue>
class observer
{
public:
    Queue queue;
    std::map<std::uint64_t, queue_entry> waiting;
    std::vector<std::uint64_t> running;
    std::map<std::uint64_t, std::string> ends; ///< What the caller saw of each request.

    void apply(const queue_actions &actions, time_point now)
    {
        for (const auto id : actions.start) {
            RC_ASSERT(waiting.erase(id) == 1U); // Neither started before nor refused or cancelled.
            running.push_back(id);
        }
        for (const auto &refusal : actions.refuse) {
            const auto found = waiting.find(refusal.id);
            RC_ASSERT(found != waiting.end());
            checkReason(refusal.reason, found->second, now);
            end(refusal.id, "refused");
            waiting.erase(found);
        }
    }

    void end(std::uint64_t id, const std::string &how)
    {
        RC_ASSERT(ends.emplace(id, how).second);
    }

    static void checkReason(refuse_reason reason, const queue_entry &entry, time_point now)
    {
        if (reason == refuse_reason::DeadlinePassed) {
            RC_ASSERT(entry.deadline < now);
        } else if (reason == refuse_reason::DeadlineCannotBeMet) {
            RC_ASSERT(now + entry.expected > entry.deadline);
        }
    }

    void finish(std::size_t choice, time_point now)
    {
        if (running.empty()) {
            return;
        }
        const auto at = running.begin() + static_cast<std::ptrdiff_t>(choice % running.size());
        const auto id = *at;
        running.erase(at);
        end(id, "answered");
        apply(queue.finish(id, now), now);
    }

    void cancel(std::uint64_t id, time_point now)
    {
        if (waiting.erase(id) > 0) {
            end(id, "cancelled");
        }
        apply(queue.cancel(id, now), now);
    }
};

queue_entry randomEntry(std::uint64_t id, time_point now, dice &random)
{
    queue_entry entry;
    entry.id = id;
    entry.service = service_id(std::string(1, static_cast<char>('a' + random.between(0, 2))));
    entry.caller = static_cast<std::uint64_t>(random.between(1, 5));
    entry.cls = random.chance(20) ? work_class::Long : work_class::Short;
    entry.expected = duration{entry.cls == work_class::Long ? random.between(200, 2000) : random.between(1, 50)};
    entry.deadline = now + duration{random.between(1, 2000)};
    entry.followUp = random.chance(5);
    return entry;
}

template<typename Queue>
void step(observer<Queue> &seen, int event, const queue_entry &entry, int choice, time_point now)
{
    if (event <= 50) {
        seen.waiting.emplace(entry.id, entry);
        seen.apply(seen.queue.submit(entry, now), now);
    } else if (event <= 85) {
        seen.finish(static_cast<std::size_t>(choice), now);
    } else if (event <= 88) {
        seen.cancel(entry.id - 1 - static_cast<std::uint64_t>(choice % 20), now);
    } else if (event <= 90 && !seen.running.empty()) {
        seen.apply(seen.queue.reclassify(seen.running.front(), now), now);
    } else if (event <= 92) {
        seen.apply(seen.queue.setLimit(1 + choice % 6, now), now);
    } else if (event <= 95) {
        seen.apply(seen.queue.setLongPlaces(choice % 3, now), now);
    } else {
        seen.apply(seen.queue.tick(now), now);
    }
}

/** Ends all that runs, and lets the deadlines of the rest pass. */
template<typename Queue>
void drain(observer<Queue> &seen, time_point now)
{
    while (!seen.running.empty()) {
        seen.finish(0, now);
    }
    seen.apply(seen.queue.tick(now + 10_s), now + 10_s);
    while (!seen.running.empty()) {
        seen.finish(0, now + 10_s);
    }
}

std::set<std::uint64_t> requestsOf(const std::map<std::uint64_t, std::string> &ends)
{
    std::set<std::uint64_t> requests;
    for (const auto &[id, how] : ends) {
        requests.insert(id);
    }
    return requests;
}

}

class admission_queue_history_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_queue_history_test);
    CPPUNIT_TEST(agreesWithAFifoQueue);
    CPPUNIT_TEST(staysWithinItsPlaces);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a request that is lost, answered twice, started twice or refused although it was started. */
    void agreesWithAFifoQueue()
    {
        int refused = 0;
        int answered = 0;
        CPPUNIT_ASSERT(rc::check("both queues end each request once", [&](std::uint32_t seed) {
            dice random(seed);
            observer<admission_queue> ours;
            observer<fifo_queue> naive;
            time_point now{0};
            const int pace = random.between(0, 100);
            for (std::uint64_t id = 1000; id < 1400; ++id) {
                now = now + duration{random.between(0, pace)};
                const auto entry = randomEntry(id, now, random);
                const int event = random.between(1, 100);
                const int choice = random.between(0, 1000);
                step(ours, event, entry, choice, now);
                step(naive, event, entry, choice, now);
            }
            drain(ours, now);
            drain(naive, now);
            RC_ASSERT(ours.waiting.empty() && naive.waiting.empty());
            RC_ASSERT(requestsOf(ours.ends) == requestsOf(naive.ends));
            refused +=
                std::count_if(ours.ends.begin(), ours.ends.end(), [](const auto &e) { return e.second == "refused"; });
            answered +=
                std::count_if(ours.ends.begin(), ours.ends.end(), [](const auto &e) { return e.second == "answered"; });
        }));
        CPPUNIT_ASSERT(refused > 1000 && answered > 1000); // Or the histories would show nothing.
    }

    /** Guards against exceeding the limit or the permits, and against idle places while work waits. */
    void staysWithinItsPlaces()
    {
        CPPUNIT_ASSERT(rc::check("running work stays within the places", [](std::uint32_t seed) {
            dice random(seed);
            observer<admission_queue> seen;
            const int limit = random.between(1, 6);
            const int places = random.between(0, 3);
            seen.apply(seen.queue.setLimit(limit, {0}), {0});
            seen.apply(seen.queue.setLongPlaces(places, {0}), {0});
            time_point now{0};
            for (std::uint64_t id = 1000; id < 1400; ++id) {
                now = now + duration{random.between(0, 20)};
                auto entry = randomEntry(id, now, random);
                entry.followUp = false;
                step(seen, random.between(1, 88), entry, random.between(0, 1000), now);
                const auto longs = seen.queue.longRunning();
                const auto running = static_cast<int>(seen.queue.running());
                RC_ASSERT(longs <= std::min(places, std::max(1, limit - 1)));
                RC_ASSERT(running <= std::max(limit, longs + 1));
                const bool shortWaits = std::any_of(seen.waiting.begin(), seen.waiting.end(), [](const auto &w) {
                    return w.second.cls == work_class::Short;
                });
                RC_ASSERT(!shortWaits || running >= limit);
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_queue_history_test);
