#include "proberelays.h"

#include <utility>

namespace crocusdeal
{

void probe_relays::start(std::uint32_t ownSequence, relay started)
{
    m_relays.insert_or_assign(ownSequence, std::move(started));
}

std::optional<probe_relays::relay> probe_relays::answered(std::uint32_t ownSequence, const instance_id &subject)
{
    const auto found = m_relays.find(ownSequence);
    if (found == m_relays.end() || found->second.subject != subject) {
        return std::nullopt;
    }
    auto taken = std::move(found->second);
    m_relays.erase(found);
    return taken;
}

std::vector<probe_relays::relay> probe_relays::expired(time_point now)
{
    std::vector<relay> taken;
    std::erase_if(m_relays, [&](auto &entry) {
        if (now < entry.second.deadline) {
            return false;
        }
        taken.push_back(std::move(entry.second));
        return true;
    });
    return taken;
}

void probe_relays::clear()
{
    m_relays.clear();
}

}
