#pragma once

#include "clock.h"
#include "identifiers.h"

#include <unordered_map>
#include <vector>

namespace crocusdeal
{

/**
 * Chooses the suspects to ask directly before they are declared dead.
 *
 * Their answer carries the refutation, which otherwise does not reach every member in time when datagrams are lost.
 */
class suspicion_verifier
{
public:
    /** The suspects to probe now; @p suspects holds since when each is suspected. */
    std::vector<instance_id> due(time_point now,
                                 const std::unordered_map<instance_id, time_point> &suspects,
                                 duration timeout);

private:
    std::unordered_map<instance_id, int> m_probes; ///< Sent to each suspect whose time is nearly up.
};

}
