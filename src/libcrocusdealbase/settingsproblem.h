#pragma once

#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** One fault in a settings or service file. */
struct settings_problem {
    std::string file;
    std::string key; ///< The path within the file, such as "targets[1].address"; empty for the whole file.
    std::string message; ///< What was expected, or what is wrong.

    friend bool operator==(const settings_problem &, const settings_problem &) = default;
};

/** "FILE: KEY: MESSAGE", without the key if it is empty. */
std::string toString(const settings_problem &problem);

/** The outcome of reading a file: a value, or at least one problem. */
template<typename T>
struct settings_result {
    std::optional<T> value;
    std::vector<settings_problem> problems;
};

/** The name among @p known that is likely meant by @p name; empty if none is near. */
std::string nearestName(const std::string &name, const std::vector<std::string> &known);

}
