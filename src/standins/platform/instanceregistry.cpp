#include "instanceregistry.h"

#include <utility>

namespace platform_standin
{

void instance_registry::put(const std::string &id, std::string entry, clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    record(id, std::move(entry), now);
}

bool instance_registry::remove(const std::string &id, clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_current.count(id) == 0) {
        return false;
    }
    record(id, std::nullopt, now);
    return true;
}

void instance_registry::record(const std::string &id, std::optional<std::string> entry, clock::time_point now)
{
    m_notShown.push_back({now, id, std::move(entry)});
    apply(m_current, m_notShown.back());
}

void instance_registry::apply(std::map<std::string, std::string> &entries, const change &change)
{
    if (change.entry) {
        entries[change.id] = *change.entry;
    } else {
        entries.erase(change.id);
    }
}

std::vector<std::string> instance_registry::list(clock::time_point now, std::chrono::milliseconds lag)
{
    const std::lock_guard lock(m_mutex);
    while (!m_notShown.empty() && m_notShown.front().at <= now - lag) {
        apply(m_shown, m_notShown.front());
        m_notShown.pop_front();
    }
    std::vector<std::string> entries;
    entries.reserve(m_shown.size());
    for (const auto &[id, entry] : m_shown) {
        entries.push_back(entry);
    }
    return entries;
}

}
