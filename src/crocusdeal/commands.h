#pragma once

#include <string>
#include <vector>

namespace crocusdeal
{

/** The exit codes of every subcommand; documented in its help. */
enum class exit_code {
    Done = 0,
    Refused = 1, ///< Refused, or a problem was found.
    Usage = 2,
    Unavailable = 3, ///< The platform or the instance does not answer, or an outcome is unknown.
    NotInForce = 4, ///< Accepted, but not in force everywhere in time.
};

using argument_list = std::vector<std::string>;

exit_code runCheck(const argument_list &arguments);
exit_code runPublish(const argument_list &arguments);
exit_code runDiff(const argument_list &arguments);
exit_code runStatus(const argument_list &arguments);
exit_code runDrain(const argument_list &arguments);
exit_code runUndrain(const argument_list &arguments);
exit_code runPromote(const argument_list &arguments);
exit_code runExplain(const argument_list &arguments);

}
