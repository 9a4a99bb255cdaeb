#include "settingsproblem.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace crocusdeal
{

namespace
{

/** Levenshtein distance, by the usual row-wise dynamic programme. */
std::size_t editDistance(const std::string &from, const std::string &to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= from.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= to.size(); ++j) {
            const auto substituted = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

}

std::string toString(const settings_problem &problem)
{
    return problem.file + ": " + (problem.key.empty() ? "" : problem.key + ": ") + problem.message;
}

std::string nearestName(const std::string &name, const std::vector<std::string> &known)
{
    // Above a third of the name's length a suggestion is more often wrong than right.
    auto best = name.size() / 3 + 1;
    std::string nearest;
    for (const auto &candidate : known) {
        const auto distance = editDistance(name, candidate);
        if (distance <= best && (nearest.empty() || distance < best)) {
            best = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

}
