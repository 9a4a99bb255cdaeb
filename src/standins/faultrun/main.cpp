#include "faultplan.h"
#include "faultworld.h"

#include <boost/program_options.hpp>

#include <filesystem>
#include <iostream>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

using namespace crocusdeal;

namespace
{

constexpr int findingsStatus = 2;
constexpr int errorStatus = 1;

struct run_options {
    fault_options world;
    duration length{60000};
    std::set<fault_kind> kinds;
    bool isHelpWanted = false;
};

std::set<fault_kind> kindsOf(const std::vector<std::string> &names)
{
    std::set<fault_kind> kinds;
    for (const auto &name : names) {
        const auto kind = faultKindNames.value(name);
        if (!kind) {
            throw std::runtime_error("unknown fault \"" + name + "\"");
        }
        kinds.insert(*kind);
    }
    for (int i = 0; names.empty() && i < faultKindCount; ++i) {
        kinds.insert(static_cast<fault_kind>(i));
    }
    return kinds;
}

run_options readOptions(int argc, char **argv)
{
    namespace po = boost::program_options;
    run_options options;
    std::vector<std::string> faults;
    po::options_description described("faultrun: real instances before stand-ins, under drawn faults");
    const auto milliseconds = [](duration &value) { return po::value(&value.ms)->default_value(value.ms); };
    described.add_options()("help", "this text");
    described.add_options()("program", po::value(&options.world.program), "the daemon, crocusdealfront");
    described.add_options()(
        "directory", po::value(&options.world.directory), "for the record and the logs; must exist");
    described.add_options()("seed", po::value(&options.world.seed)->default_value(1), "draws the faults");
    described.add_options()("instances", po::value(&options.world.instances)->default_value(3), "2 to 16");
    described.add_options()("length-ms", milliseconds(options.length), "of the load");
    described.add_options()("fault", po::value(&faults), "a kind that may be drawn, may be repeated; all without it");
    described.add_options()("writer-pause-ms", milliseconds(options.world.writerPause), "at most, between two writes");
    described.add_options()("listing-delay-ms", milliseconds(options.world.listingDelay), "at most, of a new target");
    described.add_options()("order-delay-ms", milliseconds(options.world.orderDelay), "at most, of a late call");
    described.add_options()("order-effect-ms", milliseconds(options.world.orderEffect), "of an accepted call");
    described.add_options()("slow-order-effect-ms", milliseconds(options.world.slowOrderEffect), "of slow-order");
    po::variables_map given;
    po::store(po::parse_command_line(argc, argv, described), given);
    po::notify(given);
    options.isHelpWanted = given.contains("help");
    if (options.isHelpWanted) {
        std::cout << described;
        return options;
    }
    options.kinds = kindsOf(faults);
    if (!std::filesystem::is_regular_file(options.world.program)) {
        throw std::runtime_error("--program: no such file: \"" + options.world.program + "\"");
    }
    if (!std::filesystem::is_directory(options.world.directory)) {
        throw std::runtime_error("--directory: no such directory: \"" + options.world.directory + "\"");
    }
    constexpr std::size_t mostInstances = 16;
    if (options.world.instances < 2 || options.world.instances > mostInstances) {
        throw std::runtime_error("--instances must be 2 to 16");
    }
    constexpr duration shortestDelay{1001}; // The shortest delay of a late call is one second.
    if (options.world.orderDelay < shortestDelay) {
        throw std::runtime_error("--order-delay-ms must be over 1000");
    }
    return options;
}

int play(const run_options &options)
{
    const auto faults = drawFaults(options.world.seed, options.length, options.kinds);
    std::cout << describe(faults);
    fault_world world(options.world);
    world.run(faults, options.length);
    std::cout << "seed " << options.world.seed << ": acknowledged " << world.check().acknowledged() << ", promotions "
              << world.promotions() << ", findings " << world.check().findings() << '\n';
    if (world.check().findings() > 0) {
        return findingsStatus;
    }
    if (world.check().acknowledged() == 0) {
        throw std::runtime_error("nothing was acknowledged, the run has checked nothing");
    }
    return 0;
}

}

/** Exits with 0 if all rules held, 2 if one was broken, 1 if the run could not be made or has checked nothing. */
int main(int argc, char **argv)
{
    try {
        const auto options = readOptions(argc, argv);
        return options.isHelpWanted ? 0 : play(options);
    } catch (const std::exception &error) {
        std::cerr << "faultrun: " << error.what() << '\n';
        return errorStatus;
    }
}
