#include "sessionstate.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace crocusdeal;

class session_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_state_test);
    CPPUNIT_TEST(readsItsOwnTextForm);
    CPPUNIT_TEST(refusesMalformedTokens);
    CPPUNIT_TEST(neverMovesBack);
    CPPUNIT_TEST(coversNothingWhileHistoryIsUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a token that another instance reads differently. */
    void readsItsOwnTextForm()
    {
        const bool held = rc::check([](const std::map<std::uint8_t, std::pair<std::uint64_t, std::uint64_t>> &entries) {
            session_token token;
            for (const auto &[number, at] : entries) {
                token[group_id("g-" + std::to_string(number))] = {at.first, at.second};
            }
            const auto read = parseSessionToken(toString(token));
            RC_ASSERT(read.value_or(session_token()) == token);
            RC_ASSERT(read.has_value() != token.empty());
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against taking a damaged token for an older one, which would show the caller old data. */
    void refusesMalformedTokens()
    {
        CPPUNIT_ASSERT(parseSessionToken("orders:3/17,dues:1/2"));
        for (const char *text : {"",
                                 "orders",
                                 "orders:",
                                 ":3/17",
                                 "orders:3/17,",
                                 ",orders:3/17",
                                 "orders:3/17,orders:3/18",
                                 "orders:3/17 ",
                                 "or ders:3/17",
                                 "a:b:3/17",
                                 "orders:3/-1"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseSessionToken(text));
        }
    }

    /** Guards against an older token that hides a newer write. */
    void neverMovesBack()
    {
        session_state session(time_point{0});
        session.advance(group_id("g"), {2, 5});
        session.merge({{group_id("g"), {1, 900}}, {group_id("h"), {1, 1}}});
        CPPUNIT_ASSERT(session.tokenFor(group_id("g")) == (position{2, 5}));
        CPPUNIT_ASSERT(session.tokenFor(group_id("h")) == (position{1, 1}));
        CPPUNIT_ASSERT(!session.covers(group_id("g"), {1, 900}));
        CPPUNIT_ASSERT(session.covers(group_id("g"), {3, 1}));
    }

    /** Guards against treating a session that may have written elsewhere as one that never wrote. */
    void coversNothingWhileHistoryIsUnknown()
    {
        const session_state session(time_point{0});
        CPPUNIT_ASSERT(!session.historyKnown(group_id("g")));
        CPPUNIT_ASSERT(!session.covers(group_id("g"), {9, 9}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_state_test);
