#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace crocusdeal
{

/** The names of an enumeration whose values count up from zero, in their order. */
template<typename Enum, std::size_t Count>
class name_table
{
public:
    constexpr explicit name_table(std::array<std::string_view, Count> names)
        : m_names(names)
    {
    }

    constexpr std::string_view name(Enum value) const
    {
        const auto index = static_cast<std::size_t>(value);
        return index < Count ? m_names[index] : std::string_view("unknown");
    }

    constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (std::size_t i = 0; i < Count; ++i) {
            if (m_names[i] == name) {
                return static_cast<Enum>(i);
            }
        }
        return std::nullopt;
    }

private:
    std::array<std::string_view, Count> m_names;
};

template<typename Enum, typename... Names>
constexpr auto makeNameTable(Names... names)
{
    return name_table<Enum, sizeof...(Names)>(std::array<std::string_view, sizeof...(Names)>{names...});
}

}
