#include "consistencycheck.h"
#include "forwarder.h"
#include "loadoptions.h"
#include "loadworker.h"
#include "report.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <string_view>
#include <thread>
#include <vector>

using namespace crocusdeal;

namespace
{

constexpr int findingsStatus = 2;

/** Time for the sessions to connect before the first arrival. */
constexpr auto connectTime = std::chrono::milliseconds(500);

std::int64_t newRunId()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

load_report runLoad(const load_options &options)
{
    const auto runId = newRunId();
    std::vector<std::unique_ptr<load_worker>> workers(static_cast<std::size_t>(options.threads));
    for (int i = 0; i < options.threads; ++i) {
        workers[static_cast<std::size_t>(i)] = std::make_unique<load_worker>(options, i, runId);
    }
    createCounters(options, runId, workers);
    const auto start = load_worker::clock::now() + connectTime;
    std::vector<std::thread> threads;
    threads.reserve(workers.size());
    for (auto &worker : workers) {
        threads.emplace_back([&worker, start] { worker->run(start); });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    load_report report;
    report.durationS = options.durationS;
    for (const auto &worker : workers) {
        report.measurements.merge(worker->measurements());
    }
    report.gap = longestGap(report.measurements.writeTimesS, options.durationS);
    if (options.check) {
        report.check = checkWrites(options, runId, workers);
    }
    return report;
}

int runCommand(int argc, char **argv)
{
    if (argc == 4 && argv[1] == std::string_view("forward")) {
        runForwarder(argv[2], argv[3]);
        return 0;
    }
    load_options options;
    if (!readLoadOptions(argc, argv, options)) {
        return 0;
    }
    if (options.setup) {
        createTables(options);
    }
    const auto report = runLoad(options);
    printReport(std::cout, report);
    if (!options.jsonFile.empty()) {
        writeJsonReport(options.jsonFile, report);
    }
    if (!options.svgFile.empty()) {
        writeSvgReport(options.svgFile, report);
    }
    if (report.check.hasFindings() || report.measurements.staleOwnReads > 0) {
        return findingsStatus;
    }
    return options.check && !report.check.done ? 1 : 0;
}

}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return runCommand(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "loadtool: " << error.what() << '\n';
        return 1;
    }
}
