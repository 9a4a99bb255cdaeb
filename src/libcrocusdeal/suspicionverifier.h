#pragma once

#include "clock.h"
#include "identifiers.h"

#include <cstddef>
#include <random>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

/**
 * Chooses the suspects to ask directly before they are declared dead.
 *
 * Their answer carries the refutation, which otherwise does not reach every member in time when datagrams are lost. A
 * sample of the fleet asks first and spreads the answer, so that a large fleet does not ask one suspect all at once.
 */
class suspicion_verifier
{
public:
    /** The suspects to probe now; @p suspects holds since when each is suspected. */
    std::vector<instance_id> due(time_point now,
                                 const std::unordered_map<instance_id, time_point> &suspects,
                                 duration timeout,
                                 std::size_t fleet,
                                 std::mt19937_64 &random);

private:
    enum class stage {
        Sampled, ///< The time of the sample has come.
        Final,
        Repeated, ///< The final probe was sent again, in case it was lost.
    };

    std::unordered_map<instance_id, stage> m_stages; ///< Of each suspect whose time is nearly up.
};

}
