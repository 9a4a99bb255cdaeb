#include "followerrepair.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

// A database that names its upstream in another way than the configuration would be told again without end.
constexpr duration longestDelay{30000};

}

std::string upstreamName(const target_address &address)
{
    return address.host + ':' + std::to_string(address.port);
}

bool follower_repair::needsRepair(const database_group &group,
                                  const target_view &primary,
                                  const target_view &target) const
{
    const auto &status = *target.status;
    if (target.address.id == primary.address.id) {
        return false;
    }
    if (status.term != group.highestTerm()) {
        return true;
    }
    return status.role == target_role::Fenced
        || (status.role == target_role::Replica && target.upstreamTerm == status.term
            && status.following != upstreamName(primary.address));
}

std::vector<order_target> follower_repair::update(const database_group &group, time_point now, int rank)
{
    std::vector<order_target> orders;
    const auto id = group.primary();
    if (!id) {
        return orders;
    }
    if (m_term != group.highestTerm()) {
        m_term = group.highestTerm();
        m_attempts.clear();
    }
    const auto &primary = *group.find(*id);
    for (const auto &target : group.targets()) {
        const auto *known = group.find(target.id);
        const bool heard = known != nullptr && now - known->heardAt <= group.policy().unheardLimit;
        if (!heard || !needsRepair(group, primary, *known)) {
            continue;
        }
        auto &entry = m_attempts[target.id];
        if (entry.nextAt == never) {
            // The promoter itself gives the first order; repair is for what it missed.
            entry = {now + group.policy().repairDelay * (rank + 1), group.policy().repairDelay};
        } else if (now >= entry.nextAt) {
            orders.push_back({control_order::Follow, target.id, m_term, *id});
            entry.delay = std::min(entry.delay * 2, longestDelay);
            entry.nextAt = now + entry.delay;
        }
    }
    return orders;
}

}
