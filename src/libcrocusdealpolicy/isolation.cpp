#include "isolation.h"

#include <map>

namespace crocusdeal
{

namespace
{

constexpr duration maxAnswerAge{250}; // An answer younger than this shows that its data centre is reachable.

}

bool areOtherDataCentresUnreachable(const std::vector<target_reachability> &targets,
                                    const data_centre_id &own,
                                    time_point now)
{
    struct data_centre_reachability {
        bool hasUnresponsiveTarget = false;
        bool hasAnswered = false;
    };
    std::map<data_centre_id, data_centre_reachability> others;
    for (const auto &target : targets) {
        if (target.dataCentre == own) {
            continue;
        }
        auto &reachability = others[target.dataCentre];
        reachability.hasUnresponsiveTarget = reachability.hasUnresponsiveTarget || target.isUnresponsive;
        reachability.hasAnswered =
            reachability.hasAnswered || (target.lastAnswerAt != never && now - target.lastAnswerAt < maxAnswerAge);
    }
    for (const auto &[id, reachability] : others) {
        if (reachability.hasAnswered || !reachability.hasUnresponsiveTarget) {
            return false;
        }
    }
    return !others.empty();
}

}
