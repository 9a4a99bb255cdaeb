#include "jsonsplit.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace crocusdeal
{

namespace
{

constexpr std::string_view blanks = " \t\r\n";

/** Reads values one after the other from the front of a text. */
class value_scanner
{
public:
    explicit value_scanner(std::string_view text)
        : m_rest(text)
    {
    }

    /** Takes @p wanted if it comes next. */
    bool skip(char wanted)
    {
        skipBlanks();
        if (m_rest.empty() || m_rest.front() != wanted) {
            return false;
        }
        m_rest.remove_prefix(1);
        return true;
    }

    bool isAtEnd()
    {
        skipBlanks();
        return m_rest.empty();
    }

    /** The next value with its quotes and brackets; empty if it has no end. */
    std::string_view takeValue()
    {
        skipBlanks();
        const auto length = valueLength();
        const auto value = m_rest.substr(0, length);
        m_rest.remove_prefix(length);
        return value;
    }

private:
    void skipBlanks()
    {
        const auto start = m_rest.find_first_not_of(blanks);
        m_rest.remove_prefix(start == std::string_view::npos ? m_rest.size() : start);
    }

    /** The position behind the string that begins at @p start; npos if it has no end. */
    std::size_t endOfString(std::size_t start) const
    {
        for (auto at = start + 1; at < m_rest.size(); ++at) {
            if (m_rest[at] == '\\') {
                ++at;
            } else if (m_rest[at] == '"') {
                return at + 1;
            }
        }
        return std::string_view::npos;
    }

    std::size_t valueLength() const
    {
        if (m_rest.empty()) {
            return 0;
        }
        if (m_rest.front() == '"') {
            const auto end = endOfString(0);
            return end == std::string_view::npos ? 0 : end;
        }
        if (m_rest.front() != '{' && m_rest.front() != '[') {
            const auto end = m_rest.find_first_of(" \t\r\n,]}");
            return end == std::string_view::npos ? m_rest.size() : end;
        }
        std::size_t depth = 0;
        for (std::size_t at = 0; at < m_rest.size();) {
            const char c = m_rest[at];
            if (c == '"') {
                at = endOfString(at);
                if (at == std::string_view::npos) {
                    return 0;
                }
                continue;
            }
            ++at;
            if (c == '{' || c == '[') {
                ++depth;
            } else if ((c == '}' || c == ']') && --depth == 0) {
                return at;
            }
        }
        return 0;
    }

    std::string_view m_rest;
};

/** Ends a parse whose text is nested too deeply. */
struct nested_too_deeply {
};

std::string_view withoutQuotes(std::string_view text)
{
    return text.substr(1, text.size() - 2);
}

}

bool forEachMember(std::string_view text, const std::function<void(std::string_view, std::string_view)> &take)
{
    value_scanner scanner(text);
    if (!scanner.skip('{')) {
        return false;
    }
    if (scanner.skip('}')) {
        return scanner.isAtEnd();
    }
    while (true) {
        const auto name = scanner.takeValue();
        if (name.size() < 2 || name.front() != '"' || !scanner.skip(':')) {
            return false;
        }
        const auto value = scanner.takeValue();
        if (value.empty()) {
            return false;
        }
        take(withoutQuotes(name), value);
        if (scanner.skip('}')) {
            return scanner.isAtEnd();
        }
        if (!scanner.skip(',')) {
            return false;
        }
    }
}

bool forEachElement(std::string_view text, const std::function<void(std::string_view)> &take)
{
    value_scanner scanner(text);
    if (!scanner.skip('[')) {
        return false;
    }
    if (scanner.skip(']')) {
        return scanner.isAtEnd();
    }
    while (true) {
        const auto value = scanner.takeValue();
        if (value.empty()) {
            return false;
        }
        take(value);
        if (scanner.skip(']')) {
            return scanner.isAtEnd();
        }
        if (!scanner.skip(',')) {
            return false;
        }
    }
}

std::string_view memberText(std::string_view object, std::string_view name)
{
    std::string_view found;
    forEachMember(object, [&](std::string_view key, std::string_view value) {
        if (found.empty() && key == name) {
            found = value;
        }
    });
    return found;
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    return isWhole ? std::optional(value) : std::nullopt;
}

std::optional<std::string> parseText(std::string_view text, std::size_t maxBytes)
{
    constexpr std::size_t quotes = 2;
    if (text.size() < quotes || text.front() != '"') {
        return std::nullopt;
    }
    std::string problem;
    const auto value = parseLimited(text, {maxBytes + quotes, 1}, problem);
    return value && value->is_string() ? std::optional(value->get<std::string>()) : std::nullopt;
}

std::optional<nlohmann::json> parseLimited(std::string_view text, const json_limits &limits, std::string &problem)
{
    if (text.size() > limits.maxBytes) {
        problem = "longer than " + std::to_string(limits.maxBytes) + " bytes";
        return std::nullopt;
    }
    // The depth is checked while parsing: copying, printing and comparing a value recurse.
    const auto checkDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        if (static_cast<std::size_t>(depth) > limits.maxDepth) {
            throw nested_too_deeply();
        }
        return true;
    };
    try {
        return nlohmann::json::parse(text.begin(), text.end(), checkDepth);
    } catch (const nested_too_deeply &) {
        problem = "nested deeper than " + std::to_string(limits.maxDepth);
    } catch (const nlohmann::json::parse_error &error) {
        // The library quotes what it has read last, which may be a secret.
        problem = "not JSON at byte " + std::to_string(error.byte);
    } catch (const nlohmann::json::exception &error) {
        problem = "not JSON, error " + std::to_string(error.id);
    }
    return std::nullopt;
}

}
