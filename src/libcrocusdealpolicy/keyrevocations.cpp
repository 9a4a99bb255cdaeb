#include "keyrevocations.h"

#include <algorithm>

namespace crocusdeal
{

void key_revocations::recordChange(const workspace_directory &before,
                                   const workspace_directory &after,
                                   std::uint64_t version)
{
    for (const auto &entry : before.entries()) {
        const bool hasLost = std::any_of(entry.keys.begin(), entry.keys.end(), [&](const access_key_digest &key) {
            const auto *was = before.ofKey(key);
            const auto *now = after.ofKey(key);
            return was != nullptr && was->name == entry.name && (now == nullptr || now->name != entry.name);
        });
        if (hasLost) {
            m_lostAt[entry.name] = version;
        }
    }
}

bool key_revocations::mayRestOnLostKey(const workspace_id &workspace, std::uint64_t decidedBy) const
{
    const auto found = m_lostAt.find(workspace);
    return found != m_lostAt.end() && decidedBy < found->second;
}

}
