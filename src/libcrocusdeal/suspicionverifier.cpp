#include "suspicionverifier.h"

namespace crocusdeal
{

namespace
{

using namespace literals;

/** The sample asks a suspect this long before its suspicion ends. */
constexpr duration sampleLead = 2_s;
/** Those that still hold the suspicion ask this long before its end. */
constexpr duration finalLead = 1_s;
constexpr duration repeatLead = 500_ms;
/** Members of the sample, on average. */
constexpr std::size_t sampleSize = 50;
/** Bounds the cost of a failed data centre to about 1 KB/s while its members time out. */
constexpr std::size_t maxPerCall = 2;

}

std::vector<instance_id> suspicion_verifier::due(time_point now,
                                                 const std::unordered_map<instance_id, time_point> &suspects,
                                                 duration timeout,
                                                 std::size_t fleet,
                                                 std::mt19937_64 &random)
{
    std::erase_if(m_stages, [&suspects](const auto &entry) { return !suspects.contains(entry.first); });
    std::vector<instance_id> chosen;
    for (const auto &[id, since] : suspects) {
        const auto left = timeout - (now - since);
        if (left > sampleLead || chosen.size() == maxPerCall) {
            continue;
        }
        const auto [place, first] = m_stages.try_emplace(id, stage::Sampled);
        const bool sampled = first && random() % fleet < sampleSize;
        const bool final = place->second == stage::Sampled && left <= finalLead;
        const bool repeated = place->second == stage::Final && left <= repeatLead;
        if (final || repeated) {
            place->second = final ? stage::Final : stage::Repeated;
        }
        if (sampled || final || repeated) {
            chosen.push_back(id);
        }
    }
    return chosen;
}

}
