#include "frontsettings.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

using namespace crocusdeal;

class front_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(front_settings_test);
    CPPUNIT_TEST(documentedExampleIsValid);
    CPPUNIT_TEST(problemsNameFileKeyAndExpectedValue);
    CPPUNIT_TEST(reportsAllProblemsAtOnce);
    CPPUNIT_TEST(secondsMayBeFractions);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a documented example that the daemon rejects when operators copy it. */
    void documentedExampleIsValid()
    {
        std::ifstream file(std::string(CROCUSDEAL_BINARY_DIR) + "/../docs/examples/crocusdealfront.json");
        std::ostringstream text;
        text << file.rdbuf();
        const auto result = parseFrontSettings(text.str(), "crocusdealfront.json");
        CPPUNIT_ASSERT_MESSAGE(result.problems.empty() ? "" : toString(result.problems.front()), result.value);
        CPPUNIT_ASSERT(result.value->gracePeriod == duration{6000});
        CPPUNIT_ASSERT(result.value->metricsAddress.has_value());
    }

    /** Guards against error messages that do not say which setting is wrong and what is expected. */
    void problemsNameFileKeyAndExpectedValue()
    {
        const auto result = parseFrontSettings(R"({"instance": "a", "data_centre": "b", "caller_address": "here",
            "readiness": {"address": "1.2.3.4:5", "path": "ready"}, "store_address": "1.2.3.4:6",
            "authority_address": "1.2.3.4:7", "drain_ms": 1})",
                                               "f.json");
        CPPUNIT_ASSERT(!result.value);
        std::string all;
        for (const auto &problem : result.problems) {
            all += toString(problem) + "\n";
        }
        for (const char *part : {"f.json: caller_address:",
                                 "f.json: readiness.path: path that begins with",
                                 "f.json: drain_ms: whole number from 100 to 600000 expected, got 1"}) {
            CPPUNIT_ASSERT_MESSAGE(all, all.find(part) != std::string::npos);
        }
    }

    /** Guards against reporting only the first problem of a file, and against silently ignoring unknown keys. */
    void reportsAllProblemsAtOnce()
    {
        const auto result = parseFrontSettings(R"({"instanse": "a"})", "f.json");
        CPPUNIT_ASSERT(result.problems.size() >= 6);
    }

    /** Guards against a daemon that does not start, as the platform fills in figures that are fractions. */
    void secondsMayBeFractions()
    {
        const auto result = parseFrontSettings(R"({"instance": "a", "data_centre": "b", "caller_address": "1.2.3.4:4",
            "readiness": {"address": "1.2.3.4:5", "path": "/ready"}, "store_address": "1.2.3.4:6",
            "authority_address": "1.2.3.4:7", "grace_s": 6.5, "rate_limit": {"window_s": 2.5}})",
                                               "f.json");
        CPPUNIT_ASSERT_MESSAGE(result.problems.empty() ? "" : toString(result.problems.front()), result.value);
        CPPUNIT_ASSERT(result.value->gracePeriod == duration{6500});
        CPPUNIT_ASSERT(result.value->rateLimitBound.window == duration{2500});
        const auto tooShort = parseFrontSettings(R"({"grace_s": 0.5})", "f.json");
        std::string all;
        for (const auto &problem : tooShort.problems) {
            all += toString(problem) + "\n";
        }
        CPPUNIT_ASSERT_MESSAGE(all, all.find("f.json: grace_s: ") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_settings_test);
