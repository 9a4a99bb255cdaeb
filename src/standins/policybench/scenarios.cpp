#include "scenarios.h"

#include "simulation.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace crocusdeal
{

namespace
{

const std::vector<deployment> deployments{{"envelopes", 2, 5, 1.5, 1}, {"lapidary", 3, 5, 0.5, 1}};
const std::vector<std::pair<policy, const char *>> policies{{policy::Naive, "naive"},
                                                            {policy::Full, "full"},
                                                            {policy::NoPreemption, "no preemption"},
                                                            {policy::FifoOrder, "fifo order"},
                                                            {policy::StaticLimit, "static limit"},
                                                            {policy::LocalReserve, "local reserve"}};

double capacityPerSecond(const deployment &where)
{
    return where.slots * 1000 / meanShortMs();
}

load steady(const std::string &service, double perSecond)
{
    load steady;
    steady.service = service;
    steady.rate = {{0, perSecond}};
    return steady;
}

/** Averages over the seeds, and the figure of the worst seed. */
struct figures {
    std::vector<double> goodput;
    std::vector<double> inTime;
    std::vector<double> p99;
    std::vector<double> p50;
    std::vector<double> preempted; ///< Share of the requests.
    std::vector<double> refused; ///< p50 of the time until a refusal.
};

double mean(const std::vector<double> &values)
{
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

figures measure(scenario what, std::size_t index, unsigned seeds)
{
    figures result;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        what.seed = seed;
        const auto outcomes = simulate(what);
        double work = 0;
        for (const auto &each : outcomes) {
            work += each.workInTimeMs;
        }
        result.goodput.push_back(work / (what.where.slots * (what.endMs - what.measureFromMs)));
        result.inTime.push_back(outcomes[index].inTimeShare());
        result.p99.push_back(outcomes[index].quantile(0.99));
        const auto &measured = outcomes[index];
        result.preempted.push_back(static_cast<double>(measured.preempted) / std::max(1, measured.offered));
        result.refused.push_back(outcomes[index].refusedQuantile(0.5));
        result.p50.push_back(outcomes[index].quantile(0.5));
    }
    return result;
}

void print(const deployment &where, const char *how, const char *what, const figures &f)
{
    std::printf("%-10s %-14s %-26s %8.1f%% %8.1f%% %9.1f %9.1f %10.1f %8.2f%%\n",
                where.name.c_str(),
                how,
                what,
                100 * mean(f.goodput),
                100 * mean(f.inTime),
                mean(f.p50),
                mean(f.p99),
                mean(f.refused),
                100 * mean(f.preempted));
}

scenario overload(const deployment &where)
{
    scenario run;
    run.where = where;
    run.loads = {steady("a", 3 * capacityPerSecond(where))};
    return run;
}

/** The demand rises tenfold within 2 s, stays for 4 s and falls again. */
scenario swing(const deployment &where)
{
    const double low = 0.3 * capacityPerSecond(where);
    scenario run;
    run.where = where;
    run.loads = {steady("a", low)};
    run.loads[0].rate = {{0, low}, {3000, low}, {5000, 10 * low}, {9000, 10 * low}, {11000, low}};
    run.measureFromMs = 3000;
    run.endMs = 14000;
    return run;
}

/** Short work at three tenths of the capacity beside long work or unexpected stragglers. */
scenario stragglers(const deployment &where, double longPerSecond, double share)
{
    scenario run;
    run.where = where;
    run.loads = {steady("a", 0.3 * capacityPerSecond(where))};
    run.loads[0].stragglerShare = share;
    if (longPerSecond > 0) {
        run.loads.push_back(steady("a", longPerSecond));
        run.loads.back().isLong = true;
    }
    // Each instance learns for itself which shape is long, and long statements are rare.
    run.measureFromMs = 60000;
    run.endMs = 100000;
    return run;
}

/** The target needs eight times as long for everything, which is four fifths of its capacity. */
scenario slowTarget(const deployment &where)
{
    scenario run;
    run.where = where;
    run.loads = {steady("a", 0.1 * capacityPerSecond(where))};
    run.loads[0].slowFactor = 8;
    run.measureFromMs = 10000;
    run.endMs = 30000;
    return run;
}

/** One service sends four times the capacity, the other three tenths of it. */
scenario unfair(const deployment &where)
{
    scenario run;
    run.where = where;
    run.loads = {steady("b", 0.3 * capacityPerSecond(where)), steady("a", 4 * capacityPerSecond(where))};
    return run;
}

bool mark(const deployment &where, const char *what, double value, double bound, bool atLeast)
{
    const bool met = atLeast ? value >= bound : value <= bound;
    std::printf("%-10s mark: %-44s %6.2f (%s %.2f) %s\n",
                where.name.c_str(),
                what,
                value,
                atLeast ? ">=" : "<=",
                bound,
                met ? "met" : "MISSED");
    return met;
}

bool runDeployment(const deployment &where, unsigned seeds)
{
    bool met = true;
    for (const auto &[how, name] : policies) {
        const auto run = [&, chosen = how, label = name](scenario what, const char *title, std::size_t index = 0) {
            what.how = chosen;
            auto result = measure(what, index, seeds);
            print(where, label, title, result);
            return result;
        };
        const auto over = run(overload(where), "3 times capacity");
        run(swing(where), "swing of 10 times in 2 s");
        const auto alone = run(stragglers(where, 0, 0), "short work alone");
        const auto beside = run(stragglers(where, 0.3, 0), "short beside long work");
        const auto surprised = run(stragglers(where, 0, 0.002), "short, 0.2% stragglers");
        run(slowTarget(where), "target slower by 8 times");
        run(unfair(where), "modest beside greedy service");
        if (how == policy::Full) {
            met &= mark(where,
                        "goodput at 3 times capacity, worst seed",
                        *std::min_element(over.goodput.begin(), over.goodput.end()),
                        0.9,
                        true);
            met &= mark(where, "p99 of short work beside long / alone", mean(beside.p99) / mean(alone.p99), 2, false);
            met &= mark(
                where, "p99 of short work with stragglers / alone", mean(surprised.p99) / mean(alone.p99), 2, false);
        }
    }
    return met;
}

}

bool runPolicyBench(unsigned seeds)
{
    std::printf("%-10s %-14s %-26s %9s %9s %9s %9s %10s %9s\n",
                "deployment",
                "policy",
                "scenario",
                "goodput",
                "in time",
                "p50 ms",
                "p99 ms",
                "refused ms",
                "preempted");
    bool met = true;
    for (const auto &where : deployments) {
        met &= runDeployment(where, seeds);
    }
    std::printf(
        "seeds 1 to %u; goodput: slot time of answers in time; in time: share of the first service's requests\n",
        seeds);
    return met;
}

}
