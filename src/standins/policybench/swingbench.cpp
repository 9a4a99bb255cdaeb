#include "swingbench.h"

#include "swingsimulation.h"

#include <array>
#include <cstdio>
#include <string>

namespace crocusdeal
{

namespace
{

constexpr std::array ways{swing_way::LowestCost,
                          swing_way::TwoChoices,
                          swing_way::Inverse,
                          swing_way::Rendezvous,
                          swing_way::Spread};

void printMean(swing_scenario what, unsigned seeds)
{
    swing_outcome sum;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        what.seed = seed;
        const auto each = simulateSwing(what);
        sum.busiestOverMean += each.busiestOverMean / seeds;
        sum.worstWindow += each.worstWindow / seeds;
        sum.p50Ms += each.p50Ms / seeds;
        sum.p99Ms += each.p99Ms / seeds;
        sum.refusedShare += each.refusedShare / seeds;
    }
    std::printf("| %d | %d | %.0f | %.0f | %s | %.2f | %.2f | %.1f | %.1f | %.2f%% |\n",
                what.targets,
                what.choosers,
                what.delayMs,
                what.slowFactor,
                std::string(swingWayNames.name(what.how)).c_str(),
                sum.busiestOverMean,
                sum.worstWindow,
                sum.p50Ms,
                sum.p99Ms,
                100 * sum.refusedShare);
}

void printWays(swing_scenario what, unsigned seeds)
{
    for (const auto way : ways) {
        what.how = way;
        printMean(what, seeds);
    }
}

}

void runSwingBench(unsigned seeds)
{
    std::printf("| targets | choosers | delay ms | slow | way | busiest over mean | worst window | p50 ms | p99 ms | "
                "refused |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|\n");
    swing_scenario what;
    for (const int choosers : {5, 36, 77, 300}) {
        what.choosers = choosers;
        for (const double delayMs : {0.0, 100.0, 500.0, 2000.0}) {
            what.delayMs = delayMs;
            printWays(what, seeds);
        }
    }
    what.targets = 2;
    what.choosers = 36;
    for (const double delayMs : {0.0, 500.0, 2000.0}) {
        what.delayMs = delayMs;
        printWays(what, seeds);
    }
    what.targets = 5;
    what.delayMs = 500;
    what.load = 0.4;
    what.slowFactor = 4;
    printWays(what, seeds);
}

}
