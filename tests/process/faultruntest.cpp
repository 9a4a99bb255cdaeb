#include "processrunner.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <string>
#include <vector>

using namespace crocusdeal;

namespace
{

/** Plays drawn faults on real instances; gives the exit status: 0 if all rules held. */
int playFaults(std::vector<std::string> arguments)
{
    const auto directory = std::filesystem::temp_directory_path() / ("faultrun-test-" + std::to_string(freePort()));
    std::filesystem::create_directory(directory);
    arguments.insert(arguments.end(),
                     {"--program", CROCUSDEAL_BINARY_DIR "/platform/crocusdealfront", "--directory", directory});
    child_process run(CROCUSDEAL_BINARY_DIR "/src/standins/faultrun", arguments);
    const auto status = run.wait(std::chrono::seconds(120)).value_or(-1);
    if (status == 0) {
        std::filesystem::remove_all(directory); // Else the record stays.
    }
    return status;
}

}

class fault_run_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fault_run_test);
    CPPUNIT_TEST(replicaThatStartsAgainBesideAnOrderLosesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against LOST: a replica starts again beside an order, and its entry tells so seconds later. */
    void replicaThatStartsAgainBesideAnOrderLosesNothing()
    {
        CPPUNIT_ASSERT_EQUAL(0,
                             playFaults({"--seed",
                                         "2",
                                         "--length-ms",
                                         "30000",
                                         "--fault",
                                         "primary-cut",
                                         "--fault",
                                         "replica-crash-at-order",
                                         "--listing-delay-ms",
                                         "6000",
                                         "--order-effect-ms",
                                         "3000"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_run_test);
