#pragma once

#include "clock.h"
#include "identifiers.h"
#include "nametable.h"
#include "workspacedirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** The commits that a read must see. */
enum class consistency {
    Primary, ///< Every commit acknowledged before the read.
    BoundedStaleness, ///< Every commit acknowledged longer ago than the route's maxStaleness.
    ReadYourWrites, ///< As BoundedStaleness, and every earlier commit of the same session.
};

inline constexpr auto consistencyNames = makeNameTable<consistency>("primary", "bounded_staleness", "read_your_writes");

/** How statements for one database name are served. */
struct database_route {
    std::string name;
    std::string database; ///< The database name that callers give when they connect.
    service_id service;
    consistency readConsistency = consistency::Primary;
    duration statementTimeout{1000};
    duration latencyObjective{1000}; ///< For a whole operation.
    int priority = 0; ///< 0 is the highest.
    duration maxStaleness{0};
    bool isPublic = false; ///< Needs no key, also where callers are told apart by workspaces.
};

struct service_policy {
    int maxConnections = 1; ///< To one target, from all instances together.
    int syncReplicas = 0; ///< Replicas that must have received a commit before it is acknowledged.
};

/** The complete routing configuration, as set by the operator. */
struct routing_configuration {
    std::uint64_t version = 0;
    std::map<std::string, database_route, std::less<>> routes; ///< By database name.
    std::map<service_id, service_policy> services;
    duration transactionIdleTimeout{3000}; ///< A transaction that is idle for longer may be aborted.
    std::optional<workspace_directory> workspaces; ///< Without them callers need no key and are not told apart.
    std::vector<std::string> problems; ///< Parts that cannot be used, one sentence each, without secrets.
};

}
