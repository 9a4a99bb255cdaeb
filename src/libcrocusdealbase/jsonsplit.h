#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace crocusdeal
{

/**
 * Calls @p take for each member of the JSON object in @p text, with its name as written and its value as text.
 *
 * The values are found by their quotes and brackets only, so that one that cannot be parsed does not hide the others.
 * Works in linear time and without recursion. Returns false if the text is not a whole object.
 */
bool forEachMember(std::string_view text, const std::function<void(std::string_view, std::string_view)> &take);
/** As forEachMember(), for the elements of an array. */
bool forEachElement(std::string_view text, const std::function<void(std::string_view)> &take);

/** The value of the first member of this name, as text; empty if there is none. */
std::string_view memberText(std::string_view object, std::string_view name);
/** A whole number that fits; nothing for any other text. */
std::optional<std::uint64_t> parseUnsigned(std::string_view text);
/** The content of a JSON string; nothing if @p text is not one or is longer than @p maxBytes. */
std::optional<std::string> parseText(std::string_view text, std::size_t maxBytes);

/** What foreign JSON may look like at most. */
struct json_limits {
    std::size_t maxBytes = 2097152;
    std::size_t maxDepth = 32;
};

/** Parses JSON; nothing if it is malformed, has a number that cannot be represented, or exceeds @p limits. */
std::optional<nlohmann::json> parseLimited(std::string_view text, const json_limits &limits, std::string &problem);

}
