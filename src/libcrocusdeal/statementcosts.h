#pragma once

#include "clock.h"
#include "sharedshapes.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace crocusdeal
{

/** Settings of the running time table. */
struct statement_costs_settings {
    duration longStatement{200}; ///< `long_statement_ms` of the service.
    duration prior{10}; ///< Expected time of an unknown shape before any shape is known.
    std::size_t maxShapes = 8192;
};

/** What is expected of one execution of a statement. */
struct cost_estimate {
    duration expected{1}; ///< At least 1 ms.
    duration high{1}; ///< Few executions take longer: expected + 2 mean deviations.
    bool isLong = false; ///< Needs a permit.
    bool isKnown = false; ///< False: the estimate is the prior.
};

/**
 * Learns running times by statement fingerprint. The least recently used shapes leave a full table.
 *
 * Mean and mean deviation are decayed averages with the gains of RFC 6298 (Jacobson 1988). The baseline is a decayed
 * lower quartile, found by stochastic approximation (Robbins and Monro 1951): the time without contention.
 */
class statement_costs
{
public:
    explicit statement_costs(statement_costs_settings settings = {});

    /** What to expect of a statement that has not started. */
    cost_estimate estimate(std::uint64_t fingerprint) const;

    /** What to expect of a running statement: once it ran longer than its shape's high, it is expected to take twice
     * the time that it has taken so far, and counts as long from half of `long_statement_ms` on. */
    cost_estimate estimateRunning(std::uint64_t fingerprint, duration ranFor) const;

    /** Whether the expected time is above `long_statement_ms`. Returns to short only below three quarters of it. */
    bool isLong(std::uint64_t fingerprint) const;

    /** The running time without contention in ms; 0 if the shape is not known. */
    double baseline(std::uint64_t fingerprint) const;

    /** Takes in a completed execution. Ignores fingerprint 0, which stands for texts with a syntax error. */
    void record(std::uint64_t fingerprint, duration ran, time_point now);

    /** Takes in an execution that was aborted after @p ran: its full time is only known to be above. */
    void recordAborted(std::uint64_t fingerprint, duration ran, time_point now);

    /** Takes in that an execution still runs after @p ranFor. Above `long_statement_ms` a shape without enough
     * executions counts as long until recordEnded(), so that no more are started as short before the first has ended.
     */
    void recordRunning(std::uint64_t fingerprint, duration ranFor);

    /** An execution has ended in any way; only record() tells a running time. */
    void recordEnded(std::uint64_t fingerprint);

    /** Takes over what another instance measured, until enough executions of its own say otherwise. A shape that is
     * short by enough own executions is listed by measured() then, to correct the other one. */
    void adopt(const shared_shape &learnt, time_point now);

    /** What the others should know: the shapes whose own executions are long, and corrections of the last 30 s. */
    std::vector<shared_shape> measured(time_point now);

    std::size_t size() const
    {
        return m_shapes.size();
    }

private:
    struct shape {
        double mean = 0;
        double deviation = 0;
        double baseline = 0;
        time_point baselineAt;
        int samples = 0;
        bool isLong = false;
        double adopted = 0; ///< Measured by another instance in ms; 0 if not known.
        double runningFor = 0; ///< Time so far of an execution that turned out to be long, in ms.
        std::list<std::uint64_t>::iterator recent;
    };

    cost_estimate estimateOf(const shape &known) const;
    shape &shapeOf(std::uint64_t fingerprint);
    bool isTrusted(std::uint64_t fingerprint) const;
    void learn(std::uint64_t fingerprint, double ran, time_point now);
    static void learnBaseline(shape &known, double ran, time_point now);

    statement_costs_settings m_settings;
    std::unordered_map<std::uint64_t, shape> m_shapes;
    std::list<std::uint64_t> m_recent; ///< Most recently used first.
    std::unordered_set<std::uint64_t> m_measuredLong;
    std::unordered_map<std::uint64_t, time_point> m_corrections; ///< Shapes that others took for long, and when.
    double m_prior; ///< Decayed mean of the first executions of new shapes.
};

}
