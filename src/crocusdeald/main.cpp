#include "daemonsettings.h"
#include "instance.h"
#include "iothreads.h"
#include "partlog.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace
{

namespace po = boost::program_options;
using namespace crocusdeal;

constexpr int exitDone = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

struct command_line {
    std::string settingsFile;
    bool checkOnly = false;
    bool showHelp = false;
};

po::options_description describeOptions(command_line &line)
{
    po::options_description options("crocusdeald --settings FILE [options]");
    options.add_options() //
        ("help,h", po::bool_switch(&line.showHelp), "show this help") //
        ("settings,s", po::value(&line.settingsFile), "settings file, JSON with comments") //
        ("check-settings", po::bool_switch(&line.checkOnly), "check the settings file and exit");
    return options;
}

std::optional<daemon_settings> readSettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        std::cerr << fileName << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto result = parseDaemonSettings(text.str(), fileName);
    for (const auto &problem : result.problems) {
        std::cerr << toString(problem) << '\n';
    }
    return result.problems.empty() ? std::move(result.value) : std::nullopt;
}

int run(const daemon_settings &settings)
{
    startLogging(settings.logLevel);
    const part_log log("admin");
    const int workers =
        settings.workers > 0 ? settings.workers : std::max(1, static_cast<int>(std::thread::hardware_concurrency()));

    asio::io_context io(workers);
    const auto node = std::make_shared<instance>(io, settings);
    if (const auto problem = node->start()) {
        log.write(log_level::Error, *problem);
        stopLogging();
        return exitFailed;
    }
    log.write(log_level::Info,
              "instance " + settings.instance.str() + " serves callers on " + toString(settings.callerAddress));

    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](std::error_code error, int) {
        if (error) {
            return;
        }
        log.write(log_level::Info, "shutting down");
        node->shutdown([&io] { io.stop(); });
    });

    runOnThreads(io, workers);
    log.write(log_level::Info, "shut down");
    stopLogging();
    return exitDone;
}

}

int main(int argc, char **argv)
{
    command_line line;
    const auto options = describeOptions(line);
    try {
        po::variables_map values;
        // Without the empty description, arguments that belong to no option would be ignored.
        po::store(po::command_line_parser(argc, argv).options(options).positional({}).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << "crocusdeald: " << error.what() << '\n' << options;
        return exitUsage;
    }
    if (line.showHelp) {
        std::cout << options;
        return exitDone;
    }
    if (line.settingsFile.empty()) {
        std::cerr << "crocusdeald: --settings is required\n" << options;
        return exitUsage;
    }
    const auto settings = readSettings(line.settingsFile);
    if (!settings) {
        return exitFailed;
    }
    return line.checkOnly ? exitDone : run(*settings);
}
