#pragma once

#include "statement.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** The values and prepared statements that a caller was told are set. */
struct session_values {
    std::map<std::string, std::string> values;
    std::map<std::string, prepared_shape> prepared; ///< By the caller's name.
};

/** One step that brings a target connection to the values of a session. */
struct preparation_step {
    enum step_kind { Discard, Set, Prepare };

    step_kind kind = Discard;
    std::string name; ///< Of the value, or of the statement on this connection.
    std::string value; ///< Or the shape.
    effect preparedEffect = effect::Read;
};

/** What a target connection holds, and what it takes to serve another session on it. */
class connection_values
{
public:
    /**
     * The steps that give the connection the values of @p session and, if there is one, the statement @p needed; they
     * count as done at once. Within a transaction nothing is discarded: the connection serves that session only, and
     * the values of a session only grow.
     */
    std::vector<preparation_step> prepareFor(const session_values &session,
                                             const prepared_shape *needed,
                                             bool isInTransaction);
    /** The name on this connection of a statement that prepareFor() has put there. */
    const std::string &nameOf(const prepared_shape &prepared) const;

private:
    bool mustDiscard(const session_values &session) const;

    std::map<std::string, std::string> m_values;
    std::map<prepared_shape, std::string> m_names;
};

}
