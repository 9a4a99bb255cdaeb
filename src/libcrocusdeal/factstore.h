#pragma once

#include "clock.h"
#include "databasefact.h"
#include "disseminationqueue.h"
#include "identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

/** A fact with the earliest time at which it can have been true on the local clock. */
struct timed_fact {
    database_fact fact;
    time_point notBefore = never; ///< `never` if the age has no upper bound.
};

/** The short form of a group's name in probes. */
std::uint32_t groupHash(const group_id &group);

/**
 * Facts about databases known to this instance (design section 5.9).
 *
 * Routine facts (positions, connections) go only to instances that ask for the group, on the ack of their probe. A new
 * primary goes to every instance on all datagrams, without an age.
 */
class fact_store
{
public:
    /** Takes an own observation with its age. */
    void observe(time_point now, const database_fact &fact);
    /** Takes a peer's fact; @p probeSentAt is when the probe was sent whose ack carried it. Returns it if it is news.
     */
    std::optional<timed_fact> receive(const database_fact &fact, std::optional<time_point> probeSentAt);

    /** Own observations of the groups in @p wanted, the freshest first. */
    std::vector<database_fact> answer(time_point now,
                                      const std::vector<std::uint32_t> &wanted,
                                      std::size_t count) const;
    /** Changes of primary to piggyback; each is sent @p limit times at most. */
    std::vector<database_fact> takeNews(std::size_t count, int limit);
    /** Whether a change of primary was learnt since the last call. */
    bool takeFreshNews();

    /** The last observation of @p target, own or of peers. */
    std::optional<timed_fact> find(const group_id &group, const target_id &target) const;
    /** Forgets groups that are no longer configured. */
    void keepOnly(const std::vector<group_id> &groups);
    std::size_t size() const;

private:
    struct known_fact {
        timed_fact fact;
        bool own = false;
    };
    struct group_facts {
        std::map<target_id, known_fact> targets;
        std::uint64_t primaryTerm = 0; ///< Highest term for which a primary is known.
    };

    bool take(const timed_fact &fact, bool own);

    std::unordered_map<group_id, group_facts> m_groups;
    std::unordered_map<std::uint32_t, std::vector<group_id>> m_byHash;
    dissemination_queue<database_fact> m_news;
    bool m_freshNews = false;
};

}
