#pragma once

#include "requestbatch.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace crocusdeal
{

/** A statement that a caller prepared. */
struct prepared_statement {
    std::string text;
    std::string parameterTypes; ///< The rest of the Parse message after the text, as received.
    std::string targetName; ///< The name under which target connections hold it; empty for the unnamed one.
};

/** What the target is expected to answer, in order. */
enum class expected_reply {
    Parse,
    InjectedParse, ///< The answer to a Parse that the caller did not send; not forwarded.
    LocalParse, ///< The connection holds the statement already; the answer is made here.
    LocalClose, ///< The statement stays on the connection; the answer is made here.
    Bind,
    Close,
    Describe,
    Execute,
    Sync,
};

/** A batch as it is sent to one target connection. */
struct translated_batch {
    std::string bytes;
    std::deque<expected_reply> replies;
    /** Statements that the connection holds once their Parse succeeded, in the order of Parse and InjectedParse. */
    std::deque<std::string> newNames;
};

/**
 * The prepared statements of one session.
 *
 * Target connections change from transaction to transaction, so a statement is held there under a name made of its
 * text and types, and is prepared again where it is missing.
 */
class statement_map
{
public:
    /** Takes up the statements that @p batch prepares and forgets those that it closes. */
    void apply(const request_batch &batch);
    const prepared_statement *find(const std::string &name) const;
    bool empty() const;

    /** Writes @p batch for a connection that holds @p held and whose unnamed statement is @p unnamed. */
    translated_batch translate(const request_batch &batch,
                               const std::unordered_set<std::string> &held,
                               std::string_view unnamed) const;

private:
    std::unordered_map<std::string, prepared_statement> m_statements;
};

/** The rest of a Parse message after name and text. */
std::string_view parseTypes(std::string_view parseFrame);

}
