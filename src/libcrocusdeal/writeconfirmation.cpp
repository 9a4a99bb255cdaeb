#include "writeconfirmation.h"

#include <algorithm>
#include <optional>

namespace crocusdeal
{

namespace
{

bool confirms(const database_group &group, const target_view &target, position at)
{
    const auto &status = *target.status;
    const bool sameTerm = status.term == at.term || !group.policy().checkReplicaTerm;
    return status.role == target_role::Replica && sameTerm && status.at >= at;
}

void askReplicas(const database_group &group, position at, confirmation_step &step)
{
    for (const auto &target : group.targets()) {
        const auto *known = group.find(target.id);
        const bool isPrimary =
            known != nullptr && known->status->role == target_role::Primary && known->status->term == at.term;
        if (!isPrimary && (known == nullptr || !confirms(group, *known, at))) {
            step.waitAsks.push_back({target.id, at});
        }
    }
}

}

write_confirmation::write_confirmation(confirm_mode mode)
    : m_mode(mode)
{
}

void write_confirmation::setMode(confirm_mode mode)
{
    m_mode = mode;
}

void write_confirmation::add(waiter_id id, position at, time_point deadline)
{
    m_waiters[id] = {at, deadline};
}

bool write_confirmation::empty() const
{
    return m_waiters.empty();
}

// A replica that reports the write's term and position holds the write, and from then on grants no newer term without
// it. The primary and these replicas are a majority, so the fencing majority of any later promotion has one of them.
// The reports need not be of the same moment.
bool write_confirmation::isHeld(const database_group &group, position at) const
{
    if (m_mode == confirm_mode::Primary) {
        return true;
    }
    std::size_t holders = 1;
    for (const auto &target : group.targets()) {
        const auto *known = group.find(target.id);
        holders += known != nullptr && confirms(group, *known, at) ? 1 : 0;
    }
    return holders >= group.majority();
}

// With a round trip above the limit every answer would be too old on arrival. An answer to a query sent after the
// write was ready for release is therefore enough, too.
bool write_confirmation::primaryIsCurrent(const database_group &group, waiter &entry, time_point now) const
{
    const auto id = group.primary();
    const auto *primary = id ? group.find(*id) : nullptr;
    if (primary == nullptr) {
        return false;
    }
    const auto oldest = now - group.policy().primaryRecheckAfter;
    if (primary->askedAt >= oldest) {
        return true;
    }
    if (entry.recheckFrom != never && primary->askedAt >= entry.recheckFrom && primary->heardAt >= oldest) {
        return true;
    }
    // After a pause of this instance even the answer to the repeated query is old, and the query is repeated again.
    if (entry.recheckFrom == never || primary->askedAt >= entry.recheckFrom) {
        entry.recheckFrom = now;
    }
    return false;
}

write_confirmation::waiter_state write_confirmation::check(const database_group &group,
                                                           waiter &entry,
                                                           time_point now,
                                                           confirm_result &result) const
{
    if (group.highestTerm() > entry.at.term && group.policy().checkReplicaTerm) {
        result = confirm_result::NewerTerm;
        return waiter_state::Done;
    }
    if (now >= entry.deadline) {
        result = confirm_result::DeadlinePassed;
        return waiter_state::Done;
    }
    if (!isHeld(group, entry.at)) {
        return waiter_state::NeedsReplicas;
    }
    if (group.policy().checkReplicaTerm && !primaryIsCurrent(group, entry, now)) {
        return waiter_state::NeedsPrimary;
    }
    result = confirm_result::Confirmed;
    return waiter_state::Done;
}

// Replicas are asked for the lowest unconfirmed position: the answer comes as soon as the first write can be released,
// and the position in it usually covers the others.
confirmation_step write_confirmation::update(const database_group &group, time_point now)
{
    confirmation_step step;
    if (m_waiters.empty()) {
        return step;
    }
    std::optional<position> lowest;
    std::optional<time_point> recheckFrom;
    for (auto entry = m_waiters.begin(); entry != m_waiters.end();) {
        auto result = confirm_result::Confirmed;
        const auto state = check(group, entry->second, now, result);
        if (state == waiter_state::Done) {
            step.results.push_back({entry->first, result});
            entry = m_waiters.erase(entry);
            continue;
        }
        if (state == waiter_state::NeedsReplicas) {
            lowest = std::min(lowest.value_or(entry->second.at), entry->second.at);
        } else {
            recheckFrom = std::max(recheckFrom.value_or(never), entry->second.recheckFrom);
        }
        ++entry;
    }
    if (lowest) {
        askReplicas(group, *lowest, step);
    }
    if (const auto primary = group.primary(); recheckFrom && primary) {
        step.statusAsks.push_back({*primary, *recheckFrom});
    }
    return step;
}

}
