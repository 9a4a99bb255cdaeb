#include "position.h"

#include <charconv>

namespace crocusdeal
{

namespace
{

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

}

std::string toString(position value)
{
    return std::to_string(value.term) + '/' + std::to_string(value.offset);
}

std::optional<position> parsePosition(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto term = parseNumber(text.substr(0, slash));
    const auto offset = parseNumber(text.substr(slash + 1));
    if (!term || !offset) {
        return std::nullopt;
    }
    return position{*term, *offset};
}

}
