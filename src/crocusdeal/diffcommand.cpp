#include "commandline.h"
#include "configurationchange.h"
#include "servicefiles.h"

#include <iostream>

namespace crocusdeal
{

namespace
{

exit_code showDifference(const command_line &line, const fleet_configuration &published, const change_planner &planner)
{
    const auto plan = planner(published);
    if (!plan.problems.empty()) {
        printProblems(plan.problems, line.flag("json"));
        return exit_code::Refused;
    }
    const auto changes = difference(published, plan.result);
    if (line.flag("json")) {
        std::cout << R"({"version":)" << published.version << R"(,"changes":)" << toJson(changes) << "}\n";
    } else {
        std::cout << "published version: " << published.version << '\n'
                  << (changes.empty() ? "no changes\n" : describe(changes));
    }
    return exit_code::Done;
}

exit_code diff(const command_line &line)
{
    std::vector<service_id> removed;
    for (auto &name : line.texts("remove")) {
        removed.emplace_back(std::move(name));
    }
    auto collected = collectServiceFiles(line.positional());
    if (!collected.problems.empty()) {
        printProblems(collected.problems, line.flag("json"));
        return exit_code::Refused;
    }
    operator_platform platform(line.platform());
    const auto published = platform.readConfiguration(line.milliseconds("timeout-ms"));
    if (published.configuration) {
        const auto planner = planPublish(std::move(collected.files), std::move(removed));
        return showDifference(line, *published.configuration, planner);
    }
    if (!published.problems.empty()) {
        printProblems(published.problems, line.flag("json"));
        return exit_code::Refused;
    }
    printError("the platform does not answer: " + toString(published.failure));
    return exit_code::Unavailable;
}

}

exit_code runDiff(const argument_list &arguments)
{
    command_line line("diff [PATH...] [OPTIONS]", "Shows what a publish of the same arguments would change.");
    line.addTexts("remove", "service to remove; may be given several times");
    line.addPlatform();
    line.addFlag("json", "print the changes as JSON");
    if (const auto code = line.parse(arguments, 0, SIZE_MAX)) {
        return *code;
    }
    return withUsage([&] { return diff(line); });
}

}
