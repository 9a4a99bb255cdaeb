#include "admissionqueue.h"
#include "concurrencylimit.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

queue_entry entryOf(std::uint64_t id, duration expected, time_point deadline = {2000}, const std::string &service = "a")
{
    queue_entry entry;
    entry.id = id;
    entry.service = service_id(service);
    entry.caller = id;
    entry.expected = expected;
    entry.deadline = deadline;
    return entry;
}

queue_entry longOf(std::uint64_t id, time_point deadline = {2000})
{
    auto entry = entryOf(id, 500_ms, deadline);
    entry.cls = work_class::Long;
    return entry;
}

using ids = std::vector<std::uint64_t>;

/** Ends what runs and starts what waits, one at a time; returns the order of starts. */
ids drain(admission_queue &queue, std::uint64_t running, time_point now)
{
    ids order;
    for (auto started = queue.finish(running, now).start; !started.empty();) {
        order.push_back(started.front());
        started = queue.finish(started.front(), now).start;
    }
    return order;
}

}

class admission_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_queue_test);
    CPPUNIT_TEST(startsShortestFirstWithinTheLimit);
    CPPUNIT_TEST(doesNotStarveLargerWork);
    CPPUNIT_TEST(refusesWhatCannotMeetItsDeadline);
    CPPUNIT_TEST(startsNewestFirstInOverload);
    CPPUNIT_TEST(sharesBetweenServices);
    CPPUNIT_TEST(sharesBetweenCallers);
    CPPUNIT_TEST(keepsAPlaceForShortWork);
    CPPUNIT_TEST(startsFollowUpsAtOnce);
    CPPUNIT_TEST(sharesAFullQueue);
    CPPUNIT_TEST(dropsCancelledEntries);
    CPPUNIT_TEST(adaptsTheLimit);
    CPPUNIT_TEST(startsTheLimitAtTheShare);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against short work that waits behind work many times as long, and against exceeding the limit. */
    void startsShortestFirstWithinTheLimit()
    {
        admission_queue queue;
        CPPUNIT_ASSERT(queue.submit(entryOf(1, 10_ms), {0}).start == ids{1});
        CPPUNIT_ASSERT(queue.submit(entryOf(2, 150_ms), {0}).start.empty());
        queue.submit(entryOf(3, 5_ms), {0});
        queue.submit(entryOf(4, 20_ms), {0});
        CPPUNIT_ASSERT(queue.setLimit(2, {1}).start == ids{3});
        queue.setLimit(1, {1});
        CPPUNIT_ASSERT(queue.finish(3, {1}).start.empty());
        CPPUNIT_ASSERT((drain(queue, 1, {2}) == ids{4, 2}));
    }

    /** Guards against a larger statement that never runs while short ones keep arriving. */
    void doesNotStarveLargerWork()
    {
        admission_queue queue;
        queue.submit(entryOf(1, 10_ms, {100000}), {0});
        queue.submit(entryOf(2, 150_ms, {100000}), {0});
        std::uint64_t running = 1;
        std::uint64_t next = 3;
        while (running != 2 && next < 100) {
            queue.submit(entryOf(next, 10_ms, {100000}), {static_cast<std::int64_t>(next)});
            running = queue.finish(running, {static_cast<std::int64_t>(next)}).start.at(0);
            ++next;
        }
        CPPUNIT_ASSERT(next > 10 && next < 25);
    }

    /** Guards against slots spent on answers that come too late, and against keeping callers waiting for a refusal. */
    void refusesWhatCannotMeetItsDeadline()
    {
        admission_queue queue;
        queue.submit(entryOf(1, 10_ms), {0});
        CPPUNIT_ASSERT(queue.submit(entryOf(2, 30_ms, {100}), {0}).wakeAt == time_point{71});
        CPPUNIT_ASSERT(queue.tick({70}).refuse.empty());
        const auto late = queue.tick({71}).refuse;
        CPPUNIT_ASSERT(late.size() == 1 && late.front().id == 2);
        CPPUNIT_ASSERT(late.front().reason == refuse_reason::DeadlineCannotBeMet);
        const auto passed = queue.submit(entryOf(3, 1_ms, {50}), {71});
        CPPUNIT_ASSERT(passed.refuse.at(0).reason == refuse_reason::DeadlinePassed);
        CPPUNIT_ASSERT(passed.start.empty() && queue.finish(1, {80}).start.empty());
    }

    /** Guards against serving only requests that are about to time out. */
    void startsNewestFirstInOverload()
    {
        admission_queue queue;
        queue.submit(entryOf(1, 10_ms), {0});
        for (std::uint64_t id = 2; id < 20; ++id) {
            queue.submit(entryOf(id, 10_ms), {static_cast<std::int64_t>(id)});
        }
        queue.tick({1100});
        queue.tick({1200});
        CPPUNIT_ASSERT(queue.isOverloaded());
        CPPUNIT_ASSERT(queue.finish(1, {1210}).start == ids{19});
        drain(queue, 19, {1220});
        CPPUNIT_ASSERT(!queue.isOverloaded());
    }

    /** Guards against one service that takes the whole target. */
    void sharesBetweenServices()
    {
        admission_queue queue;
        queue.submit(entryOf(1, 10_ms, {2000}, "c"), {0});
        for (std::uint64_t id = 100; id < 200; ++id) {
            queue.submit(entryOf(id, 10_ms, {2000}, "a"), {0});
        }
        for (std::uint64_t id = 200; id < 210; ++id) {
            queue.submit(entryOf(id, 10_ms, {2000}, "b"), {0});
        }
        const auto order = drain(queue, 1, {0});
        const auto ofB = std::count_if(order.begin(), order.begin() + 20, [](auto id) { return id >= 200; });
        CPPUNIT_ASSERT(ofB >= 9);
    }

    /** Guards against one caller that delays all others of its service. */
    void sharesBetweenCallers()
    {
        admission_queue queue;
        queue.submit(entryOf(1, 10_ms), {0});
        for (std::uint64_t id = 100; id < 200; ++id) {
            auto entry = entryOf(id, 10_ms);
            entry.caller = 7;
            queue.submit(entry, {0});
        }
        queue.submit(entryOf(2, 10_ms), {1});
        const auto order = drain(queue, 1, {1});
        CPPUNIT_ASSERT(std::find(order.begin(), order.begin() + 3, 2) != order.begin() + 3);
    }

    /** Guards against long statements, expected or not, that leave no place for short work. */
    void keepsAPlaceForShortWork()
    {
        admission_queue queue;
        queue.setLimit(2, {0});
        CPPUNIT_ASSERT(queue.submit(longOf(1), {0}).start.empty()); // Holds no permit.
        CPPUNIT_ASSERT_EQUAL(1, queue.longDemand());
        queue.submit(longOf(2), {0});
        CPPUNIT_ASSERT(queue.setLongPlaces(5, {0}).start == ids{1});
        CPPUNIT_ASSERT(queue.submit(entryOf(3, 5_ms), {0}).start == ids{3});
        CPPUNIT_ASSERT(queue.submit(entryOf(4, 5_ms), {0}).start.empty());
        CPPUNIT_ASSERT(queue.reclassify(3, {300}).start == ids{4});
        CPPUNIT_ASSERT(queue.finish(4, {310}).start.empty());
        CPPUNIT_ASSERT(queue.submit(entryOf(5, 5_ms), {310}).start == ids{5});
        CPPUNIT_ASSERT_EQUAL(2, queue.longRunning());
    }

    /** Guards against a deadlock: the statements that run wait for locks of a transaction whose COMMIT waits here. */
    void startsFollowUpsAtOnce()
    {
        admission_queue queue;
        queue.submit(entryOf(1, 10_ms), {0});
        queue.submit(entryOf(2, 10_ms), {0});
        auto commit = entryOf(3, 10_ms);
        commit.followUp = true;
        CPPUNIT_ASSERT(queue.submit(commit, {1}).start == ids{3});
        CPPUNIT_ASSERT(queue.finish(1, {2}).start.empty()); // The limit counts the follow-up.
        CPPUNIT_ASSERT(queue.finish(3, {3}).start == ids{2});
    }

    /** Guards against memory without bound, and against a service that keeps the others out by filling the queue. */
    void sharesAFullQueue()
    {
        admission_queue queue({10});
        queue.submit(entryOf(1, 10_ms), {0});
        for (std::uint64_t id = 100; id < 110; ++id) {
            CPPUNIT_ASSERT(queue.submit(entryOf(id, 10_ms), {0}).refuse.empty());
        }
        const auto own = queue.submit(entryOf(110, 10_ms), {0}).refuse;
        CPPUNIT_ASSERT((own == std::vector<queue_actions::refusal>{{110, refuse_reason::QueueFull}}));
        const auto other = queue.submit(entryOf(200, 10_ms, {2000}, "b"), {0}).refuse;
        CPPUNIT_ASSERT((other == std::vector<queue_actions::refusal>{{109, refuse_reason::QueueFull}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), queue.refuseAll(refuse_reason::ShuttingDown).refuse.size());
    }

    /** Guards against running the request of a caller that has gone. */
    void dropsCancelledEntries()
    {
        admission_queue queue;
        queue.submit(entryOf(1, 10_ms), {0});
        queue.submit(entryOf(2, 10_ms), {0});
        const auto actions = queue.cancel(2, {1});
        CPPUNIT_ASSERT(actions.refuse.empty() && !actions.wakeAt);
        CPPUNIT_ASSERT(queue.finish(1, {2}).start.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.running());
    }

    /** Guards against a limit that lets work wait in the target, or that leaves slots idle. */
    void adaptsTheLimit()
    {
        concurrency_limit limit({2, 5});
        const auto observe = [&limit](duration ran, int running, time_point from) {
            for (std::int64_t i = 0; i < 64; ++i) {
                limit.onFinished(ran, 10, running, {from.ms + i * 10});
            }
        };
        observe(30_ms, 2, {0}); // Two statements of each of five instances on two slots take five times as long.
        CPPUNIT_ASSERT_EQUAL(2, limit.limit());
        observe(120_ms, 2, {500});
        CPPUNIT_ASSERT_EQUAL(1, limit.limit());
        observe(10_ms, 0, {1000}); // Not reached, so there is no reason to raise it.
        CPPUNIT_ASSERT_EQUAL(1, limit.limit());
        observe(10_ms, 3, {2000});
        CPPUNIT_ASSERT_EQUAL(3, limit.limit());
        observe(30_ms, 3, {2700}); // Above the share an instance gives way at once.
        CPPUNIT_ASSERT_EQUAL(2, limit.limit());
        observe(10_ms, 3, {3500});
        CPPUNIT_ASSERT_EQUAL(3, limit.limit());
        limit.onRefused({5000});
        limit.onRefused({5001}); // Sent before the decrease.
        CPPUNIT_ASSERT_EQUAL(2, limit.limit());
    }

    /** Guards against a start that overloads the target or needs time to reach it. */
    void startsTheLimitAtTheShare()
    {
        CPPUNIT_ASSERT_EQUAL(2, concurrency_limit({2, 5}).limit());
        CPPUNIT_ASSERT_EQUAL(3, concurrency_limit({3, 2}).limit());
        CPPUNIT_ASSERT_EQUAL(4, concurrency_limit({3, 1}).limit());
        CPPUNIT_ASSERT_EQUAL(4, concurrency_limit({std::nullopt, 3}).limit());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_queue_test);
