#pragma once

#include "accesskey.h"
#include "ratelimit.h"
#include "workspaceid.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** A workspace: callers who share keys, a limit and, at the targets, a name. */
struct workspace_entry {
    workspace_id name;
    std::vector<access_key_digest> keys;
    int priority = 0; ///< 0 is the highest; between workspaces, within the priority of the route.
    std::optional<rate_limit> limit; ///< Without one it may begin as many operations as it likes.
};

/** The workspaces of one version of the configuration. */
class workspace_directory
{
public:
    workspace_directory() = default;
    /** A key that stands twice opens no workspace, and a name that stands twice counts once; see problems(). */
    explicit workspace_directory(std::vector<workspace_entry> entries);

    /** The workspace that the key opens; null if it opens none. */
    const workspace_entry *ofKey(const access_key_digest &key) const;
    /** Null if there is none of this name. */
    const workspace_entry *find(const workspace_id &name) const;
    const std::vector<workspace_entry> &entries() const;
    /** What was left out, one sentence each; names workspaces but no keys. */
    const std::vector<std::string> &problems() const;

private:
    void addKeys(std::size_t index);

    std::vector<workspace_entry> m_entries;
    std::map<workspace_id, std::size_t> m_byName;
    std::map<access_key_digest, std::optional<std::size_t>> m_byKey; ///< Nothing for a key that stands twice.
    std::vector<std::string> m_problems;
};

}
