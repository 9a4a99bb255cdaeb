#pragma once

#include "nametable.h"

#include <string>

namespace crocusdeal
{

enum class statement_kind {
    Begin,
    BeginRead,
    Commit,
    Rollback,
    Read,
    Write,
    Set,
    Prepare,
    Execute,
    Deallocate,
    Malformed,
};

inline constexpr auto statementKindNames = makeNameTable<statement_kind>("begin",
                                                                         "begin_read",
                                                                         "commit",
                                                                         "rollback",
                                                                         "read",
                                                                         "write",
                                                                         "set",
                                                                         "prepare",
                                                                         "execute",
                                                                         "deallocate",
                                                                         "malformed");

/** What a prepared statement does when it is executed. */
enum class effect {
    Read,
    Write,
};

/** One statement of a caller. */
struct statement {
    statement_kind kind = statement_kind::Malformed;
    std::string text; ///< As the caller sent it.
    std::string name; ///< Of the session value or of the prepared statement.
    std::string argument; ///< Value of Set, shape of Prepare, item and data of Execute.
    effect preparedEffect = effect::Read; ///< Of Prepare.
};

/** A prepared statement by its content; names of callers collide, contents do not. */
struct prepared_shape {
    effect kind = effect::Read;
    std::string shape;

    friend auto operator<=>(const prepared_shape &, const prepared_shape &) = default;
};

}
