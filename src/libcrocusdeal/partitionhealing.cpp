#include "partitionhealing.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

using namespace literals;

constexpr duration aloneInterval = 1_s;
/**
 * Instances that start together would otherwise form groups that do not know of each other for healingInterval, and the
 * ledgers of a target two owners. A new owner settles for 2 s, so the views have to agree before.
 */
constexpr duration startSpan = 5_s;
constexpr duration startInterval{200};
/** Keeps instances that lost contact together from trying in step. */
constexpr std::uint64_t jitterMs = 500;

}

partition_healing::partition_healing(member_description self, std::vector<std::string> seeds, duration interval)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_interval(interval)
{
}

void partition_healing::setListed(std::vector<listed_instance> listed)
{
    m_listed = std::move(listed);
}

void partition_healing::trySoon()
{
    m_next = never;
}

std::vector<partition_healing::candidate> partition_healing::candidates(const member_table &table) const
{
    std::vector<candidate> found;
    const auto isSilent = [&table](const instance_id &id) {
        const auto *member = table.find(id);
        return member == nullptr || member->info.state == member_state::Dead;
    };
    for (const auto &listed : m_listed) {
        const auto &description = listed.description;
        if (!listed.leaving && description.id != m_self.id && isSilent(description.id)) {
            found.push_back({description.id, description.controlAddress});
        }
    }
    // The id behind a seed is known only if a member has that address.
    for (const auto &seed : m_seeds) {
        const auto &records = table.records();
        const auto live = std::any_of(records.begin(), records.end(), [&seed](const auto &entry) {
            const auto &info = entry.second.info;
            return info.isLive() && info.description->controlAddress == seed;
        });
        if (!live && seed != m_self.controlAddress) {
            found.push_back({instance_id(), seed});
        }
    }
    return found;
}

std::optional<partition_healing::candidate> partition_healing::next(time_point now,
                                                                    const member_table &table,
                                                                    std::mt19937_64 &random)
{
    if (now < m_next) {
        return std::nullopt;
    }
    if (m_firstAt == never) {
        m_firstAt = now;
    }
    if (now - m_firstAt < startSpan) {
        m_next = now + startInterval;
    } else {
        const auto interval = table.liveCount() == 0 ? aloneInterval : m_interval;
        m_next = now + interval + duration{static_cast<std::int64_t>(random() % jitterMs)};
    }
    const auto found = candidates(table);
    return found.empty() ? std::nullopt : std::optional(found[random() % found.size()]);
}

}
