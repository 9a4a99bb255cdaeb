#include "suspicionverifier.h"

namespace crocusdeal
{

namespace
{

using namespace literals;

/** A suspect is probed this long before its suspicion ends, and once more when half of it is left. */
constexpr duration lead = 2_s;
/** Bounds the cost of a failed data centre to about 2 KB/s while its members time out. */
constexpr std::size_t maxPerCall = 2;

}

std::vector<instance_id> suspicion_verifier::due(time_point now,
                                                 const std::unordered_map<instance_id, time_point> &suspects,
                                                 duration timeout)
{
    std::erase_if(m_probes, [&suspects](const auto &entry) { return !suspects.contains(entry.first); });
    std::vector<instance_id> chosen;
    for (const auto &[id, since] : suspects) {
        const auto left = timeout - (now - since);
        if (left > lead || chosen.size() == maxPerCall) {
            continue;
        }
        int &probes = m_probes[id];
        if (probes == 0 || (probes == 1 && left <= lead / 2)) {
            ++probes;
            chosen.push_back(id);
        }
    }
    return chosen;
}

}
