#include "readindex.h"

#include <algorithm>

namespace crocusdeal
{

void read_index::add(waiter_id id, time_point startedAt, time_point deadline)
{
    m_waiters[id] = {startedAt, deadline};
}

void read_index::cancel(waiter_id id)
{
    m_waiters.erase(id);
}

bool read_index::empty() const
{
    return m_waiters.empty();
}

// An old primary that is cut off together with this instance answers, too, and does not know the writes of its
// successor. Therefore its answer alone is not enough. Times are whole milliseconds, so a query of the same millisecond
// as the start may have been sent before it.
read_index_step read_index::update(const database_group &group, time_point now)
{
    read_index_step step;
    if (m_waiters.empty()) {
        return step;
    }
    const auto primaryId = group.primary();
    const auto *primary = primaryId ? group.find(*primaryId) : nullptr;
    const auto validFrom = primary != nullptr ? std::min(primary->askedAt, group.currentUntil()) : never;
    auto newestStart = never;
    for (auto entry = m_waiters.begin(); entry != m_waiters.end();) {
        const auto &[id, session] = *entry;
        if (primary != nullptr && validFrom > session.startedAt) {
            step.results.push_back({id, primary->status->at});
        } else if (now >= session.deadline) {
            step.results.push_back({id, std::nullopt});
        } else {
            newestStart = std::max(newestStart, session.startedAt);
            ++entry;
            continue;
        }
        entry = m_waiters.erase(entry);
    }
    if (newestStart == never) {
        return step;
    }
    for (const auto &target : group.targets()) {
        const auto *known = group.find(target.id);
        if (known == nullptr || known->askedAt <= newestStart) {
            step.asks.push_back({target.id, newestStart + duration{1}});
        }
    }
    return step;
}

}
