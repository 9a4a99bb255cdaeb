#pragma once

#include <string_view>

namespace crocusdeal
{

/** What a call of a database function does beyond returning a value. */
enum class function_effect {
    Harmless, ///< Changes nothing; may run on a replica.
    Writes, ///< Writes, or is not known to be harmless.
    ChangesSession, ///< Leaves state in the server session, which later statements depend on.
};

/** The effect of the function @p name of schema pg_catalog, in lower case. Functions that are not listed write. */
function_effect functionEffect(std::string_view name);

}
