#include "position.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace crocusdeal;

class position_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(position_test);
    CPPUNIT_TEST(ordersByTermBeforeOffset);
    CPPUNIT_TEST(refusesMalformedText);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against taking a longer log of an old term for the further one. */
    void ordersByTermBeforeOffset()
    {
        CPPUNIT_ASSERT((position{2, 1} > position{1, 900}));
        CPPUNIT_ASSERT((position{2, 1} < position{2, 2}));
    }

    /** Guards against accepting a token that only begins like a position. */
    void refusesMalformedText()
    {
        CPPUNIT_ASSERT(parsePosition("3/17") == (position{3, 17}));
        for (const char *text : {"", "/", "3/", "/17", "3/17x", "3", "-1/2", "3/17/1", "99999999999999999999/1"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parsePosition(text));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(position_test);
