#include "commandline.h"
#include "configurationchange.h"
#include "servicefiles.h"

namespace crocusdeal
{

namespace
{

exit_code publish(const command_line &line)
{
    std::vector<service_id> removed;
    for (auto &name : line.texts("remove")) {
        removed.emplace_back(std::move(name));
    }
    if (line.positional().empty() && removed.empty()) {
        throw usage_error{"publish: PATH or --remove expected"};
    }
    auto collected = collectServiceFiles(line.positional());
    // Mistakes between the files are shown in the same run as those within them.
    if (!collected.problems.empty()) {
        for (auto &problem : checkServicesTogether(collected.files)) {
            collected.problems.push_back(std::move(problem));
        }
        printProblems(collected.problems, line.flag("json"));
        return exit_code::Refused;
    }
    const auto policy = line.flag("rebase") ? race_policy::RebaseDisjoint : race_policy::Refuse;
    operator_platform platform(line.platform());
    return runChange(platform, changeOf(line, planPublish(std::move(collected.files), std::move(removed)), policy));
}

}

exit_code runPublish(const argument_list &arguments)
{
    command_line line(
        "publish [PATH...] [OPTIONS]",
        "Checks service files, replaces the published settings of their services, and waits until all\n"
        "instances have them in force. Other services stay as they are. A directory is searched for\n"
        "crocusdeal.json and *.crocusdeal.json. A file without the key \"drained\" keeps the list in force.\n"
        "If others publish at the same time, nothing is done and their changes are shown.");
    line.addTexts("remove", "service to remove; may be given several times");
    line.addFlag("rebase", "publish again after others who changed none of the services named here");
    addChangeOptions(line);
    if (const auto code = line.parse(arguments, 0, SIZE_MAX)) {
        return *code;
    }
    return withUsage([&] { return publish(line); });
}

}
