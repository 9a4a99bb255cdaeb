#include "openorders.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

class open_orders_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(open_orders_test);
    CPPUNIT_TEST(acceptedOrderIsOpenUntilItsTargetLeads);
    CPPUNIT_TEST(leadFromBeforeTheOrderEndsNothing);
    CPPUNIT_TEST(fenceDoesNotEndAnAcceptedOrder);
    CPPUNIT_TEST(fenceDoesNotEndAnOrderWithoutAnAnswer);
    CPPUNIT_TEST(refusedOrderIsNotOpen);
    CPPUNIT_TEST(orderEndsWhenItsTargetIsGone);
    CPPUNIT_TEST(newerOrderForAnotherTargetDoesNotEndAnOlderOne);
    CPPUNIT_TEST(orderOfAnotherProcessEndsByAFenceOnly);
    CPPUNIT_TEST(orderThatTheRecordNamesIsOpenForTheNextHolder);
    CPPUNIT_TEST(orderWithoutARecordIsNotHandedOver);
    CPPUNIT_TEST(unknownOrderHidesNoKnownTarget);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against LOST: the answer to an order, or a time after it, passes for its effect. */
    void acceptedOrderIsOpenUntilItsTargetLeads()
    {
        m_orders.sent(order(7));
        m_orders.accepted(7);
        CPPUNIT_ASSERT(!m_orders.isEmpty());
        CPPUNIT_ASSERT(m_orders.target() == m_target);
        CPPUNIT_ASSERT(!m_orders.targetLeads(m_other, m_now + 10_ms));
        CPPUNIT_ASSERT(m_orders.targetLeads(m_target, m_now + 10_ms));
        CPPUNIT_ASSERT(m_orders.isEmpty());
    }

    /** Guards against a late answer of a target that led before it was replaced and ordered again. */
    void leadFromBeforeTheOrderEndsNothing()
    {
        m_orders.sent(order(7));
        CPPUNIT_ASSERT(!m_orders.targetLeads(m_target, m_now - 1_ms));
        CPPUNIT_ASSERT(!m_orders.isEmpty());
    }

    /** Guards against LOST: an order that names the primary in place takes back nothing that was accepted. */
    void fenceDoesNotEndAnAcceptedOrder()
    {
        m_orders.sent(order(7));
        m_orders.accepted(7);
        m_orders.fenced();
        CPPUNIT_ASSERT(!m_orders.isEmpty());
    }

    /** Guards against LOST: an order that was carried out without an answer, just before a fence. */
    void fenceDoesNotEndAnOrderWithoutAnAnswer()
    {
        m_orders.sent(order(7));
        CPPUNIT_ASSERT(m_orders.isFenceOfUse());
        m_orders.fenced();
        CPPUNIT_ASSERT(m_orders.target() == m_target);
        CPPUNIT_ASSERT(!m_orders.isFenceOfUse());
    }

    /** Guards against a service without commits after an order that was never carried out. */
    void refusedOrderIsNotOpen()
    {
        m_orders.sent(order(7));
        m_orders.refused(7);
        CPPUNIT_ASSERT(m_orders.isEmpty());
        m_orders.sent(order(8));
        m_orders.sent(order(9));
        m_orders.accepted(9);
        m_orders.refused(8);
        CPPUNIT_ASSERT(m_orders.target() == m_target);
    }

    /** Guards against a service without commits after the ordered target has gone for good. */
    void orderEndsWhenItsTargetIsGone()
    {
        m_orders.sent(order(7));
        m_orders.accepted(7);
        CPPUNIT_ASSERT(!m_orders.endGone([&](const target_id &id) { return id == m_other; }));
        CPPUNIT_ASSERT(m_orders.endGone([&](const target_id &id) { return id == m_target; }));
        CPPUNIT_ASSERT(m_orders.isEmpty());
    }

    /** Guards against LOST: the first one was carried out without an answer, and its target leads after the second. */
    void newerOrderForAnotherTargetDoesNotEndAnOlderOne()
    {
        m_orders.sent(order(7));
        m_orders.sent({m_other, 8, m_now, false, true});
        m_orders.accepted(8);
        CPPUNIT_ASSERT(m_orders.targetLeads(m_other, m_now));
        CPPUNIT_ASSERT(m_orders.target() == m_target);
    }

    /** Guards against an end by sightings of an order whose target is not known. */
    void orderOfAnotherProcessEndsByAFenceOnly()
    {
        m_orders.leftOpen();
        CPPUNIT_ASSERT(!m_orders.targetLeads(m_target, m_now));
        CPPUNIT_ASSERT(!m_orders.endGone([](const target_id &) { return true; }));
        m_orders.fenced();
        CPPUNIT_ASSERT(m_orders.isEmpty());
    }

    /** Guards against LOST: who takes the lease over takes an order for fenced that still takes effect. */
    void orderThatTheRecordNamesIsOpenForTheNextHolder()
    {
        m_orders.leftOpen(std::vector<target_id>{m_target});
        m_orders.fenced();
        CPPUNIT_ASSERT(m_orders.target() == m_target);
        CPPUNIT_ASSERT(m_orders.targets() == std::vector<target_id>{m_target});
        CPPUNIT_ASSERT(m_orders.targetLeads(m_target, m_now));
        CPPUNIT_ASSERT(m_orders.isEmpty());
    }

    /** Guards against LOST: nobody else knows of an order that was sent without the store. */
    void orderWithoutARecordIsNotHandedOver()
    {
        m_orders.sent(order(7));
        m_orders.sent({m_other, 8, m_now, false, false});
        m_orders.handOver();
        CPPUNIT_ASSERT(m_orders.targets() == std::vector<target_id>{m_other});
    }

    /** Guards against LOST: the record gives up the name of a target for an order that nobody knows. */
    void unknownOrderHidesNoKnownTarget()
    {
        m_orders.leftOpen();
        CPPUNIT_ASSERT(!m_orders.targets());
        m_orders.sent(order(7));
        CPPUNIT_ASSERT(m_orders.targets() == std::vector<target_id>{m_target});
    }

private:
    open_order order(std::uint64_t token) const
    {
        return {m_target, token, m_now, false, true};
    }

    open_orders m_orders;
    target_id m_target{"i-1"};
    target_id m_other{"i-2"};
    time_point m_now{100000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(open_orders_test);
