#include "targetstate.h"

#include <charconv>

namespace crocusdeal
{

std::optional<target_state> parseTargetState(std::string_view text)
{
    const auto first = text.find(' ');
    const auto second = first == std::string_view::npos ? first : text.find(' ', first + 1);
    if (second == std::string_view::npos) {
        return std::nullopt;
    }
    target_state state;
    const auto term = text.substr(0, first);
    const auto [end, error] = std::from_chars(term.data(), term.data() + term.size(), state.term);
    const auto role = targetRoleNames.value(text.substr(first + 1, second - first - 1));
    const auto at = parsePosition(text.substr(second + 1));
    if (error != std::errc() || end != term.data() + term.size() || !role || !at) {
        return std::nullopt;
    }
    state.role = *role;
    state.at = *at;
    return state;
}

}
