#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocusdeal
{

/**
 * A place in a database group's log: the term in which the entry was written, then its offset.
 *
 * Offsets of different terms belong to different histories, so a number alone never tells which log is further.
 */
struct position {
    std::uint64_t term = 0;
    std::uint64_t offset = 0;

    friend constexpr auto operator<=>(const position &, const position &) = default;
};

/** The text form "term/offset". */
std::string toString(position value);

/** Reads the text form; nothing if @p text is anything else. */
std::optional<position> parsePosition(std::string_view text);

}
