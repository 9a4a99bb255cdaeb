#include "waitqueue.h"
#include "placement.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;

class wait_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wait_queue_test);
    CPPUNIT_TEST(placesByPriorityThenByWantedTime);
    CPPUNIT_TEST(refusesOnlyExpiredWork);
    CPPUNIT_TEST(queueMayChangeWhileWorkIsPlaced);
    CPPUNIT_TEST(countsEarlierWorkForThePrimary);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against urgent work waiting behind less urgent work. */
    void placesByPriorityThenByWantedTime()
    {
        wait_queue queue;
        std::string order;
        add(queue, 2, {100}, "c", order);
        add(queue, 1, {300}, "b", order);
        add(queue, 1, {200}, "a", order);
        queue.placeAll();
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), order);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
    }

    /** Guards against refusing work before its time, and against keeping it after. */
    void refusesOnlyExpiredWork()
    {
        wait_queue queue;
        int refused = 0;
        for (const std::int64_t at : {100, 200}) {
            waiting_work work;
            work.refuseAt = {at};
            work.tryPlace = [] { return false; };
            work.refuse = [&refused] { ++refused; };
            queue.add(std::move(work));
        }
        queue.refuseExpired({150});
        CPPUNIT_ASSERT_EQUAL(1, refused);
        CPPUNIT_ASSERT(queue.nextRefusal() == time_point{200});
    }

    /** Guards against using an entry that was removed while another was placed. */
    void queueMayChangeWhileWorkIsPlaced()
    {
        wait_queue queue;
        wait_queue::ticket second = 0;
        waiting_work first;
        first.tryPlace = [&] {
            queue.remove(second);
            return true;
        };
        queue.add(std::move(first));
        waiting_work other;
        other.wantedBy = {1};
        other.tryPlace = [] {
            CPPUNIT_FAIL("removed work was placed");
            return true;
        };
        second = queue.add(std::move(other));
        queue.placeAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
    }

    /** Guards against refusing urgent work because of queued work that it overtakes. */
    void countsEarlierWorkForThePrimary()
    {
        wait_queue queue;
        for (const int priority : {1, 1, 2}) {
            waiting_work work;
            work.priority = priority;
            work.isForPrimary = true;
            queue.add(std::move(work));
        }
        waiting_work read;
        read.priority = 1;
        queue.add(std::move(read));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.aheadAtPrimary(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.aheadAtPrimary(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, queue.aheadAtPrimary(2));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20.0, expectedWaitMs(3, 10, 2), 0.001);
    }

private:
    static void add(wait_queue &queue, int priority, time_point wantedBy, const char *name, std::string &order)
    {
        waiting_work work;
        work.priority = priority;
        work.wantedBy = wantedBy;
        work.tryPlace = [name, &order] {
            order += name;
            return true;
        };
        queue.add(std::move(work));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wait_queue_test);
