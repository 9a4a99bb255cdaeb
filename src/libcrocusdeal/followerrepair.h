#pragma once

#include "controlaction.h"
#include "databasegroup.h"

#include <map>
#include <string>
#include <vector>

namespace crocusdeal
{

/** The form in which a database names the one it replicates from. */
std::string upstreamName(const target_address &address);

/**
 * Tells databases that stand at a lower term, are fenced, or replicate from another database to follow the primary.
 *
 * Orders are given at the primary's term only, so a late one is refused once a newer term was granted.
 */
class follower_repair
{
public:
    /** @p rank is this instance's among those that repair; a later one waits longer for the earlier ones to act. */
    std::vector<order_target> update(const database_group &group, time_point now, int rank = 0);

private:
    struct attempt {
        time_point nextAt = never;
        duration delay{};
    };

    bool needsRepair(const database_group &group, const target_view &primary, const target_view &target) const;

    std::map<target_id, attempt> m_attempts;
    std::uint64_t m_term = 0;
};

}
