#include "promotion.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;
using namespace crocusdeal::literals;

namespace
{

order_answer granted(const char *target)
{
    target_status status;
    status.term = 2;
    status.role = target_role::Replica;
    status.at = {1, 1};
    return {control_order::Fence, target_id(target), 2, false, true, status};
}

/** The target of the promote order among @p actions; empty without one. */
target_id promotedBy(const promotion_actions &actions)
{
    for (const auto &action : actions) {
        const auto *order = std::get_if<order_target>(&action);
        if (order != nullptr && order->order == control_order::Promote) {
            return order->target;
        }
    }
    return {};
}

}

class promotion_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(promotion_test);
    CPPUNIT_TEST(drainedDatabasesThatAnswerFirstAreNotPromoted);
    CPPUNIT_TEST(drainedDatabaseIsPromotedIfNoOtherAnswersInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against drained databases that take turns as primary, since the others answer later. */
    void drainedDatabasesThatAnswerFirstAreNotPromoted()
    {
        CPPUNIT_ASSERT(m_promotion.answered(granted("a"), {1}).empty());
        CPPUNIT_ASSERT(m_promotion.answered(granted("b"), {2}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), promotedBy(m_promotion.answered(granted("c"), {20})).str());
    }

    /** Guards against a group that stays without a primary while only drained databases answer. */
    void drainedDatabaseIsPromotedIfNoOtherAnswersInTime()
    {
        m_promotion.answered(granted("a"), {1});
        m_promotion.answered(granted("b"), {2});
        CPPUNIT_ASSERT(promotedBy(m_promotion.tick(time_point{} + m_policy.fenceTimeout - 1_ms)).str().empty());
        CPPUNIT_ASSERT(!promotedBy(m_promotion.tick(time_point{} + m_policy.fenceTimeout)).str().empty());
    }

    void setUp() override
    {
        const std::set<target_id> drained{target_id("a"), target_id("b")};
        m_promotion = promotion({target_id("a"), target_id("b"), target_id("c")}, drained, std::nullopt, m_policy);
        m_promotion.start(1, {});
    }

private:
    group_policy m_policy;
    promotion m_promotion{{}, {}, std::nullopt};
};

CPPUNIT_TEST_SUITE_REGISTRATION(promotion_test);
