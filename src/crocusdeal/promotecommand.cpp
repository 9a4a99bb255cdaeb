#include "adminaddresses.h"
#include "commandline.h"
#include "instanceanswer.h"
#include "instancequery.h"

namespace crocusdeal
{

namespace
{

/** Above the bound of a promotion at the scale goal, 15 s. */
constexpr duration promotionLimit{20'000};

exit_code promote(const command_line &line)
{
    const auto &positional = line.positional();
    query_parameters query{{"group", positional[0]}};
    if (positional.size() > 1) {
        query.emplace_back("target", positional[1]);
    }
    for (const auto &address : adminAddresses(line, positional[0])) {
        const auto response = adminPost(address, "/promote", query, promotionLimit);
        if (!response.isSent) {
            printNextAsked(address, response);
            continue;
        }
        if (response.status == 0) {
            printError(toString(address) + ": " + response.failure
                       + "; the promotion may be under way, \"crocusdeal status\" shows the terms");
            return exit_code::Unavailable;
        }
        return printAnswer(response);
    }
    return exit_code::Unavailable;
}

}

exit_code runPromote(const argument_list &arguments)
{
    command_line line("promote GROUP [TARGET] [OPTIONS]",
                      "Changes the primary of a group, to TARGET if one is given, through the first instance that can\n"
                      "be reached. The platform is not needed with --admin. The answer is JSON.");
    addInstanceOptions(line);
    if (const auto code = line.parse(arguments, 1, 2)) {
        return *code;
    }
    return withUsage([&] { return promote(line); });
}

}
