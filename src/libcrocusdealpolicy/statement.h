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

/** Whether executing a prepared statement reads or writes. */
enum class effect {
    Read,
    Write,
};

/** A parsed statement of a caller. */
struct statement {
    statement_kind kind = statement_kind::Malformed;
    std::string text; ///< As the caller sent it.
    std::string name; ///< Of the session value or of the prepared statement.
    std::string argument; ///< The value for Set, the shape for Prepare, the item and data for Execute.
    effect preparedEffect = effect::Read; ///< For Prepare.
};

/** A prepared statement identified by its content, because different callers use the same name for different ones. */
struct prepared_shape {
    effect kind = effect::Read;
    std::string shape;

    friend auto operator<=>(const prepared_shape &, const prepared_shape &) = default;
};

}
