#include "promotionwithoutstore.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

standalone_verdict judge(const instance_knowledge &other,
                         const std::map<target_id, std::uint64_t> &incarnations,
                         duration suspectedFor)
{
    if (!other.isStoreAway) {
        return standalone_verdict::StoreReachedElsewhere;
    }
    if (other.primaryAnsweredAgo && *other.primaryAnsweredAgo <= suspectedFor) {
        return standalone_verdict::PrimaryReachedElsewhere;
    }
    const bool areAllKnown = std::all_of(other.incarnations.begin(), other.incarnations.end(), [&](const auto &target) {
        const auto known = incarnations.find(target.first);
        return known != incarnations.end() && known->second == target.second;
    });
    return areAllKnown ? standalone_verdict::Allowed : standalone_verdict::TargetUnknown;
}

}

standalone_verdict judgeWithoutStore(const std::vector<std::optional<instance_knowledge>> &answers,
                                     const std::map<target_id, std::uint64_t> &incarnations,
                                     duration suspectedFor)
{
    for (const auto &answer : answers) {
        const auto verdict = answer ? judge(*answer, incarnations, suspectedFor) : standalone_verdict::InstanceSilent;
        if (verdict != standalone_verdict::Allowed) {
            return verdict;
        }
    }
    return standalone_verdict::Allowed;
}

position highestCommit(const std::vector<std::optional<instance_knowledge>> &answers)
{
    position highest;
    for (const auto &answer : answers) {
        highest = std::max(highest, answer ? answer->committed : position{});
    }
    return highest;
}

}
