#pragma once

#include "clock.h"

#include <array>
#include <cstddef>
#include <optional>

namespace crocusdeal
{

/** What is known of a target's capacity. */
struct concurrency_limit_settings {
    std::optional<int> slots; ///< Of the target, as configured.
    int instances = 1; ///< That send work to the target.
};

/**
 * Adaptive limit on the statements that this instance runs at once on one target.
 *
 * The signal is the ratio of observed running times to the shape's baseline, as in TCP Vegas (Brakmo and Peterson 1995)
 * and the gradient limits of Netflix's concurrency-limits (2018): a ratio near 1 means that no statement waits in the
 * target, a ratio of 2 that it waits as long as it runs. The limit rises by one and falls by a quarter (AIMD, Chiu and
 * Jain 1989). It starts at the instance's share of the slots and one more, which covers the time on the wire; below
 * that, it falls only if the target is slower than the shares of all instances explain.
 */
class concurrency_limit
{
public:
    explicit concurrency_limit(concurrency_limit_settings settings = {});

    /** The limit now in force: from 1 to slots + 1. */
    int limit() const
    {
        return m_limit;
    }

    /**
     * Takes in a completed statement that took @p ran and had the baseline @p baselineMs (0: not known, ignored).
     * @p running is the number of statements that ran when it ended, itself included.
     */
    void onFinished(duration ran, double baselineMs, int running, time_point now);

    /** The target refused a connection or a statement for lack of capacity (53300). */
    void onRefused(time_point now);

    /** The configuration or the number of instances changed; the limit is kept within the new bounds. */
    void setCapacity(concurrency_limit_settings settings);

private:
    static constexpr std::size_t windowSize = 16;

    int upperBound() const;
    int share() const;
    double ratioAtShare() const;
    void decide(time_point now);
    void decrease(time_point now);

    concurrency_limit_settings m_settings;
    int m_limit = 1;
    std::array<double, windowSize> m_ratios{};
    std::size_t m_count = 0;
    bool m_limitReached = false;
    time_point m_decreasedAt = never;
};

}
