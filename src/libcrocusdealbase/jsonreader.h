#pragma once

#include "hostport.h"
#include "settingsproblem.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** What is done about a key that the reader does not know. */
enum class unknown_keys {
    Refuse,
    Ignore, ///< For objects that a newer version of the project may have written.
};

/** Gathers the problems of one file. */
struct problem_list {
    std::string file;
    unknown_keys unknownKeys = unknown_keys::Refuse;
    std::vector<settings_problem> problems;

    void add(std::string key, std::string message);
};

/** Reads JSON with comments; nothing if it is malformed or names a key twice, which is added to @p problems. */
std::optional<nlohmann::json> parseJson(std::string_view text, problem_list &problems);

struct number_range {
    double min = 0;
    double max = std::numeric_limits<double>::max();
};

struct integer_range {
    std::int64_t min = 0;
    std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

/**
 * Reads the values of one JSON object and reports what is wrong with them.
 *
 * Each getter gives nothing if the key is absent or its value wrong. A required key that is absent is a problem.
 */
class object_reader
{
public:
    enum presence { Required, Optional };

    object_reader(const nlohmann::json &value, std::string path, problem_list &problems);

    std::optional<std::string> string(const std::string &key, presence needed);
    /** A name of 1 to 63 letters, digits, '-', '_' and '.'. */
    std::optional<std::string> name(const std::string &key, presence needed);
    std::optional<host_port> address(const std::string &key, presence needed);
    std::optional<std::int64_t> integer(const std::string &key, presence needed, integer_range range);
    /** Any number, also one with a fraction. */
    std::optional<double> number(const std::string &key, presence needed, number_range range);
    /** The position of the value within @p names. */
    std::optional<std::size_t> choice(const std::string &key, presence needed, const std::vector<std::string> &names);
    const nlohmann::json *object(const std::string &key, presence needed);
    const nlohmann::json *array(const std::string &key, presence needed);
    /** The names in an array of names; empty if there is none. */
    std::vector<std::string> names(const std::string &key, presence needed);

    /** The path of @p key within the file. */
    std::string pathOf(const std::string &key) const;
    /** Reports the keys that no getter asked for. */
    void finish();

private:
    const nlohmann::json *find(const std::string &key, presence needed);

    const nlohmann::json &m_value;
    std::string m_path;
    problem_list &m_problems;
    std::vector<std::string> m_known;
};

}
