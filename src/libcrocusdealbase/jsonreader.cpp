#include "jsonreader.h"

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace leaf = boost::leaf;

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxNameLength = 63;
constexpr std::size_t maxDepth = 64; // Copying and printing a value recurse.

enum class json_error { WrongType, OutOfRange, Malformed };

/** What a value should have been; travels with json_error. */
struct expected_value {
    std::string text;
};

/** Position and reason of a syntax error. */
struct syntax_detail {
    std::string text;
};

std::string typed(const nlohmann::json &value)
{
    // Long values would bury the message.
    constexpr std::size_t maxShown = 40;
    if (value.is_object() || value.is_array()) {
        return value.type_name();
    }
    const auto text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return text.size() > maxShown ? text.substr(0, maxShown) + "..." : text;
}

auto wrongType(const char *expected)
{
    return leaf::new_error(json_error::WrongType, expected_value{expected});
}

leaf::result<std::string> readString(const nlohmann::json &value)
{
    if (!value.is_string()) {
        return wrongType("string");
    }
    return value.get<std::string>();
}

leaf::result<std::string> readName(const nlohmann::json &value)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    BOOST_LEAF_AUTO(text, readString(value));
    if (text.empty() || text.size() > maxNameLength || text.find_first_not_of(allowed) != std::string::npos) {
        return leaf::new_error(json_error::OutOfRange,
                               expected_value{"name of 1 to 63 letters, digits, '-', '_' and '.'"});
    }
    return text;
}

leaf::result<host_port> readAddress(const nlohmann::json &value)
{
    BOOST_LEAF_AUTO(text, readString(value));
    const auto address = parseHostPort(text);
    if (!address) {
        return leaf::new_error(json_error::OutOfRange, expected_value{"address of the form \"host:port\""});
    }
    return *address;
}

leaf::result<std::int64_t> readInteger(const nlohmann::json &value, integer_range range)
{
    if (!value.is_number_integer()) {
        return wrongType("whole number");
    }
    const bool tooLarge = value.is_number_unsigned()
        && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (tooLarge || value.get<std::int64_t>() < range.min || value.get<std::int64_t>() > range.max) {
        return leaf::new_error(
            json_error::OutOfRange,
            expected_value{"whole number from " + std::to_string(range.min) + " to " + std::to_string(range.max)});
    }
    return value.get<std::int64_t>();
}

leaf::result<double> readNumber(const nlohmann::json &value, number_range range)
{
    if (!value.is_number()) {
        return wrongType("number");
    }
    const auto number = value.get<double>();
    if (!(number >= range.min && number <= range.max)) {
        return leaf::new_error(
            json_error::OutOfRange,
            expected_value{"number from " + std::to_string(range.min) + " to " + std::to_string(range.max)});
    }
    return number;
}

leaf::result<std::size_t> readChoice(const nlohmann::json &value, const std::vector<std::string> &names)
{
    BOOST_LEAF_AUTO(text, readString(value));
    const auto found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        std::string list;
        for (const auto &name : names) {
            list += (list.empty() ? "\"" : ", \"") + name + '"';
        }
        return leaf::new_error(json_error::OutOfRange, expected_value{"one of " + list});
    }
    return static_cast<std::size_t>(found - names.begin());
}

leaf::result<const nlohmann::json *> readObject(const nlohmann::json &value)
{
    return value.is_object() ? leaf::result<const nlohmann::json *>(&value) : wrongType("object");
}

leaf::result<const nlohmann::json *> readArray(const nlohmann::json &value)
{
    return value.is_array() ? leaf::result<const nlohmann::json *>(&value) : wrongType("array");
}

/** Runs @p read on @p value; an error becomes a problem at @p path. */
template<typename Read>
auto readInto(problem_list &problems, const std::string &path, const nlohmann::json &value, Read read)
{
    using value_type = std::decay_t<decltype(read(value).value())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<value_type>> {
            BOOST_LEAF_AUTO(result, read(value));
            return std::optional<value_type>(result);
        },
        [&](json_error, const expected_value &expected) -> std::optional<value_type> {
            problems.add(path, expected.text + " expected, got " + typed(value));
            return std::nullopt;
        },
        [&]() -> std::optional<value_type> {
            problems.add(path, "cannot be read");
            return std::nullopt;
        });
}

