#include "commands.h"

#include <algorithm>
#include <array>
#include <exception>
#include <iostream>

namespace
{

using namespace crocusdeal;

struct command {
    const char *name;
    const char *summary;
    exit_code (*run)(const argument_list &);
};

constexpr std::array<command, 8> commands{{
    {"check", "check service files", runCheck},
    {"publish", "put service files into force", runPublish},
    {"diff", "show what a publish would change", runDiff},
    {"status", "show the state of all instances", runStatus},
    {"drain", "give a target no new work", runDrain},
    {"undrain", "give a drained target work again", runUndrain},
    {"promote", "change the primary of a group", runPromote},
    {"explain", "show where a statement would be routed", runExplain},
}};

void printUsage(std::ostream &out)
{
    out << "Usage: crocusdeal COMMAND [OPTIONS]\n\nCommands:\n";
    for (const auto &command : commands) {
        constexpr std::size_t column = 10;
        const std::string name = command.name;
        out << "  " << name << std::string(column - name.size(), ' ') << command.summary << '\n';
    }
    out << "\n\"crocusdeal COMMAND --help\" describes a command.\n";
}

exit_code run(const argument_list &all)
{
    if (all.empty() || all[0] == "--help" || all[0] == "-h") {
        printUsage(all.empty() ? std::cerr : std::cout);
        return all.empty() ? exit_code::Usage : exit_code::Done;
    }
    const auto *const found =
        std::find_if(commands.begin(), commands.end(), [&](const command &command) { return all[0] == command.name; });
    if (found == commands.end()) {
        std::cerr << "crocusdeal: unknown command " << all[0] << '\n';
        printUsage(std::cerr);
        return exit_code::Usage;
    }
    return found->run({all.begin() + 1, all.end()});
}

}

int main(int argc, char **argv)
{
    try {
        return static_cast<int>(run({argv + 1, argv + argc}));
    } catch (const std::exception &error) {
        std::cerr << "crocusdeal: " << error.what() << '\n';
        return static_cast<int>(exit_code::Refused);
    }
}
