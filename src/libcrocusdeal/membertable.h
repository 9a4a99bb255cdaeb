#pragma once

#include "clock.h"
#include "memberinfo.h"
#include "peerdatagram.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace crocusdeal
{

/** Outcome of merging a fact into the table. */
enum class merge_result {
    Unchanged,
    Changed,
    Revived, ///< Changed from dead or leaving to live, or in its description.
    Added, ///< The member was not known before.
    Unknown, ///< The fact is about a member without a known description.
    Conflict, ///< Equal incarnation but another description: the member must state a higher incarnation.
};

/** Whether the table changed, so that the fact is worth passing on. */
constexpr bool isNews(merge_result result)
{
    return result == merge_result::Changed || result == merge_result::Revived || result == merge_result::Added;
}

/**
 * The other members of the fleet, with the precedence rules of SWIM section 4.2.
 *
 * A higher incarnation wins; at the same incarnation the order is alive, suspect, dead, leaving. A member listed by the
 * platform as leaving counts as leaving without changing what is told to others.
 */
class member_table
{
public:
    struct record {
        member_info info;
        time_point since = never; ///< When the state last changed.
        time_point heard = never; ///< When the member last answered this instance.
    };

    merge_result merge(time_point now, const member_fact &fact);
    /** Moves @p id to @p state at its present incarnation. False if that is no change. */
    bool setState(time_point now, const instance_id &id, member_state state);
    /** Records what a datagram's header says of its sender. */
    void heardFrom(time_point now, const peer_datagram &datagram);
    /** Replaces the set of members that the platform lists as leaving. */
    void setListedLeaving(std::unordered_set<instance_id> leaving);
    /** Forgets dead and leaving members whose state is older than @p retention. */
    std::vector<instance_id> purge(time_point now, duration retention);
    /** Counts all suspicions from @p now, because nothing could be heard during a pause. */
    void restartSuspicions(time_point now);

    struct lacked_members {
        bool self = false;
        std::vector<instance_id> members;
    };

    /** The live members, and whether @p self, that @p facts lack or hold at a lower incarnation. */
    lacked_members lackedBy(const std::vector<member_fact> &facts,
                            const instance_id &self,
                            std::uint32_t selfIncarnation) const;

    const record *find(const instance_id &id) const;
    /** The state with the platform's list applied. */
    member_state effectiveState(const record &member) const;
    bool isLive(const record &member) const;
    member_info effectiveInfo(const record &member) const;
    std::optional<member_fact> fact(const instance_id &id, bool described) const;

    const std::unordered_map<instance_id, record> &records() const
    {
        return m_records;
    }
    /** Members that are alive or suspect, without the platform's list applied. */
    std::size_t liveCount() const
    {
        return m_liveCount;
    }
    const std::unordered_map<instance_id, time_point> &suspects() const
    {
        return m_suspects;
    }
    /** Equal for tables with the same live members at the same incarnations. */
    std::uint32_t digest() const
    {
        return m_digest;
    }

    /** Contribution of one live member to a digest. */
    static std::uint32_t digestOf(const instance_id &id, std::uint32_t incarnation);

private:
    void assign(time_point now, record &member, std::uint32_t incarnation, member_state state);
    void count(const record &member, int by);

    std::unordered_map<instance_id, record> m_records;
    std::unordered_map<instance_id, time_point> m_suspects; ///< Since when.
    std::unordered_set<instance_id> m_listedLeaving;
    std::size_t m_liveCount = 0;
    std::uint32_t m_digest = 0;
};

}
