#pragma once

#include <cmath>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocusdeal
{

/** Transmissions of each fact by each member: lambda log n, as in SWIM section 4.1. */
inline int retransmitLimit(std::size_t members)
{
    constexpr double lambda = 4;
    return static_cast<int>(lambda * std::ceil(std::log10(static_cast<double>(members) + 1)));
}

/** Datagrams that tell random members at once of something new. */
inline constexpr int gossipFanOut = 4;
inline constexpr int gossipRounds = 2;

/** The limit with the gossip on top, which would use up the whole of it in a small fleet. */
inline int factTransmissions(std::size_t members)
{
    return retransmitLimit(members) + gossipFanOut * gossipRounds;
}

/**
 * Facts waiting to be piggybacked, the least transmitted first; a newer fact of the same key replaces the older.
 *
 * Source: SWIM (Das, Gupta, Motivala 2002), section 4.1.
 */
template<typename Fact>
class dissemination_queue
{
public:
    void add(const std::string &key, Fact fact)
    {
        remove(key);
        const place first{0, -m_next++};
        m_entries.emplace(first, entry{key, std::move(fact)});
        m_places.emplace(key, first);
    }

    void remove(const std::string &key)
    {
        if (const auto found = m_places.find(key); found != m_places.end()) {
            m_entries.erase(found->second);
            m_places.erase(found);
        }
    }

    /** Up to @p count facts, each counted as transmitted once; facts at @p limit transmissions are dropped. */
    std::vector<Fact> take(std::size_t count, int limit)
    {
        std::vector<Fact> facts;
        std::vector<typename entries::node_type> taken;
        while (taken.size() < count && !m_entries.empty()) {
            taken.push_back(m_entries.extract(m_entries.begin()));
            facts.push_back(taken.back().mapped().fact);
        }
        for (auto &node : taken) {
            const auto &key = node.mapped().key;
            if (++node.key().transmitted >= limit) {
                m_places.erase(key);
                continue;
            }
            m_places.insert_or_assign(key, node.key());
            m_entries.insert(std::move(node));
        }
        return facts;
    }

    bool contains(const std::string &key) const
    {
        return m_places.contains(key);
    }
    bool empty() const
    {
        return m_entries.empty();
    }
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    /** Order of the queue; among facts sent equally often the newest is first. */
    struct place {
        int transmitted;
        std::int64_t age;

        friend auto operator<=>(const place &, const place &) = default;
    };
    struct entry {
        std::string key;
        Fact fact;
    };
    using entries = std::map<place, entry>;

    entries m_entries;
    std::unordered_map<std::string, place> m_places;
    std::int64_t m_next = 0;
};

}
