#pragma once

#include <algorithm>
#include <cstdint>

namespace crocusdeal
{

/**
 * Score of the local instance's own ability to take part in time; 0 is healthy.
 *
 * An instance that is slow or poorly connected sees healthy peers as silent. It waits longer, in proportion to the
 * score, before it accuses others. Source: Lifeguard (Dadgar, Phillips, Currey 2018), local health multiplier.
 */
class local_health
{
public:
    void probeAnswered()
    {
        change(-1);
    }
    /** @p missing counts the relays that sent neither an answer nor a Nack. */
    void probeFailed(int missing)
    {
        change(missing);
    }
    void refuted()
    {
        change(1);
    }
    void paused()
    {
        change(maxScore);
    }

    int score() const
    {
        return m_score;
    }
    int multiplier() const
    {
        return m_score + 1;
    }

private:
    static constexpr int maxScore = 7;

    void change(int by)
    {
        m_score = std::clamp(m_score + by, 0, maxScore);
    }

    int m_score = 0;
};

}
