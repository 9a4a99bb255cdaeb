#include "commandline.h"
#include "configurationchange.h"
#include "servicefiles.h"

#include <iostream>

namespace crocusdeal
{

exit_code runCheck(const argument_list &arguments)
{
    command_line line("check PATH...",
                      "Checks service files alone and together, without the platform. A directory is searched for\n"
                      "crocusdeal.json and *.crocusdeal.json.");
    line.addFlag("json", "print the problems as JSON");
    if (const auto code = line.parse(arguments, 1, SIZE_MAX)) {
        return *code;
    }
    auto collected = collectServiceFiles(line.positional());
    for (auto &problem : checkServicesTogether(collected.files)) {
        collected.problems.push_back(std::move(problem));
    }
    if (!collected.problems.empty()) {
        printProblems(collected.problems, line.flag("json"));
        return exit_code::Refused;
    }
    if (line.flag("json")) {
        std::cout << R"({"outcome":"done","files":)" << collected.files.size() << "}\n";
    } else {
        std::cout << collected.files.size() << " service files are correct\n";
    }
    return exit_code::Done;
}

}
