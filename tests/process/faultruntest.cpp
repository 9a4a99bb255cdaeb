#include "processrunner.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace crocusdeal;

namespace
{

std::filesystem::path newDirectory()
{
    auto directory = std::filesystem::temp_directory_path() / ("faultrun-test-" + std::to_string(freePort()));
    std::filesystem::create_directory(directory);
    return directory;
}

/** Plays drawn faults on instances of the program; gives the exit status: 0 if all rules held. */
int playFaultsOn(const std::string &program, const std::filesystem::path &directory, std::vector<std::string> arguments)
{
    arguments.insert(arguments.end(), {"--program", program, "--directory", directory});
    child_process run(CROCUSDEAL_BINARY_DIR "/src/standins/faultrun", arguments);
    return run.wait(std::chrono::seconds(120)).value_or(-1);
}

int playFaults(const std::vector<std::string> &arguments)
{
    const auto directory = newDirectory();
    const auto status = playFaultsOn(CROCUSDEAL_BINARY_DIR "/platform/crocusdealfront", directory, arguments);
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
    CPPUNIT_TEST(runWhoseDaemonsEndIsNoSuccess);
    CPPUNIT_TEST(replicaRenamedWhileItDrainsEndsNoRun);
    CPPUNIT_TEST(commitThatOnlyAReplicaWithoutEntryHoldsIsNotLost);
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

    /** Guards against a run that has checked nothing and passes for one in which all rules held. */
    void runWhoseDaemonsEndIsNoSuccess()
    {
        const auto directory = newDirectory();
        CPPUNIT_ASSERT_EQUAL(1, playFaultsOn("/bin/true", directory, {"--length-ms", "1000"}));
        std::ifstream record(directory / "record.txt");
        const std::string lines{std::istreambuf_iterator<char>(record), {}};
        CPPUNIT_ASSERT(lines.find("has ended by itself") != std::string::npos);
        std::filesystem::remove_all(directory);
    }

    /** Guards against a run that ends with an error: a replica drains, and starts again under another id meanwhile. */
    void replicaRenamedWhileItDrainsEndsNoRun()
    {
        CPPUNIT_ASSERT_EQUAL(0,
                             playFaults({"--seed",
                                         "663",
                                         "--length-ms",
                                         "5000",
                                         "--fault",
                                         "primary-crash",
                                         "--fault",
                                         "replica-release",
                                         "--fault",
                                         "replica-crash"}));
    }

    /** Guards against LOST: an instance that never listed a replica orders without it, another one trusted it. */
    void commitThatOnlyAReplicaWithoutEntryHoldsIsNotLost()
    {
        CPPUNIT_ASSERT_EQUAL(0, playFaults({"--seed", "1", "--length-ms", "5000", "--fault", "entry-lost"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_run_test);
