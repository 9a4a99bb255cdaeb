#include "startupmessage.h"
#include "pgframe.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace crocusdeal;

namespace
{

std::string startupPayload(const std::vector<std::pair<std::string, std::string>> &parameters)
{
    frame_writer writer;
    writer.int32(3 << 16);
    for (const auto &[name, value] : parameters) {
        writer.string(name).string(value);
    }
    return writer.byte(0).take();
}

}

class startup_message_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(startup_message_test);
    CPPUNIT_TEST(readsOptionsInBothForms);
    CPPUNIT_TEST(refusesTruncatedParameters);
    CPPUNIT_TEST(survivesArbitraryBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a session token that is lost because a driver writes options in the other form. */
    void readsOptionsInBothForms()
    {
        const auto message = parseStartupMessage(startupPayload(
            {{"database", "orders"}, {"options", "-c crocusdeal.session=g:1/2 --work_mem=4\\ MB -cx=y"}}));
        CPPUNIT_ASSERT(message.kind == startup_kind::Startup);
        CPPUNIT_ASSERT(message.option("crocusdeal.session") == "g:1/2");
        CPPUNIT_ASSERT(message.option("work_mem") == "4 MB");
        CPPUNIT_ASSERT(message.option("x") == "y");
        CPPUNIT_ASSERT_EQUAL(std::string("orders"), message.parameter("database"));
    }

    /** Guards against taking half a start-up message for a whole one. */
    void refusesTruncatedParameters()
    {
        const auto whole = startupPayload({{"user", "app"}, {"database", "orders"}});
        for (std::size_t size = 0; size < whole.size(); ++size) {
            const auto message = parseStartupMessage(std::string_view(whole).substr(0, size));
            CPPUNIT_ASSERT(message.kind != startup_kind::Startup);
        }
    }

    /** Guards against reads past the end on hostile input. */
    void survivesArbitraryBytes()
    {
        const bool held = rc::check([](const std::string &bytes) {
            parseStartupMessage(bytes);
            parseStartupOptions(bytes);
        });
        CPPUNIT_ASSERT(held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(startup_message_test);
