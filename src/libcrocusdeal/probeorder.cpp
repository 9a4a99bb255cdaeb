#include "probeorder.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr unsigned turnsPerCycle = 4;

std::size_t randomBelow(std::size_t bound, std::mt19937_64 &random)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

}

probe_order::probe_order(data_centre_id own)
    : m_own(std::move(own))
{
}

probe_order::round &probe_order::roundOf(const member_description &member)
{
    return member.dataCentre == m_own ? m_ownRound : m_otherRound;
}

void probe_order::insert(std::shared_ptr<const member_description> member, std::mt19937_64 &random)
{
    round &to = roundOf(*member);
    to.members.push_back(std::move(member));
    const auto place = to.position + randomBelow(to.members.size() - to.position, random);
    std::swap(to.members[place], to.members.back());
}

void probe_order::restore(std::shared_ptr<const member_description> member, std::mt19937_64 &random)
{
    for (round *in : {&m_ownRound, &m_otherRound}) {
        std::erase_if(in->members, [&](const auto &m) { return m->id == member->id; });
        in->position = std::min(in->position, in->members.size());
    }
    insert(std::move(member), random);
}

std::shared_ptr<const member_description> probe_order::advance(round &of,
                                                               const std::function<bool(const instance_id &)> &wanted,
                                                               std::mt19937_64 &random)
{
    while (!of.members.empty()) {
        if (of.position >= of.members.size()) {
            std::shuffle(of.members.begin(), of.members.end(), random);
            of.position = 0;
        }
        auto &member = of.members[of.position];
        if (wanted(member->id)) {
            ++of.position;
            return member;
        }
        member = std::move(of.members.back());
        of.members.pop_back();
    }
    return nullptr;
}

std::shared_ptr<const member_description> probe_order::next(const std::function<bool(const instance_id &)> &wanted,
                                                            std::mt19937_64 &random)
{
    const bool othersTurn = ++m_turn % turnsPerCycle == 0;
    round &first = othersTurn ? m_otherRound : m_ownRound;
    round &second = othersTurn ? m_ownRound : m_otherRound;
    auto member = advance(first, wanted, random);
    return member ? member : advance(second, wanted, random);
}

std::shared_ptr<const member_description> probe_order::any(std::mt19937_64 &random) const
{
    const bool own = randomBelow(2, random) == 0;
    const auto &preferred = own ? m_ownRound.members : m_otherRound.members;
    const auto &from = preferred.empty() ? (own ? m_otherRound.members : m_ownRound.members) : preferred;
    return from.empty() ? nullptr : from[randomBelow(from.size(), random)];
}

}
