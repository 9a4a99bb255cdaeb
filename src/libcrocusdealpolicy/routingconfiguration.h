#pragma once

#include "clock.h"
#include "identifiers.h"
#include "nametable.h"

#include <cstdint>
#include <map>
#include <string>

namespace crocusdeal
{

/** Which commits a read has to see. */
enum class consistency {
    Primary, ///< Every commit acknowledged before the read.
    BoundedStaleness, ///< Those acknowledged longer ago than the route's permitted age.
    ReadYourWrites, ///< As BoundedStaleness, and every commit of the same session.
};

inline constexpr auto consistencyNames = makeNameTable<consistency>("primary", "bounded_staleness", "read_your_writes");

/** How the statements of one database name are served. */
struct database_route {
    std::string name;
    std::string database; ///< What callers name at their start-up.
    service_id service;
    consistency reads = consistency::Primary;
    duration statementTimeout{1000};
    duration targetLatency{1000}; ///< Of a whole operation.
    int priority = 0; ///< 0 is the highest.
    duration maxStaleness{0};
};

struct service_policy {
    int maxConnections = 1; ///< Of one target, over all instances.
    int syncReplicas = 0; ///< Replicas that have received a commit before it is acknowledged.
};

/** The configuration of the operator, as a whole. */
struct routing_configuration {
    std::uint64_t version = 0;
    std::map<std::string, database_route, std::less<>> routes; ///< By database name.
    std::map<service_id, service_policy> services;
    duration transactionIdle{3000}; ///< A transaction idle for longer may be ended.
};

}
