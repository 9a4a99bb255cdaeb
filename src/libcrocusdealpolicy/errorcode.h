#pragma once

#include "nametable.h"

namespace crocusdeal
{

/** The error codes of failed statements, in the protocols of callers and of targets. */
enum class error_code {
    Busy,
    Aborted,
    Lagging,
    ReadOnly,
    WrongTarget,
    ConnectionLimit,
    NoSuchStatement,
    UnknownDatabase,
    Malformed,
    TooLarge,
    AuthenticationFailed,
    Failed,
    Timeout,
    InDoubt,
    Other, ///< Any code that this version does not know.
};

inline constexpr auto errorCodeNames = makeNameTable<error_code>("busy",
                                                                 "aborted",
                                                                 "lagging",
                                                                 "read_only",
                                                                 "wrong_target",
                                                                 "connection_limit",
                                                                 "no_such_statement",
                                                                 "unknown_database",
                                                                 "malformed",
                                                                 "too_large",
                                                                 "authentication_failed",
                                                                 "failed",
                                                                 "timeout",
                                                                 "in_doubt",
                                                                 "other");

/** Whether this code means that the target has not run the statement, so that it is safe to send it again. */
constexpr bool hasNotRun(error_code code)
{
    switch (code) {
    case error_code::Busy:
    case error_code::Lagging:
    case error_code::ReadOnly:
    case error_code::WrongTarget:
    case error_code::ConnectionLimit:
    case error_code::NoSuchStatement:
        return true;
    default:
        return false;
    }
}

}
