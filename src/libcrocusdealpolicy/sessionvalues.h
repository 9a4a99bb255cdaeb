#pragma once

#include "statement.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** The session values and prepared statements whose setting was acknowledged to the caller. */
struct session_values {
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_shape> prepared; ///< By the name that the caller gave.
};

/** One step in giving a target connection the state of a session. */
struct setup_step {
    enum step_kind { Discard, Set, Prepare };

    step_kind kind = Discard;
    std::string name; ///< Of the session value for Set; of the statement on this connection for Prepare.
    std::string value; ///< The value for Set, the shape for Prepare.
    effect preparedEffect = effect::Read;
};

/** The session values and prepared statements that are set on a target connection shared by sessions. */
class connection_values
{
public:
    /**
     * Returns the steps that give the connection the values of @p session and, if not null, the prepared statement
     * @p needed, and records them as done. Within a transaction nothing is discarded: the connection serves only that
     * session then, and a session never removes a value.
     */
    std::vector<setup_step> setUpFor(const session_values &session, const prepared_shape *needed, bool isInTransaction);
    /** The name on this connection of a statement that setUpFor() has prepared. */
    const std::string &preparedName(const prepared_shape &prepared) const;

private:
    bool needsDiscard(const session_values &session) const;

    std::map<std::string, std::string> m_values;
    std::map<prepared_shape, std::string> m_preparedNames;
};

}
