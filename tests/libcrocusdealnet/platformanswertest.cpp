#include "platformanswer.h"
#include "jsonreader.h"
#include "jsonsplit.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

using namespace crocusdeal;

namespace
{

std::string instanceNamed(const std::string &id, const std::string &state = "\"live\"")
{
    return R"({"id":")" + id
        + R"(","data_centre":"a","caller_address":"10.0.0.1:70000","control_address":"10.0.0.1:2",)"
        + R"("admin_address":"10.0.0.1:3","state":)" + state + "}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

}

class platform_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_answer_test);
    CPPUNIT_TEST(oddInstanceHidesNoOther);
    CPPUNIT_TEST(deeplyNestedObjectIsRefused);
    CPPUNIT_TEST(settingsThatNoNumberCanHoldAreAProblem);
    CPPUNIT_TEST(valuesAreSplitAsTheyAreWritten);
    CPPUNIT_TEST(splittingSurvivesArbitraryBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against one odd entry by which an instance loses sight of all members. */
    void oddInstanceHidesNoOther()
    {
        for (const auto &odd : {std::string("7"),
                                std::string(R"({"id":1e999})"),
                                instanceNamed("odd", "1e999"),
                                instanceNamed("odd", nested(100000)),
                                nested(100000)}) {
            const auto result = readInstances(
                {200, R"({"instances":[)" + instanceNamed("a") + ',' + odd + ',' + instanceNamed("z") + "]}"});
            CPPUNIT_ASSERT(result.value && result.value->size() == 2);
            CPPUNIT_ASSERT(result.value->back().id == instance_id("z"));
            CPPUNIT_ASSERT(!result.value->back().callerAddress); // The port is out of range.
            CPPUNIT_ASSERT(result.failure.detail.find("1 ignored") == 0);
        }
        CPPUNIT_ASSERT(!readInstances({200, R"({"instances":7})"}).value);
        CPPUNIT_ASSERT(!readInstances({200, ""}).value);
    }

    /** Guards against a process that ends while it prints a value that is nested too deeply. */
    void deeplyNestedObjectIsRefused()
    {
        const auto object = readObject({200, R"({"version":3,"value":)" + nested(100000) + "}"}, "services", 0);
        CPPUNIT_ASSERT(!object.value && object.failure.error == platform_error::Malformed);
        CPPUNIT_ASSERT(!isSameJson(nested(100000), nested(100000)));
        const auto list =
            readObjects({200,
                         R"({"objects":[{"name":"a","version":1,"value":{}},{"name":"b","version":1,"value":)"
                             + nested(100000) + "}]}"});
        CPPUNIT_ASSERT(list.value && list.value->size() == 1);
    }

    /** Guards against a configuration whose number is too large for any type, and which ends every process that reads
     * it. */
    void settingsThatNoNumberCanHoldAreAProblem()
    {
        for (const auto &text : {std::string(R"({"a": 1e999})"), R"({"a": )" + nested(100000) + "}"}) {
            problem_list problems{"file", unknown_keys::Refuse, {}};
            CPPUNIT_ASSERT(!parseJson(text, problems));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, problems.problems.size());
        }
    }

    /** Guards against quotes and brackets within strings that end a value too soon. */
    void valuesAreSplitAsTheyAreWritten()
    {
        const std::string text = R"( { "a" : "x]\"}" , "b":[1,{"c":"]"}], "d":-1.5e3 } )";
        CPPUNIT_ASSERT_EQUAL(std::string(R"("x]\"}")"), std::string(memberText(text, "a")));
        CPPUNIT_ASSERT_EQUAL(std::string(R"([1,{"c":"]"}])"), std::string(memberText(text, "b")));
        CPPUNIT_ASSERT_EQUAL(std::string("-1.5e3"), std::string(memberText(text, "d")));
        CPPUNIT_ASSERT(memberText(text, "e").empty());
        CPPUNIT_ASSERT_EQUAL(std::string("x]\"}"), parseText(memberText(text, "a"), 9).value_or(""));
        CPPUNIT_ASSERT(!parseText(memberText(text, "a"), 2) && !parseText("7", 9) && !parseText("", 9));
        CPPUNIT_ASSERT(parseUnsigned("18446744073709551615") && !parseUnsigned("18446744073709551616"));
        CPPUNIT_ASSERT(!parseUnsigned("-1") && !parseUnsigned("1.0") && !parseUnsigned("") && !parseUnsigned("1 "));
        const auto ignore = [](std::string_view) {};
        CPPUNIT_ASSERT(forEachElement("[]", ignore) && forEachElement(" [ 1 , 2 ] ", ignore));
        for (const char *bad : {"", "[", "[1", "[1,", "[1,]", "[1]]", "{}", "[1 2]", "[\"a]"}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !forEachElement(bad, ignore));
        }
    }

    /** Guards against a body cut short, or of other bytes, that is read beyond its end. */
    void splittingSurvivesArbitraryBytes()
    {
        rc::check("any text of JSON's own characters", [] {
            const auto text = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("{}[]\",:\\ 1ae")));
            std::size_t total = 0;
            forEachMember(text,
                          [&](std::string_view key, std::string_view value) { total += key.size() + value.size(); });
            forEachElement(text, [&](std::string_view value) { total += value.size(); });
            RC_ASSERT(total <= 2 * text.size());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_answer_test);
