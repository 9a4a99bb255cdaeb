#include "faultplan.h"

#include <algorithm>
#include <random>

namespace crocusdeal
{

namespace
{

constexpr duration firstTrouble{3000};
constexpr duration shortestCalm{9000}; // From one trouble of the primary to the next.
constexpr duration longestCalm{14000};
constexpr duration leadTime{3000}; // Other faults strike as early before, and as late after.
constexpr duration shortestFault{300};
constexpr duration longestFault{6000};
constexpr int mostSideFaults = 3;
constexpr int primaryFaultCount = 5; // The first kinds of fault_kind.

class fault_source
{
public:
    fault_source(std::uint32_t seed, const std::set<fault_kind> &allowed)
        : m_random(seed)
    {
        for (const auto kind : allowed) {
            (static_cast<int>(kind) < primaryFaultCount ? m_primaryKinds : m_sideKinds).push_back(kind);
        }
    }

    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        // std::uniform_int_distribution differs between standard libraries, which would change the plan of a seed.
        return least + static_cast<std::int64_t>(m_random() % static_cast<std::uint32_t>(most - least + 1));
    }

    void add(std::vector<planned_fault> &faults, const std::vector<fault_kind> &kinds, duration at)
    {
        if (kinds.empty()) {
            return;
        }
        planned_fault fault;
        fault.kind = kinds.at(static_cast<std::size_t>(between(0, static_cast<std::int64_t>(kinds.size()) - 1)));
        fault.at = at;
        fault.length = {between(shortestFault.ms, longestFault.ms)};
        fault.choice = static_cast<std::uint32_t>(m_random());
        faults.push_back(fault);
    }

    void addCluster(std::vector<planned_fault> &faults, duration at)
    {
        add(faults, m_primaryKinds, at);
        const auto count = between(1, mostSideFaults);
        for (std::int64_t i = 0; i < count; ++i) {
            add(faults, m_sideKinds, at + duration{between(-leadTime.ms, leadTime.ms)});
        }
    }

private:
    std::mt19937 m_random;
    std::vector<fault_kind> m_primaryKinds;
    std::vector<fault_kind> m_sideKinds;
};

}

std::vector<planned_fault> drawFaults(std::uint32_t seed, duration length, const std::set<fault_kind> &allowed)
{
    fault_source source(seed, allowed);
    std::vector<planned_fault> faults;
    duration at = firstTrouble;
    while (at < length) {
        source.addCluster(faults, at);
        at = at + duration{source.between(shortestCalm.ms, longestCalm.ms)};
    }
    std::stable_sort(faults.begin(), faults.end(), [](const planned_fault &left, const planned_fault &right) {
        return left.at < right.at;
    });
    return faults;
}

std::string describe(const std::vector<planned_fault> &faults)
{
    std::string text;
    for (const auto &fault : faults) {
        text.append(faultKindNames.name(fault.kind))
            .append(" at ")
            .append(std::to_string(fault.at.ms))
            .append(" ms for ")
            .append(std::to_string(fault.length.ms))
            .append(" ms\n");
    }
    return text;
}

}
