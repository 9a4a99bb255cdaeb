#include "connectionallowance.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

constexpr int leastAllowance = 3; // One for the instance itself, one for a busy workspace, one for another.
constexpr int leftForOthers = 2; // By one workspace.
// A fifth of the limit stays free: for connections of instances that have just died, and of those that serve for them.
constexpr int usedFifths = 4;
constexpr int fifths = 5;

}

connection_allowance allowanceByWorkspace(int maxConnections, int serving)
{
    const int share = maxConnections * usedFifths / (fifths * std::max(1, serving));
    return {std::max(leastAllowance, share), true};
}

connection_choice chooseConnection(const connection_allowance &allowance,
                                   const workspace_id &workspace,
                                   const connection_census &census)
{
    if (census.ofWorkspace >= std::max(1, allowance.most - leftForOthers)) {
        return {};
    }
    if (census.all < allowance.most) {
        return {connection_step::Open, 0};
    }
    std::optional<std::size_t> oldest;
    for (std::size_t i = 0; i < census.idle.size(); ++i) {
        const bool isOlder = !oldest || census.idle[i].idleSince < census.idle[*oldest].idleSince;
        oldest = census.idle[i].workspace != workspace && isOlder ? i : oldest;
    }
    return oldest ? connection_choice{connection_step::Replace, *oldest} : connection_choice{};
}

}
