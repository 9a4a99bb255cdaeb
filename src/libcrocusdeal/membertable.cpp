#include "membertable.h"

#include <xxhash.h>

namespace crocusdeal
{

namespace
{

/** Order of precedence at equal incarnations. Only the member itself says that it leaves, so that overrides death. */
int precedence(member_state state)
{
    switch (state) {
    case member_state::Alive:
        return 0;
    case member_state::Suspect:
        return 1;
    case member_state::Dead:
        return 2;
    case member_state::Leaving:
        return 3;
    }
    return 0;
}

bool overrides(const member_fact &fact, const member_info &known)
{
    if (fact.incarnation != known.incarnation) {
        return fact.incarnation > known.incarnation;
    }
    return precedence(fact.state) > precedence(known.state);
}

}

std::uint32_t member_table::digestOf(const instance_id &id, std::uint32_t incarnation)
{
    return XXH32(id.str().data(), id.str().size(), incarnation);
}

void member_table::count(const record &member, int by)
{
    if (!member.info.isLive()) {
        return;
    }
    m_liveCount += static_cast<std::size_t>(by);
    m_digest ^= digestOf(member.info.id(), member.info.incarnation);
}

void member_table::assign(time_point now, record &member, std::uint32_t incarnation, member_state state)
{
    count(member, -1);
    member.info.incarnation = incarnation;
    if (member.info.state != state) {
        member.since = now;
    }
    member.info.state = state;
    count(member, 1);
    if (state == member_state::Suspect) {
        m_suspects.insert_or_assign(member.info.id(), now);
    } else {
        m_suspects.erase(member.info.id());
    }
}

merge_result member_table::merge(time_point now, const member_fact &fact)
{
    const auto found = m_records.find(fact.about);
    if (found == m_records.end()) {
        if (!fact.description) {
            return merge_result::Unknown;
        }
        record &member = m_records[fact.about];
        member.info.description = fact.description;
        member.info.incarnation = fact.incarnation;
        member.info.state = fact.state;
        member.info.configurationVersion = fact.configurationVersion;
        member.since = now;
        count(member, 1);
        if (fact.state == member_state::Suspect) {
            m_suspects.insert_or_assign(fact.about, now);
        }
        return merge_result::Added;
    }
    record &member = found->second;
    const bool redescribed = fact.description && *fact.description != *member.info.description;
    if (redescribed && fact.incarnation == member.info.incarnation) {
        return merge_result::Conflict;
    }
    if (!overrides(fact, member.info)) {
        return merge_result::Unchanged;
    }
    const bool wasLive = member.info.isLive();
    if (redescribed) {
        member.info.description = fact.description;
    }
    assign(now, member, fact.incarnation, fact.state);
    return redescribed || (!wasLive && member.info.isLive()) ? merge_result::Revived : merge_result::Changed;
}

bool member_table::setState(time_point now, const instance_id &id, member_state state)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.info.state == state) {
        return false;
    }
    assign(now, found->second, found->second.info.incarnation, state);
    return true;
}

void member_table::heardFrom(time_point now, const peer_datagram &datagram)
{
    const auto found = m_records.find(datagram.from);
    if (found == m_records.end()) {
        return;
    }
    found->second.heard = now;
    found->second.info.configurationVersion = datagram.configurationVersion;
    found->second.info.health = datagram.health;
}

void member_table::setListedLeaving(std::unordered_set<instance_id> leaving)
{
    m_listedLeaving = std::move(leaving);
}

std::vector<instance_id> member_table::purge(time_point now, duration retention)
{
    std::vector<instance_id> gone;
    std::erase_if(m_records, [&](const auto &entry) {
        const record &member = entry.second;
        const bool expired = !member.info.isLive() && now - member.since > retention;
        if (expired) {
            gone.push_back(entry.first);
        }
        return expired;
    });
    return gone;
}

void member_table::restartSuspicions(time_point now)
{
    for (auto &[id, since] : m_suspects) {
        since = now;
    }
}

member_table::lacked_members member_table::lackedBy(const std::vector<member_fact> &facts,
                                                    const instance_id &self,
                                                    std::uint32_t selfIncarnation) const
{
    std::unordered_map<instance_id, std::uint32_t> stated;
    for (const auto &fact : facts) {
        stated.emplace(fact.about, fact.incarnation);
    }
    const auto lacks = [&stated](const instance_id &id, std::uint32_t incarnation) {
        const auto found = stated.find(id);
        return found == stated.end() || found->second < incarnation;
    };
    lacked_members lacked;
    lacked.self = lacks(self, selfIncarnation);
    for (const auto &[id, member] : m_records) {
        if (member.info.state == member_state::Alive && lacks(id, member.info.incarnation)) {
            lacked.members.push_back(id);
        }
    }
    return lacked;
}

const member_table::record *member_table::find(const instance_id &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

member_state member_table::effectiveState(const record &member) const
{
    const bool leaving = member.info.isLive() && m_listedLeaving.contains(member.info.id());
    return leaving ? member_state::Leaving : member.info.state;
}

bool member_table::isLive(const record &member) const
{
    return member.info.isLive() && !m_listedLeaving.contains(member.info.id());
}

member_info member_table::effectiveInfo(const record &member) const
{
    member_info info = member.info;
    info.state = effectiveState(member);
    return info;
}

std::optional<member_fact> member_table::fact(const instance_id &id, bool described) const
{
    const auto *member = find(id);
    if (member == nullptr) {
        return std::nullopt;
    }
    member_fact fact;
    fact.about = id;
    fact.incarnation = member->info.incarnation;
    fact.state = member->info.state;
    fact.configurationVersion = member->info.configurationVersion;
    if (described) {
        fact.description = member->info.description;
    }
    return fact;
}

}
