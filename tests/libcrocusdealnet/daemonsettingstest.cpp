#include "daemonsettings.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace crocusdeal;

class daemon_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(daemon_settings_test);
    CPPUNIT_TEST(readsTheExample);
    CPPUNIT_TEST(gathersAllProblemsInOneRun);
    CPPUNIT_TEST(listeningAddressesAreAdvertised);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a documented settings file that the daemon refuses or misreads. */
    void readsTheExample()
    {
        std::ostringstream text;
        text << std::ifstream(std::string(CROCUSDEAL_BINARY_DIR) + "/../docs/examples/crocusdeald.json").rdbuf();
        const auto settings = parseDaemonSettings(text.str(), "crocusdeald.json").value;
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(std::string("ishikari-a-1"), settings->instance.str());
        CPPUNIT_ASSERT_EQUAL(std::string("0.0.0.0:7400"), toString(settings->controlAddress));
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.11:7400"), toString(settings->advertised.control));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, settings->peers.size());
        CPPUNIT_ASSERT(settings->logLevel == log_level::Info && settings->workers == 4 && settings->tls);
    }

    /** Guards against a daemon that names one mistake at each start only. */
    void gathersAllProblemsInOneRun()
    {
        const auto problems = parseDaemonSettings(R"({"instanse": "i", "data_centre": 3,
            "caller_address": "0.0.0.0:1", "control_address": "127.0.0.1:2", "admin_address": "127.0.0.1:2",
            "platform_address": "127.0.0.1", "peers": ["127.0.0.1:4", 5, "127.0.0.1:4"], "workers": 1000,
            "log_level": "loud", "tls": {"certificate": "c"}})",
                                                  "d.json")
                                  .problems;
        std::string all;
        for (const auto &problem : problems) {
            all += toString(problem) + '\n';
        }
        for (const char *part : {"instanse: unknown key, did you mean \"instance\"?",
                                 "instance: required key is missing",
                                 "data_centre: string expected, got 3",
                                 "advertised.caller_address: address that other machines can reach expected",
                                 "admin_address: same address as control_address",
                                 "platform_address: address of the form",
                                 "peers[1]: address of the form",
                                 "peers[2]: address \"127.0.0.1:4\" is listed twice",
                                 "workers: whole number from 0 to 256 expected, got 1000",
                                 "log_level: one of \"trace\"",
                                 "tls.key: required key is missing"}) {
            CPPUNIT_ASSERT_MESSAGE(std::string(part) + " not in\n" + all, all.find(part) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(all, std::size_t{11}, problems.size());
    }

    /** Guards against an instance that states an empty address to its peers when the file states none. */
    void listeningAddressesAreAdvertised()
    {
        const auto settings = parseDaemonSettings(R"({"instance": "i", "data_centre": "a",
            "caller_address": "127.0.0.1:1", "control_address": "127.0.0.1:2", "admin_address": "127.0.0.1:3",
            "platform_address": "127.0.0.1:4"})",
                                                  "d.json")
                                  .value;
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT(settings->advertised.control == settings->controlAddress);
        CPPUNIT_ASSERT(settings->advertised.admin == settings->adminAddress);
        CPPUNIT_ASSERT_EQUAL(std::string("crocusdeal"), settings->user);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_settings_test);
