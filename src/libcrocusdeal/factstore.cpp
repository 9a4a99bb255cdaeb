#include "factstore.h"

#include <xxhash.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace crocusdeal
{

std::uint32_t groupHash(const group_id &group)
{
    return XXH32(group.str().data(), group.str().size(), 0);
}

bool fact_store::take(const timed_fact &fact, bool own)
{
    const auto &group = fact.fact.group;
    if (!m_groups.contains(group)) {
        m_byHash[groupHash(group)].push_back(group);
    }
    group_facts &facts = m_groups[group];
    const auto [place, added] = facts.targets.try_emplace(fact.fact.target);
    known_fact &known = place->second;
    const auto &old = known.fact;
    const auto term = fact.fact.status.term;
    const bool newer =
        added || term > old.fact.status.term || (term == old.fact.status.term && fact.notBefore > old.notBefore);
    if (!newer) {
        return false;
    }
    known = {fact, own};
    if (fact.fact.status.role == target_role::Primary && term > facts.primaryTerm) {
        facts.primaryTerm = term;
        auto news = fact.fact;
        news.age.reset();
        m_news.add(group.str(), std::move(news));
        m_freshNews = true;
    }
    return true;
}

void fact_store::observe(time_point now, const database_fact &fact)
{
    take({fact, fact.age ? now - *fact.age : never}, true);
}

std::optional<timed_fact> fact_store::receive(const database_fact &fact, std::optional<time_point> probeSentAt)
{
    timed_fact timed{fact, never};
    if (probeSentAt && fact.age) {
        timed.notBefore = *probeSentAt - *fact.age;
    }
    if (!take(timed, false)) {
        return std::nullopt;
    }
    return timed;
}

std::vector<database_fact> fact_store::answer(time_point now,
                                              const std::vector<std::uint32_t> &wanted,
                                              std::size_t count) const
{
    std::vector<database_fact> facts;
    for (const auto hash : wanted) {
        const auto groups = m_byHash.find(hash);
        if (groups == m_byHash.end()) {
            continue;
        }
        for (const auto &group : groups->second) {
            for (const auto &[id, known] : m_groups.at(group).targets) {
                if (known.own && known.fact.notBefore != never) {
                    facts.push_back(known.fact.fact);
                    facts.back().age = now - known.fact.notBefore;
                }
            }
        }
    }
    std::stable_sort(facts.begin(), facts.end(), [](const auto &a, const auto &b) { return *a.age < *b.age; });
    if (facts.size() > count) {
        facts.resize(count);
    }
    return facts;
}

std::vector<database_fact> fact_store::takeNews(std::size_t count, int limit)
{
    return m_news.take(count, limit);
}

bool fact_store::takeFreshNews()
{
    return std::exchange(m_freshNews, false);
}

std::optional<timed_fact> fact_store::find(const group_id &group, const target_id &target) const
{
    const auto facts = m_groups.find(group);
    if (facts == m_groups.end()) {
        return std::nullopt;
    }
    const auto known = facts->second.targets.find(target);
    if (known == facts->second.targets.end()) {
        return std::nullopt;
    }
    return known->second.fact;
}

void fact_store::keepOnly(const std::vector<group_id> &groups)
{
    const std::unordered_set<group_id> kept(groups.begin(), groups.end());
    std::erase_if(m_groups, [&kept](const auto &entry) { return !kept.contains(entry.first); });
    for (auto &[hash, named] : m_byHash) {
        std::erase_if(named, [&kept](const auto &group) { return !kept.contains(group); });
    }
    std::erase_if(m_byHash, [](const auto &entry) { return entry.second.empty(); });
}

std::size_t fact_store::size() const
{
    std::size_t count = 0;
    for (const auto &[group, facts] : m_groups) {
        count += facts.targets.size();
    }
    return count;
}

}
