#pragma once

#include "clock.h"
#include "memberinfo.h"
#include "membertable.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace crocusdeal
{

/**
 * Tries members that are dead or unknown here but named by the seeds or the platform's list, so that the sides of a
 * partition find each other again. SWIM itself never contacts a dead member.
 */
class partition_healing
{
public:
    struct candidate {
        instance_id id; ///< Empty if only the address is known.
        std::string address;
    };

    partition_healing(member_description self, std::vector<std::string> seeds, duration interval);

    void setListed(std::vector<listed_instance> listed);
    /** Tries at the next call of next(). */
    void trySoon();
    /** The next candidate to probe; nothing if none is due. */
    std::optional<candidate> next(time_point now, const member_table &table, std::mt19937_64 &random);
    std::vector<candidate> candidates(const member_table &table) const;

private:
    member_description m_self;
    std::vector<std::string> m_seeds;
    duration m_interval;
    std::vector<listed_instance> m_listed;
    time_point m_next = never;
    time_point m_firstAt = never;
};

}