/** Line and column of the byte before @p byte. */
std::string placeOf(std::string_view text, std::size_t byte)
{
    const auto before = text.substr(0, std::min(byte, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto lineStart = before.rfind('\n');
    const auto column = before.size() - (lineStart == std::string_view::npos ? 0 : lineStart + 1);
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

/** Ends a parse whose text is nested too deeply. */
struct nested_too_deeply {
};

/** Notes keys named twice in one object, of which the library would keep only the last. */
class duplicate_key_finder
{
public:
    bool operator()(int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed)
    {
        if (static_cast<std::size_t>(depth) > maxDepth) {
            throw nested_too_deeply();
        }
        if (event == nlohmann::json::parse_event_t::object_start) {
            m_open.emplace_back();
        } else if (event == nlohmann::json::parse_event_t::object_end) {
            m_open.pop_back();
        } else if (event == nlohmann::json::parse_event_t::key
                   && !m_open.back().insert(parsed.get<std::string>()).second) {
            m_duplicates.push_back(parsed.get<std::string>());
        }
        return true;
    }

    const std::vector<std::string> &duplicates() const
    {
        return m_duplicates;
    }

private:
    std::vector<std::set<std::string>> m_open;
    std::vector<std::string> m_duplicates;
};

leaf::result<nlohmann::json> parseText(std::string_view text, duplicate_key_finder &finder)
{
    const auto callback = [&finder](int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed) {
        return finder(depth, event, parsed);
    };
    try {
        return nlohmann::json::parse(text.begin(), text.end(), callback, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        std::string reason = error.what();
        // The library's text begins with its error number and place, up to the first ": ".
        const auto start = reason.find(": ");
        reason = start == std::string::npos ? reason : reason.substr(start + 2);
        return leaf::new_error(json_error::Malformed, syntax_detail{placeOf(text, error.byte) + ": " + reason});
    } catch (const nlohmann::json::exception &error) {
        // A number that no type can hold is no syntax error.
        return leaf::new_error(json_error::Malformed, syntax_detail{error.what()});
    } catch (const nested_too_deeply &) {
        return leaf::new_error(json_error::Malformed, syntax_detail{"nested deeper than " + std::to_string(maxDepth)});
    }
}

}

void problem_list::add(std::string key, std::string message)
{
    problems.push_back({file, std::move(key), std::move(message)});
}

std::optional<nlohmann::json> parseJson(std::string_view text, problem_list &problems)
{
    duplicate_key_finder finder;
    auto value = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<nlohmann::json>> {
            BOOST_LEAF_AUTO(parsed, parseText(text, finder));
            return std::optional<nlohmann::json>(std::move(parsed));
        },
        [&](json_error, const syntax_detail &detail) -> std::optional<nlohmann::json> {
            problems.add("", "JSON expected, " + detail.text);
            return std::nullopt;
        },
        [&]() -> std::optional<nlohmann::json> {
            problems.add("", "JSON expected");
            return std::nullopt;
        });
    for (const auto &key : finder.duplicates()) {
        problems.add(key, "key named twice in one object");
    }
    return value;
}

object_reader::object_reader(const nlohmann::json &value, std::string path, problem_list &problems)
    : m_value(value)
    , m_path(std::move(path))
    , m_problems(problems)
{
}

std::string object_reader::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + '.' + key;
}

const nlohmann::json *object_reader::find(const std::string &key, presence needed)
{
    m_known.push_back(key);
    const auto found = m_value.find(key);
    if (found != m_value.end()) {
        return &*found;
    }
    if (needed == Required) {
        m_problems.add(pathOf(key), "required key is missing");
    }
    return nullptr;
}

std::optional<std::string> object_reader::string(const std::string &key, presence needed)
{
    const auto *value = find(key, needed);
    return value == nullptr ? std::nullopt : readInto(m_problems, pathOf(key), *value, readString);
}

std::optional<std::string> object_reader::name(const std::string &key, presence needed)
{
    const auto *value = find(key, needed);
    return value == nullptr ? std::nullopt : readInto(m_problems, pathOf(key), *value, readName);
}

std::optional<host_port> object_reader::address(const std::string &key, presence needed)
{
    const auto *value = find(key, needed);
    return value == nullptr ? std::nullopt : readInto(m_problems, pathOf(key), *value, readAddress);
}

std::optional<std::int64_t> object_reader::integer(const std::string &key, presence needed, integer_range range)
{
    const auto *value = find(key, needed);
    const auto read = [range](const nlohmann::json &json) { return readInteger(json, range); };
    return value == nullptr ? std::nullopt : readInto(m_problems, pathOf(key), *value, read);
}

std::optional<double> object_reader::number(const std::string &key, presence needed, number_range range)
{
    const auto *value = find(key, needed);
    const auto read = [range](const nlohmann::json &json) { return readNumber(json, range); };
    return value == nullptr ? std::nullopt : readInto(m_problems, pathOf(key), *value, read);
}

std::optional<std::size_t> object_reader::choice(const std::string &key,
                                                 presence needed,
                                                 const std::vector<std::string> &names)
{
    const auto *value = find(key, needed);
    const auto read = [&names](const nlohmann::json &json) { return readChoice(json, names); };
    return value == nullptr ? std::nullopt : readInto(m_problems, pathOf(key), *value, read);
}

const nlohmann::json *object_reader::object(const std::string &key, presence needed)
{
    const auto *value = find(key, needed);
    return value == nullptr ? nullptr : readInto(m_problems, pathOf(key), *value, readObject).value_or(nullptr);
}

const nlohmann::json *object_reader::array(const std::string &key, presence needed)
{
    const auto *value = find(key, needed);
    return value == nullptr ? nullptr : readInto(m_problems, pathOf(key), *value, readArray).value_or(nullptr);
}

std::vector<std::string> object_reader::names(const std::string &key, presence needed)
{
    std::vector<std::string> result;
    const auto *values = array(key, needed);
    for (std::size_t i = 0; values != nullptr && i < values->size(); ++i) {
        const auto path = pathOf(key) + '[' + std::to_string(i) + ']';
        if (auto text = readInto(m_problems, path, (*values)[i], readName)) {
            result.push_back(std::move(*text));
        }
    }
    return result;
}

void object_reader::finish()
{
    if (m_problems.unknownKeys == unknown_keys::Ignore) {
        return;
    }
    for (const auto &[key, value] : m_value.items()) {
        if (std::find(m_known.begin(), m_known.end(), key) != m_known.end()) {
            continue;
        }
        const auto near = nearestName(key, m_known);
        m_problems.add(pathOf(key), "unknown key" + (near.empty() ? "" : ", did you mean \"" + near + "\"?"));
    }
}

}
