#pragma once

#include "identifiers.h"
#include "nametable.h"
#include "position.h"

#include <cstdint>
#include <string>

namespace crocusdeal
{

/** What a database is within its group. */
enum class target_role {
    Primary,
    Replica,
    Fenced, ///< Accepts no commit and copies from nobody until it is promoted or told whom to follow.
};

inline constexpr auto targetRoleNames = makeNameTable<target_role>("primary", "replica", "fenced");

/** What a database says of itself. */
struct target_status {
    std::uint64_t term = 0;
    target_role role = target_role::Replica;
    position at; ///< The last entry in its log.
    int connections = 0; ///< Open connections of all clients.
    int maxConnections = 0;
    std::string following; ///< "host:port" of the database it copies from; empty if none.

    friend bool operator==(const target_status &, const target_status &) = default;
};

/** A member of a database group as configured. */
struct target_address {
    target_id id;
    std::string host;
    std::uint16_t port = 0;
    data_centre_id dataCentre;

    friend bool operator==(const target_address &, const target_address &) = default;
};

}
