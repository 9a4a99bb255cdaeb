#include "configurationchange.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace crocusdeal
{

std::string describe(const std::vector<service_change> &changes)
{
    std::string text;
    for (const auto &change : changes) {
        text.append(changeKindNames.name(change.kind)).append(" ").append(change.service.str()).append("\n");
        for (const auto &detail : change.details) {
            text.append("  ").append(detail).append("\n");
        }
    }
    return text;
}

std::string toJson(const std::vector<service_change> &changes)
{
    auto list = nlohmann::json::array();
    for (const auto &change : changes) {
        list.push_back({{"service", change.service.str()},
                        {"kind", std::string(changeKindNames.name(change.kind))},
                        {"details", change.details}});
    }
    return list.dump();
}

std::string toJson(const std::vector<settings_problem> &problems)
{
    auto list = nlohmann::json::array();
    for (const auto &problem : problems) {
        list.push_back({{"file", problem.file}, {"key", problem.key}, {"message", problem.message}});
    }
    return list.dump();
}

void printProblems(const std::vector<settings_problem> &problems, bool asJson)
{
    if (asJson) {
        std::cout << R"({"outcome":"problems","problems":)" << toJson(problems) << "}\n";
        return;
    }
    for (const auto &problem : problems) {
        std::cerr << toString(problem) << '\n';
    }
}

}
