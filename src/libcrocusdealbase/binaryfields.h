#pragma once

#include "identifiers.h"

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <streambuf>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** No text of a message between instances is longer; a larger size is that of a malformed message. */
inline constexpr std::size_t maxTextFieldBytes = 1'100'000;

/** Reads from memory that it does not own; std::istringstream would copy each datagram. */
class view_buffer : public std::streambuf
{
public:
    explicit view_buffer(std::string_view bytes)
    {
        char *begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
};

/** Appends to a string. */
class string_buffer : public std::streambuf
{
public:
    std::string bytes;

protected:
    int_type overflow(int_type value) override
    {
        bytes.push_back(traits_type::to_char_type(value));
        return value;
    }
    std::streamsize xsputn(const char *from, std::streamsize count) override
    {
        bytes.append(from, static_cast<std::size_t>(count));
        return count;
    }
};

[[noreturn]] inline void failDecoding(const char *reason)
{
    throw cereal::Exception(reason);
}

/** cereal writes a size as 8 bytes; the fields of a datagram need far less. */
template<typename Size, typename Archive>
void sizeField(Archive &archive, std::size_t &size)
{
    if (!Archive::is_loading::value && size > std::numeric_limits<Size>::max()) {
        failDecoding("field is too long");
    }
    auto value = static_cast<Size>(size);
    archive(value);
    size = value;
}

template<typename Size, typename Archive>
void textField(Archive &archive, std::string &text)
{
    std::size_t size = text.size();
    sizeField<Size>(archive, size);
    if (Archive::is_loading::value) {
        if (size > maxTextFieldBytes) {
            failDecoding("text is too long");
        }
        text.resize(size);
    }
    archive(cereal::binary_data(text.data(), size));
}

template<typename Archive, typename Tag>
void idField(Archive &archive, identifier<Tag> &id)
{
    std::string text = id.str();
    textField<std::uint8_t>(archive, text);
    if constexpr (Archive::is_loading::value) {
        id = identifier<Tag>(std::move(text));
    }
}

template<typename Archive, typename Enum>
void enumField(Archive &archive, Enum &value, Enum last)
{
    auto number = static_cast<std::uint8_t>(value);
    archive(number);
    if (number > static_cast<std::uint8_t>(last)) {
        failDecoding("unknown enumerator");
    }
    value = static_cast<Enum>(number);
}

/** A byte, because loading any other value than 0 and 1 into a bool is undefined. */
template<typename Archive>
void flagField(Archive &archive, bool &flag)
{
    auto value = static_cast<std::uint8_t>(flag);
    archive(value);
    flag = value != 0;
}

template<typename Size, typename Archive, typename T, typename Field>
void listField(Archive &archive, std::vector<T> &list, std::size_t limit, Field field)
{
    std::size_t size = list.size();
    sizeField<Size>(archive, size);
    if (size > limit) {
        failDecoding("list is too long");
    }
    if (Archive::is_loading::value) {
        list.clear();
    }
    for (std::size_t i = 0; i < size; ++i) {
        if (Archive::is_loading::value) {
            list.emplace_back();
        }
        field(archive, list[i]);
    }
}

/** A flag, then the value if there is one. */
template<typename Archive, typename T, typename Field>
void optionalField(Archive &archive, std::optional<T> &value, Field field)
{
    bool isThere = value.has_value();
    flagField(archive, isThere);
    if (Archive::is_loading::value) {
        value = isThere ? std::optional<T>(T{}) : std::nullopt;
    }
    if (value) {
        field(archive, *value);
    }
}

}
