#include "workspacedirectory.h"

#include <utility>

namespace crocusdeal
{

workspace_directory::workspace_directory(std::vector<workspace_entry> entries)
{
    for (auto &entry : entries) {
        if (!m_byName.emplace(entry.name, m_entries.size()).second) {
            m_problems.push_back("workspace \"" + entry.name.str() + "\" stands twice, the first one counts");
            continue;
        }
        m_entries.push_back(std::move(entry));
        addKeys(m_entries.size() - 1);
    }
}

void workspace_directory::addKeys(std::size_t index)
{
    const auto &entry = m_entries[index];
    for (std::size_t i = 0; i < entry.keys.size(); ++i) {
        const auto [found, isNew] = m_byKey.emplace(entry.keys[i], index);
        if (isNew) {
            continue;
        }
        // Nobody can tell whose work it would be.
        found->second.reset();
        m_problems.push_back("key " + std::to_string(i) + " of workspace \"" + entry.name.str()
                             + "\" stands twice and opens nothing");
    }
}

const workspace_entry *workspace_directory::ofKey(const access_key_digest &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() || !found->second ? nullptr : &m_entries[*found->second];
}

const workspace_entry *workspace_directory::find(const workspace_id &name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : &m_entries[found->second];
}

const std::vector<workspace_entry> &workspace_directory::entries() const
{
    return m_entries;
}

const std::vector<std::string> &workspace_directory::problems() const
{
    return m_problems;
}

}
