#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace crocusdeal
{

/** A deployment of section 1.3 of the design page, reduced to one target. */
struct deployment {
    std::string name;
    int slots = 2;
    int instances = 5;
    double latencyMs = 1.5; ///< One way between an instance and the target, and between instances.
    double callerLatencyMs = 1;
};

/** How requests are ordered and limited. */
enum class policy {
    Naive, ///< One FIFO queue in the target, no deadlines, no limit.
    Full, ///< Queue, adaptive limit, permits and preemption of reads.
    NoPreemption, ///< As Full, but a statement that overruns keeps its slot.
    FifoOrder, ///< As Full, but first come, first served with deadlines.
    StaticLimit, ///< As Full, but each instance always runs as many statements as the target has slots.
    LocalReserve, ///< As Full, but each instance keeps a place for short work by itself, without permits.
};

/** Arrivals of one service: the rate is interpolated between points. */
struct load {
    struct point {
        double atMs = 0;
        double perSecond = 0;
    };

    std::string service;
    std::vector<point> rate;
    bool isLong = false; ///< Long statements of one shape, of 0.5 to 1.5 s.
    double slowFactor = 1; ///< Of the running times of short statements in the measured span.
    double stragglerShare = 0; ///< Share of short statements that take as long, without a sign before.
};

/** One run. */
struct scenario {
    deployment where;
    policy how = policy::Full;
    std::vector<load> loads;
    double measureFromMs = 2000;
    double endMs = 10000;
    double deadlineMs = 2000;
    std::uint32_t seed = 1;
};

/** What callers saw of one service's short or long requests that arrived in the measured span. */
struct outcome {
    int offered = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    double workInTimeMs = 0; ///< Slot time of the answers that came in time and within the measured span.
    std::vector<double> latenciesMs; ///< Of all that were answered.

    int preempted = 0;
    std::vector<double> refusedAfterMs; ///< Time until the refusal.

    /** Of the latencies. */
    double quantile(double q) const;
    double refusedQuantile(double q) const;
    double inTimeShare() const;
};

/** Mean slot time of a short request in ms. */
double meanShortMs();

/** Runs @p what; one outcome for each load. */
std::vector<outcome> simulate(const scenario &what);

}
