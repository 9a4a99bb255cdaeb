#pragma once

#include "grouptypes.h"

#include <optional>
#include <string_view>

namespace crocusdeal
{

/** The part of a database's status that travels in band and between instances. */
struct target_state {
    std::uint64_t term = 0;
    target_role role = target_role::Replica;
    position at;

    friend bool operator==(const target_state &, const target_state &) = default;
};

/**
 * Whether the database is a primary that has committed nothing since its promotion.
 *
 * Entries of an earlier term cannot be confirmed by counting the databases that hold them (Ongaro and Ousterhout 2014,
 * section 5.4.2).
 */
inline bool isUnwrittenPrimary(const target_state &state)
{
    return state.role == target_role::Primary && state.at.term < state.term;
}

/** Reads the parameter status group_state, "term role entryterm/offset"; nothing if @p text is anything else. */
std::optional<target_state> parseTargetState(std::string_view text);

}
