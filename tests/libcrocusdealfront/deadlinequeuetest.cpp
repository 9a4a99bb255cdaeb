#include "deadlinequeue.h"

#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

/** Cancels an action when it is destroyed, as parts of the daemon do. */
class cancelling_owner
{
public:
    cancelling_owner(deadline_queue &deadlines, deadline_queue::handle action)
        : m_deadlines(deadlines)
        , m_action(action)
    {
    }
    ~cancelling_owner()
    {
        m_deadlines.cancel(m_action);
    }
    cancelling_owner(const cancelling_owner &) = delete;
    cancelling_owner &operator=(const cancelling_owner &) = delete;

private:
    deadline_queue &m_deadlines;
    deadline_queue::handle m_action;
};

}

class deadline_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(deadline_queue_test);
    CPPUNIT_TEST(ownersThatEndWithTheirActionsMayCancelOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a use after free: the last holder of an object is an action, and the object cancels another one.
     */
    void ownersThatEndWithTheirActionsMayCancelOthers()
    {
        asio::io_context io;
        deadline_queue deadlines(io);
        const auto owned = std::make_shared<int>(0);
        const auto other = deadlines.scheduleAfter(2000_ms, [owned] {});
        auto owner = std::make_shared<cancelling_owner>(deadlines, other);
        deadlines.scheduleAfter(1000_ms, [owner] {});
        deadlines.scheduleAfter(3000_ms, [owner] {});
        owner.reset();
        deadlines.cancelAll();
        CPPUNIT_ASSERT_EQUAL(1L, owned.use_count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(deadline_queue_test);
