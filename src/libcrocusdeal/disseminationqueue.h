#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>
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
        m_entries.push_back({key, std::move(fact), 0});
        std::rotate(m_entries.begin(), m_entries.end() - 1, m_entries.end());
    }

    void remove(const std::string &key)
    {
        std::erase_if(m_entries, [&key](const entry &e) { return e.key == key; });
    }

    /** Up to @p count facts, each counted as transmitted once; facts at @p limit transmissions are dropped. */
    std::vector<Fact> take(std::size_t count, int limit)
    {
        std::vector<Fact> facts;
        const auto taken = std::min(count, m_entries.size());
        facts.reserve(taken);
        for (std::size_t i = 0; i < taken; ++i) {
            facts.push_back(m_entries[i].fact);
            ++m_entries[i].transmitted;
        }
        std::erase_if(m_entries, [limit](const entry &e) { return e.transmitted >= limit; });
        restoreOrder(std::min(taken, m_entries.size()));
        return facts;
    }

    bool contains(const std::string &key) const
    {
        return std::any_of(m_entries.begin(), m_entries.end(), [&key](const entry &e) { return e.key == key; });
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
    struct entry {
        std::string key;
        Fact fact;
        int transmitted;
    };

    /** Only the first @p changed entries have a new count, so one merge restores the order. */
    void restoreOrder(std::size_t changed)
    {
        const auto middle = m_entries.begin() + static_cast<std::ptrdiff_t>(changed);
        const auto less = [](const entry &a, const entry &b) { return a.transmitted < b.transmitted; };
        std::stable_sort(m_entries.begin(), middle, less);
        std::inplace_merge(m_entries.begin(), middle, m_entries.end(), less);
    }

    std::vector<entry> m_entries;
};

}
