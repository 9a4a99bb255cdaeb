#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

enum class statement_kind {
    Empty,
    Read,
    Write,
    Begin,
    Commit,
    Rollback,
    Savepoint, ///< Also RELEASE and ROLLBACK TO.
    Set,
    Show,
    Discard,
    Deallocate,
    Accepted, ///< Answered with its tag and otherwise ignored.
    GroupControl,
    StandinControl,
};

/** One statement, translated to SQLite where SQLite runs it. */
struct parsed_statement {
    statement_kind kind = statement_kind::Empty;
    std::string sql;
    std::string tag; ///< Command tag without counts.
    std::string name; ///< Parameter, function or prepared statement, by kind.
    std::vector<std::string> arguments;
    int parameters = 0; ///< Highest $n.
    bool snapshot = false; ///< BEGIN with REPEATABLE READ or SERIALIZABLE.
    bool temporary = false; ///< Temporary tables are not replicated.
};

using statement_ptr = std::shared_ptr<const parsed_statement>;

/** Splits a script at its semicolons and translates each statement; throws sql_error. */
std::vector<statement_ptr> parseScript(std::string_view script);

}
