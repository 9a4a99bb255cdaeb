#include "commandline.h"
#include "configurationchange.h"

namespace crocusdeal
{

namespace
{

exit_code run(command_line &line, const argument_list &arguments, bool drained)
{
    addChangeOptions(line);
    if (const auto code = line.parse(arguments, 1, 1)) {
        return *code;
    }
    return withUsage([&] {
        operator_platform platform(line.platform());
        // Only the drained lists change, so the change holds whatever others have published meanwhile.
        const auto planner = planDrain(target_id(line.positional()[0]), drained);
        return runChange(platform, changeOf(line, planner, race_policy::Replan));
    });
}

}

exit_code runDrain(const argument_list &arguments)
{
    command_line line("drain TARGET [OPTIONS]",
                      "Puts a target on the drained list of every service that uses it, so that it gets no new work.\n"
                      "The last target of a service that is not drained cannot be drained.");
    return run(line, arguments, true);
}

exit_code runUndrain(const argument_list &arguments)
{
    command_line line("undrain TARGET [OPTIONS]", "Takes a target off the drained list of every service that uses it.");
    return run(line, arguments, false);
}

}
