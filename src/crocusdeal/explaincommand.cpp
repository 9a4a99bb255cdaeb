#include "adminaddresses.h"
#include "commandline.h"
#include "instanceanswer.h"
#include "instancequery.h"

namespace crocusdeal
{

namespace
{

constexpr duration explainLimit{2000};

exit_code explain(const command_line &line)
{
    const auto service = line.text("service");
    if (!service) {
        throw usage_error{"explain: --service expected"};
    }
    const query_parameters query{
        {"session", line.text("session").value_or("")}, {"service", *service}, {"statement", line.positional()[0]}};
    for (const auto &address : adminAddresses(line, *service)) {
        const auto response = adminGet(address, "/explain", query, explainLimit);
        if (response.status == 0) {
            printNextAsked(address, response);
            continue;
        }
        return printAnswer(response);
    }
    return exit_code::Unavailable;
}

}

exit_code runExplain(const argument_list &arguments)
{
    command_line line("explain STATEMENT --service SERVICE [OPTIONS]",
                      "Shows where an instance would route a statement and why. Nothing is executed. The answer\n"
                      "is JSON.");
    line.addText("service", "service that the statement belongs to");
    line.addText("session", "id of a session at the instance, or a session token");
    addInstanceOptions(line);
    if (const auto code = line.parse(arguments, 1, 1)) {
        return *code;
    }
    return withUsage([&] { return explain(line); });
}

}
