#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

enum class token_kind {
    Word,
    QuotedName,
    String, ///< Text without quotes, escapes resolved.
    Number,
    Parameter, ///< Text is the number of $n.
    Symbol,
};

struct sql_token {
    token_kind kind = token_kind::Symbol;
    std::string text;
    std::string lower; ///< Lower case text of a word.

    bool is(std::string_view word) const
    {
        return (kind == token_kind::Word && lower == word) || (kind == token_kind::Symbol && text == word);
    }
};

/** Cuts PostgreSQL text into tokens without comments; throws sql_error 42601. */
std::vector<sql_token> tokenize(std::string_view text);

/** A string literal with its quotes doubled. */
std::string quoteLiteral(std::string_view text);

}
