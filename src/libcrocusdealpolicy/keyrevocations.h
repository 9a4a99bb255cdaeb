#pragma once

#include "workspacedirectory.h"

#include <cstdint>
#include <map>

namespace crocusdeal
{

/**
 * Remembers which version of the configuration last took a key of each workspace away.
 *
 * A statement that another instance has let in by an older version may rest on such a key. No message tells the key, so
 * all statements of the workspace that were decided before are refused, and are decided anew.
 */
class key_revocations
{
public:
    /** The configuration has changed from @p before to @p after, which is of @p version. */
    void recordChange(const workspace_directory &before, const workspace_directory &after, std::uint64_t version);
    /** Whether an access of the workspace that version @p decidedBy allowed may rest on a key that is gone. */
    bool mayRestOnLostKey(const workspace_id &workspace, std::uint64_t decidedBy) const;

private:
    std::map<workspace_id, std::uint64_t> m_lostAt; ///< Versions.
};

}
