#include "tablepulls.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace crocusdeal
{

namespace
{

using namespace literals;

constexpr duration retryInterval = 1_s;
constexpr std::size_t smallTable = 100;
constexpr int maxEarlyPulls = 3;
constexpr duration earlyPullInterval = 2_s;
/** Times log10 of the fleet: a change in flight makes about half of the digests differ, lasting divergence all. */
constexpr double divergencePerDecade = 8;
constexpr int maxDivergence = 100;
/** A table of 3,000 members is about 0.3 MB; pulls are spaced so that they cost at most 5 KB/s at any size. */
constexpr std::int64_t spacingPerMemberMs = 20;
constexpr std::int64_t minSpacingMs = 2'000;

duration spacing(std::size_t tableSize, std::mt19937_64 &random)
{
    const auto base = std::max(minSpacingMs, spacingPerMemberMs * static_cast<std::int64_t>(tableSize));
    return {base + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(base))};
}

}

void table_pulls::noteDigest(bool equal, const std::string &source)
{
    if (equal) {
        m_divergence = std::max(0, m_divergence - 1);
        return;
    }
    m_divergedFrom = source;
    m_divergence = std::min(maxDivergence, m_divergence + 1);
}

void table_pulls::request(time_point now)
{
    m_needed = true;
    m_next = now;
}

void table_pulls::received(time_point now, std::size_t members)
{
    // Instances that start together first see each other's nearly empty tables.
    m_needed = members < smallTable && ++m_earlyPulls < maxEarlyPulls;
    m_next = m_needed ? now + earlyPullInterval : m_next;
}

bool table_pulls::isRequestDue(time_point now) const
{
    return m_needed && now >= m_next;
}

void table_pulls::requested(time_point now)
{
    m_next = now + retryInterval;
}

std::optional<std::string> table_pulls::divergedPeer(time_point now,
                                                     std::size_t fleet,
                                                     std::size_t tableSize,
                                                     std::mt19937_64 &random)
{
    const auto bound = divergencePerDecade * std::log10(static_cast<double>(fleet) + 1);
    if (m_divergence < bound || now < m_next) {
        return std::nullopt;
    }
    m_divergence = 0;
    m_next = now + spacing(tableSize, random);
    return m_divergedFrom;
}

}
