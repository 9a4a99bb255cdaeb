#include "sqltokens.h"

#include "sqlerror.h"

#include <cctype>
#include <utility>

namespace crocusdeal
{

namespace
{

bool isWordStart(char c)
{
    return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_' || (static_cast<unsigned char>(c) & 0x80U) != 0;
}

bool isDigit(char c)
{
    return std::isdigit(static_cast<unsigned char>(c)) != 0;
}

class tokenizer
{
public:
    explicit tokenizer(std::string_view text)
        : m_text(text)
    {
    }

    std::vector<sql_token> run()
    {
        for (skipBlank(); m_at < m_text.size(); skipBlank()) {
            readToken();
        }
        return std::move(m_tokens);
    }

private:
    char peek(std::size_t ahead = 0) const
    {
        return m_at + ahead < m_text.size() ? m_text[m_at + ahead] : '\0';
    }

    void add(token_kind kind, std::string text)
    {
        sql_token token{kind, std::move(text), {}};
        if (kind == token_kind::Word) {
            token.lower = token.text;
            for (auto &c : token.lower) {
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            }
        }
        m_tokens.push_back(std::move(token));
    }

    void skipBlank()
    {
        while (m_at < m_text.size()) {
            if (std::isspace(static_cast<unsigned char>(peek())) != 0) {
                ++m_at;
            } else if (peek() == '-' && peek(1) == '-') {
                const auto end = m_text.find('\n', m_at);
                m_at = end == std::string_view::npos ? m_text.size() : end + 1;
            } else if (peek() == '/' && peek(1) == '*') {
                skipBlockComment();
            } else {
                return;
            }
        }
    }

    void skipBlockComment()
    {
        int depth = 0;
        do {
            if (m_at >= m_text.size()) {
                throw sql_error("42601", "unterminated /* comment");
            }
            const bool opens = peek() == '/' && peek(1) == '*';
            const bool closes = peek() == '*' && peek(1) == '/';
            depth += opens ? 1 : closes ? -1 : 0;
            m_at += opens || closes ? 2 : 1;
        } while (depth > 0);
    }

    void readToken()
    {
        const char c = peek();
        if (c == '\'') {
            readQuoted('\'', token_kind::String, false);
        } else if (c == '"') {
            readQuoted('"', token_kind::QuotedName, false);
        } else if ((c == 'E' || c == 'e') && peek(1) == '\'') {
            ++m_at;
            readQuoted('\'', token_kind::String, true);
        } else if (isWordStart(c)) {
            readWhile(token_kind::Word, [](char x) { return isWordStart(x) || isDigit(x) || x == '$'; });
        } else if (isDigit(c) || (c == '.' && isDigit(peek(1)))) {
            readNumber();
        } else if (c == '$') {
            readDollar();
        } else {
            readSymbol();
        }
    }

    template<typename Predicate>
    void readWhile(token_kind kind, Predicate belongs)
    {
        const auto begin = m_at;
        while (m_at < m_text.size() && belongs(m_text[m_at])) {
            ++m_at;
        }
        add(kind, std::string(m_text.substr(begin, m_at - begin)));
    }

    void readNumber()
    {
        const auto begin = m_at;
        while (isDigit(peek()) || peek() == '.') {
            ++m_at;
        }
        const bool exponent = (peek() == 'e' || peek() == 'E')
            && (isDigit(peek(1)) || ((peek(1) == '-' || peek(1) == '+') && isDigit(peek(2))));
        if (exponent) {
            m_at += 2;
            while (isDigit(peek())) {
                ++m_at;
            }
        }
        add(token_kind::Number, std::string(m_text.substr(begin, m_at - begin)));
    }

    void readQuoted(char quote, token_kind kind, bool escapes)
    {
        std::string value;
        for (++m_at;; ++m_at) {
            if (m_at >= m_text.size()) {
                throw sql_error("42601", "unterminated quoted string");
            }
            if (escapes && peek() == '\\') {
                ++m_at;
                value.push_back(peek() == 'n' ? '\n' : peek() == 't' ? '\t' : peek());
            } else if (peek() == quote && peek(1) == quote) {
                ++m_at;
                value.push_back(quote);
            } else if (peek() == quote) {
                break;
            } else {
                value.push_back(peek());
            }
        }
        ++m_at;
        add(kind, std::move(value));
    }

    void readDollar()
    {
        if (isDigit(peek(1))) {
            ++m_at;
            readWhile(token_kind::Parameter, isDigit);
            return;
        }
        const auto tagEnd = m_text.find('$', m_at + 1);
        if (tagEnd == std::string_view::npos) {
            throw sql_error("42601", "syntax error at or near \"$\"");
        }
        const auto tag = m_text.substr(m_at, tagEnd - m_at + 1);
        const auto end = m_text.find(tag, tagEnd + 1);
        if (end == std::string_view::npos) {
            throw sql_error("42601", "unterminated dollar-quoted string");
        }
        add(token_kind::String, std::string(m_text.substr(tagEnd + 1, end - tagEnd - 1)));
        m_at = end + tag.size();
    }

    void readSymbol()
    {
        static constexpr std::string_view pairs[] = {"::", "<=", ">=", "<>", "!=", "||", "->"};
        for (const auto pair : pairs) {
            if (m_text.substr(m_at, pair.size()) == pair) {
                add(token_kind::Symbol, std::string(pair));
                m_at += pair.size();
                return;
            }
        }
        add(token_kind::Symbol, std::string(1, peek()));
        ++m_at;
    }

    std::string_view m_text;
    std::size_t m_at = 0;
    std::vector<sql_token> m_tokens;
};

}

std::vector<sql_token> tokenize(std::string_view text)
{
    return tokenizer(text).run();
}

std::string quoteLiteral(std::string_view text)
{
    std::string quoted = "'";
    for (const char c : text) {
        quoted.append(c == '\'' ? 2 : 1, c);
    }
    return quoted + '\'';
}

}
