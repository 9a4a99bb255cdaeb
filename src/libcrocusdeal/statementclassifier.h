#pragma once

#include "nametable.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** What has to be done with a statement text. */
enum class statement_class {
    Empty,
    ProxySetting, ///< SET, SHOW or RESET of crocusdeal.*; answered by the proxy itself.
    Read,
    TransactionControl, ///< SAVEPOINT, RELEASE, ROLLBACK TO, SET LOCAL, SET TRANSACTION: bound to an open transaction.
    BeginReadOnly,
    Begin,
    Commit, ///< Also PREPARE TRANSACTION.
    Rollback,
    Write,
    SessionState, ///< Leaves state in the server session; pins the connection and runs on the primary.
    Copy, ///< Rejected.
    Invalid, ///< Syntax error: sent to the primary so that the database reports it.
};

inline constexpr auto statementClassNames = makeNameTable<statement_class>("empty",
                                                                           "proxy setting",
                                                                           "read",
                                                                           "transaction control",
                                                                           "begin read only",
                                                                           "begin",
                                                                           "commit",
                                                                           "rollback",
                                                                           "write",
                                                                           "session state",
                                                                           "copy",
                                                                           "invalid");

enum class setting_action {
    Set,
    Show,
    Reset, ///< RESET and SET ... TO DEFAULT.
};

/** One SET, SHOW or RESET of a parameter of the proxy. */
struct proxy_setting {
    setting_action action = setting_action::Set;
    std::string name; ///< In lower case, with the prefix "crocusdeal.".
    std::string value; ///< Only of Set.
    bool local = false; ///< SET LOCAL: until the end of the transaction.

    friend bool operator==(const proxy_setting &, const proxy_setting &) = default;
};

/** The result of classifying one statement text, which may hold several statements. */
struct statement_info {
    statement_class cls = statement_class::Empty;
    std::uint64_t fingerprint = 0; ///< 0 if the text has a syntax error.
    std::vector<std::string> tables; ///< Tables named by the text, as "schema.table" or "table", sorted.
    bool tablesComplete = true; ///< False if the list of tables was cut off or the text was not parsed.
    std::vector<proxy_setting>
        settings; ///< In the order of the text. Also filled if other statements stand beside them.
    bool returnsRows = false; ///< The last statement returns rows.
    bool multi = false; ///< More than one statement.
    bool endsTransaction = false; ///< Holds a COMMIT, ROLLBACK or PREPARE TRANSACTION.
    bool discardsState = false; ///< DISCARD ALL alone: the session state it pins for is gone when it succeeds.
};

/** Longer texts are not parsed; they are classified by their first word. */
inline constexpr std::size_t maxParsedTextBytes = 16384;

/**
 * Classifies @p text by the PostgreSQL 15 grammar (libpg_query). Errs towards the primary: unknown functions, row locks
 * and anything that is not understood count as writes. If several statements are in the text, the strongest class in
 * the order of the enumeration holds, and transaction control among them counts as Write.
 *
 * Operators, casts and views are taken to be harmless. A replica refuses a write that hides behind one (25006), so such
 * a statement can be sent to the primary afterwards.
 */
statement_info classifyStatement(std::string_view text);

}
