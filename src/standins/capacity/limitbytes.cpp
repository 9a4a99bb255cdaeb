#include "limitbytes.h"

#include "limitcodec.h"

#include <ostream>
#include <string>

namespace crocusdeal
{

namespace
{

// Of the size that names and numbers have in a large fleet.
const instance_id holder("instance-1234");
const instance_id owner("instance-2345");
constexpr std::uint64_t ledger = 0x9e3779b97f4a7c15;
constexpr std::uint64_t incarnation = 1796371200000;
constexpr std::uint64_t sequence = 86400;

target_id targetOf(int index)
{
    return target_id("group-1234/database-" + std::to_string(index));
}

/** What a holder sends each second for @p targets of one owner. */
limit_messages regularRequest(int targets)
{
    limit_messages messages;
    for (int i = 0; i < targets; ++i) {
        messages.shareReports.push_back(
            {targetOf(i), holder, incarnation, sequence, ledger, sequence, 11, 3, 9, 8, 10, sequence});
        messages.shapeReports.push_back({targetOf(i), holder, sequence, ledger, sequence, {}});
    }
    return messages;
}

limit_messages regularAnswer(int targets)
{
    limit_messages messages;
    for (int i = 0; i < targets; ++i) {
        messages.shareGrants.push_back(
            {targetOf(i), owner, ledger, holder, incarnation, sequence, sequence, 3, 11, sequence});
        messages.shapeUpdates.push_back({targetOf(i), holder, ledger, sequence, sequence, {}});
    }
    return messages;
}

limit_messages permitRequest()
{
    limit_messages messages;
    messages.permitRequests.push_back(
        {targetOf(0), holder, incarnation, sequence, ledger, sequence, {{ledger, sequence}}, 2, 1});
    return messages;
}

limit_messages permitAnswer()
{
    limit_messages messages;
    messages.permitGrants.push_back(
        {targetOf(0), owner, ledger, holder, incarnation, sequence, {sequence}, duration{2000}});
    return messages;
}

void printRow(std::ostream &out, const std::string &name, const limit_messages &request, const limit_messages &answer)
{
    out << "| " << name << " | " << encodeLimitMessages(request).size() << " | " << encodeLimitMessages(answer).size()
        << " |\n";
}

}

void printLimitBytes(std::ostream &out)
{
    out << "| exchange | request B | answer B |\n|---|---|---|\n";
    for (const int targets : {1, 3, 6, 9}) {
        printRow(out,
                 "shares and shapes, " + std::to_string(targets) + " targets of one owner",
                 regularRequest(targets),
                 regularAnswer(targets));
    }
    printRow(out, "permits, 1 target", permitRequest(), permitAnswer());
}

}
