#pragma once

#include "reportedload.h"

#include <cstddef>
#include <map>
#include <vector>

namespace crocusdeal
{

/** What an instance has seen of a target itself. */
struct own_load {
    double answerMs = 0; ///< Smoothed.
    time_point answeredAt = never; ///< The last answer in it.
};

/** The load of a target, from what is known here and from hints. */
struct load_estimate {
    double answerMs = 0;
    duration age; ///< Of the newest part.
    int othersInFlight = 0; ///< As hinted; those who did not report are missing.
    double fullness = 0; ///< From 0 to 1: how surely it refuses work at the moment, as others say.
    int reporters = 0;
};

/** Hints of other instances on the targets of one service. Their weight falls with their age. */
class load_estimates
{
public:
    /** Keeps the hint, unless enough are kept. False if it is too old to tell anything, or makes no sense. */
    bool record(const instance_id &from, const reported_load &load, time_point now);
    /** Hints of another incarnation of the target do not count. */
    load_estimate estimate(const target_id &target,
                           std::uint64_t incarnation,
                           const own_load &own,
                           time_point now) const;
    /** Drops hints that are too old, so that those of targets and instances which are gone end. */
    void forgetOld(time_point now);
    std::size_t size() const;

private:
    struct hint {
        reported_load load;
        time_point at; ///< Of what it tells, by the clock of this process.
    };

    std::map<target_id, std::map<instance_id, hint>> m_hints;
};

/**
 * What a figure of age @p age counts for beside a target that answers in @p usualMs: one that was slow when it was last
 * asked is tried again after a while, as it would else never be known to have recovered.
 */
double fadedAnswerMs(double answerMs, duration age, double usualMs);

/** At most @p count of them: those that should be avoided first, then those with the most work. */
std::vector<reported_load> mostTelling(std::vector<reported_load> loads, std::size_t count);

}
