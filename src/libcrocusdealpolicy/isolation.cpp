#include "isolation.h"

#include <map>

namespace crocusdeal
{

namespace
{

constexpr duration answerUse{250}; // A target that answered just now shows that its data centre is reached.

}

bool areOtherDataCentresSilent(const std::vector<reach_sighting> &targets, const data_centre_id &own, time_point now)
{
    struct data_centre_sighting {
        bool isAnyWithoutAnswer = false;
        bool hasAnswered = false;
    };
    std::map<data_centre_id, data_centre_sighting> others;
    for (const auto &target : targets) {
        if (target.dataCentre == own) {
            continue;
        }
        auto &seen = others[target.dataCentre];
        seen.isAnyWithoutAnswer = seen.isAnyWithoutAnswer || target.isWithoutAnswer;
        seen.hasAnswered = seen.hasAnswered || (target.lastAnswerAt != never && now - target.lastAnswerAt < answerUse);
    }
    for (const auto &[id, seen] : others) {
        if (seen.hasAnswered || !seen.isAnyWithoutAnswer) {
            return false;
        }
    }
    return !others.empty();
}

}
