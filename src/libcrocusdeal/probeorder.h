#pragma once

#include "memberinfo.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace crocusdeal
{

/**
 * Order in which members are probed: shuffled round-robin, which bounds the time until a given member is probed.
 *
 * Source: SWIM section 4.3. Own data centre and the others are separate rounds; three probes of four go to the own one,
 * so that most failures are found over the short path while every data centre stays covered.
 */
class probe_order
{
public:
    explicit probe_order(data_centre_id own);

    /** Adds a member that was never added, at a random place so that it does not wait for a whole round. */
    void insert(std::shared_ptr<const member_description> member, std::mt19937_64 &random);
    /** Adds a member that may be present already; its description is replaced then. Takes linear time. */
    void restore(std::shared_ptr<const member_description> member, std::mt19937_64 &random);
    /** Next member for which @p wanted holds; the others are removed from the round. Null if there is none. */
    std::shared_ptr<const member_description> next(const std::function<bool(const instance_id &)> &wanted,
                                                   std::mt19937_64 &random);
    /** A random member of one of the rounds, either with the same probability. May be a removed one. */
    std::shared_ptr<const member_description> any(std::mt19937_64 &random) const;

private:
    struct round {
        std::vector<std::shared_ptr<const member_description>> members;
        std::size_t position = 0;
    };

    static std::shared_ptr<const member_description> advance(round &of,
                                                             const std::function<bool(const instance_id &)> &wanted,
                                                             std::mt19937_64 &random);

    round &roundOf(const member_description &member);

    data_centre_id m_own;
    round m_ownRound;
    round m_otherRound;
    unsigned m_turn = 0;
};

}
