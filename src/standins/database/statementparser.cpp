#include "statementparser.h"

#include "sqlerror.h"
#include "sqltokens.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <span>

namespace crocusdeal
{

namespace
{

using tokens = std::span<const sql_token>;

std::string upper(std::string text)
{
    for (auto &c : text) {
        c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return text;
}

bool contains(tokens all, std::string_view word)
{
    return std::any_of(all.begin(), all.end(), [word](const auto &t) { return t.is(word); });
}

bool wordAt(tokens all, std::size_t index, std::string_view word)
{
    return index < all.size() && all[index].is(word);
}

/** Index after the type name that follows a "::" at @p index. */
std::size_t skipCast(tokens all, std::size_t index)
{
    std::size_t next = index + 2;
    while (next < all.size() && (all[next].is("precision") || all[next].is("varying"))) {
        ++next;
    }
    for (const auto &[open, close] : {std::pair{"(", ")"}, std::pair{"[", "]"}}) {
        if (wordAt(all, next, open)) {
            while (next < all.size() && !all[next].is(close)) {
                ++next;
            }
            ++next;
        }
    }
    return next;
}

/** SQLite's word for a PostgreSQL word. */
std::string translateWord(const sql_token &token)
{
    static constexpr std::array<std::pair<std::string_view, std::string_view>, 7> words = {{
        {"serial", "INTEGER"},
        {"bigserial", "INTEGER"},
        {"ilike", "LIKE"},
        {"greatest", "max"},
        {"least", "min"},
        {"bytea", "BLOB"},
        {"timestamptz", "TEXT"},
    }};
    for (const auto &[from, to] : words) {
        if (token.lower == from) {
            return std::string(to);
        }
    }
    return token.text;
}

std::string translateToken(const sql_token &token)
{
    switch (token.kind) {
    case token_kind::Word:
        return translateWord(token);
    case token_kind::QuotedName: {
        std::string quoted = "\"";
        for (const char c : token.text) {
            quoted.append(c == '"' ? 2 : 1, c);
        }
        return quoted + '"';
    }
    case token_kind::String:
        return quoteLiteral(token.text);
    case token_kind::Parameter:
        return '?' + token.text;
    default:
        return token.text;
    }
}

bool startsRowLock(tokens all, std::size_t index)
{
    return wordAt(all, index, "for")
        && (wordAt(all, index + 1, "update") || wordAt(all, index + 1, "share") || wordAt(all, index + 1, "no"));
}

std::string translate(tokens all)
{
    std::string sql;
    std::size_t index = 0;
    while (index < all.size()) {
        if (all[index].is("::")) {
            index = skipCast(all, index);
            continue;
        }
        if (startsRowLock(all, index)) {
            break;
        }
        if (!sql.empty() && !all[index].is("(") && !all[index].is(".") && sql.back() != '.') {
            sql.push_back(' ');
        }
        sql += translateToken(all[index++]);
    }
    return sql;
}

int highestParameter(tokens all)
{
    int highest = 0;
    for (const auto &token : all) {
        if (token.kind == token_kind::Parameter) {
            highest = std::max(highest, std::stoi(token.text.substr(0, 5)));
        }
    }
    return highest;
}

/** The arguments of a call whose name stands at @p index: literals and numbers only. */
std::vector<std::string> readArguments(tokens all, std::size_t index)
{
    std::vector<std::string> arguments;
    if (!wordAt(all, index + 1, "(")) {
        throw sql_error("42601", "syntax error: expected \"(\" after " + all[index].text);
    }
    for (std::size_t i = index + 2; i < all.size() && !all[i].is(")"); ++i) {
        if (all[i].kind == token_kind::String || all[i].kind == token_kind::Number) {
            arguments.push_back(all[i].text);
        } else if (!all[i].is(",")) {
            throw sql_error("42601", "syntax error at or near \"" + all[i].text + "\"");
        }
    }
    return arguments;
}

bool isControlFunction(tokens all, std::size_t index, std::string_view prefix)
{
    return index < all.size() && all[index].kind == token_kind::Word && all[index].lower.rfind(prefix, 0) == 0
        && wordAt(all, index + 1, "(");
}

void parseSelect(tokens all, parsed_statement &statement)
{
    const bool group = wordAt(all, 1, "*") && wordAt(all, 2, "from") && isControlFunction(all, 3, "group_");
    const bool standin = isControlFunction(all, 1, "standin_");
    if (group || standin) {
        const std::size_t at = group ? 3 : 1;
        statement.kind = group ? statement_kind::GroupControl : statement_kind::StandinControl;
        statement.name = all[at].lower;
        statement.arguments = readArguments(all, at);
        return;
    }
    statement.kind = statement_kind::Read;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (startsRowLock(all, i)) {
            statement.kind = statement_kind::Write;
        }
    }
}

void parseBegin(tokens all, parsed_statement &statement)
{
    statement.kind = statement_kind::Begin;
    statement.snapshot = contains(all, "serializable") || contains(all, "repeatable");
    statement.tag = all[0].is("start") ? "START TRANSACTION" : "BEGIN";
}

void parseRollback(tokens all, parsed_statement &statement)
{
    const auto to = std::find_if(all.begin(), all.end(), [](const auto &t) { return t.is("to"); });
    statement.kind = statement_kind::Rollback;
    if (to != all.end()) {
        statement.kind = statement_kind::Savepoint;
        statement.sql = "ROLLBACK TO " + translateToken(all.back());
    }
}

void parseSet(tokens all, parsed_statement &statement)
{
    statement.kind = statement_kind::Set;
    std::size_t at = 1;
    if (wordAt(all, at, "session") || wordAt(all, at, "local")) {
        ++at;
    }
    if (wordAt(all, at, "transaction") || wordAt(all, at, "characteristics")) {
        return;
    }
    while (at < all.size() && !all[at].is("=") && !all[at].is("to")) {
        statement.name += all[at].kind == token_kind::Word ? all[at].lower : all[at].text;
        ++at;
    }
    std::string value;
    for (++at; at < all.size(); ++at) {
        value += all[at].text;
    }
    statement.arguments = {value};
}

void parseShow(tokens all, parsed_statement &statement)
{
    statement.kind = statement_kind::Show;
    for (std::size_t i = 1; i < all.size(); ++i) {
        statement.name += all[i].kind == token_kind::Word ? all[i].lower : all[i].text;
    }
    if (statement.name == "transactionisolationlevel") {
        statement.name = "transaction_isolation";
    }
}

void parseDataDefinition(tokens all, parsed_statement &statement)
{
    statement.kind = statement_kind::Write;
    std::size_t at = 1;
    while (wordAt(all, at, "temp") || wordAt(all, at, "temporary") || wordAt(all, at, "unique")
           || wordAt(all, at, "unlogged") || wordAt(all, at, "or") || wordAt(all, at, "replace")) {
        statement.temporary = statement.temporary || wordAt(all, at, "temp") || wordAt(all, at, "temporary");
        ++at;
    }
    if (at < all.size()) {
        statement.tag += ' ' + upper(all[at].text);
    }
    if (statement.temporary) {
        statement.kind = statement_kind::Read;
    }
}

void parseDeallocate(tokens all, parsed_statement &statement)
{
    statement.kind = statement_kind::Deallocate;
    if (!all.back().is("all")) {
        statement.name = all.back().text;
    }
    statement.tag = statement.name.empty() ? "DEALLOCATE ALL" : "DEALLOCATE";
}

void parseTransactionWord(tokens all, parsed_statement &statement)
{
    const auto &first = all[0].lower;
    if (first == "begin" || first == "start") {
        parseBegin(all, statement);
    } else if (first == "commit" || first == "end") {
        statement.kind = statement_kind::Commit;
        statement.tag = "COMMIT";
    } else if (first == "rollback" || first == "abort") {
        statement.tag = "ROLLBACK";
        parseRollback(all, statement);
    } else {
        statement.kind = statement_kind::Savepoint;
        statement.sql = upper(first) + ' ' + translateToken(all.back());
    }
}

bool isAnyOf(std::string_view word, std::initializer_list<std::string_view> words)
{
    return std::find(words.begin(), words.end(), word) != words.end();
}

void classify(tokens all, parsed_statement &statement)
{
    const auto &first = all[0].lower;
    statement.tag = upper(first);
    if (isAnyOf(first, {"select", "values", "table"})) {
        statement.tag = "SELECT";
        parseSelect(all, statement);
    } else if (first == "with") {
        const bool writes = contains(all, "insert") || contains(all, "update") || contains(all, "delete");
        statement.kind = writes ? statement_kind::Write : statement_kind::Read;
        statement.tag = contains(all, "insert") ? "INSERT 0"
            : contains(all, "update")           ? "UPDATE"
            : contains(all, "delete")           ? "DELETE"
                                                : "SELECT";
    } else if (isAnyOf(first, {"insert", "update", "delete"})) {
        statement.kind = statement_kind::Write;
        statement.tag = first == "insert" ? "INSERT 0" : upper(first);
    } else if (isAnyOf(first, {"begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release"})) {
        parseTransactionWord(all, statement);
    } else if (isAnyOf(first, {"create", "drop", "alter"})) {
        parseDataDefinition(all, statement);
    } else if (first == "set" || first == "reset") {
        parseSet(all, statement);
    } else if (first == "show") {
        parseShow(all, statement);
    } else if (first == "discard") {
        statement.kind = statement_kind::Discard;
        statement.tag = "DISCARD ALL";
    } else if (first == "deallocate") {
        parseDeallocate(all, statement);
    } else if (isAnyOf(first, {"listen", "unlisten", "notify", "vacuum", "analyze", "lock"})) {
        statement.kind = statement_kind::Accepted;
        statement.tag = first == "lock" ? "LOCK TABLE" : upper(first);
    } else if (first == "truncate") {
        statement.kind = statement_kind::Write;
        statement.tag = "TRUNCATE TABLE";
    } else if (first == "copy") {
        throw sql_error("0A000", "COPY is not supported");
    } else {
        throw sql_error("42601", "syntax error at or near \"" + all[0].text + "\"");
    }
}

statement_ptr parseStatement(tokens all)
{
    auto statement = std::make_shared<parsed_statement>();
    if (all.empty()) {
        return statement;
    }
    classify(all, *statement);
    statement->parameters = highestParameter(all);
    if (all[0].is("truncate")) {
        statement->sql = "DELETE FROM " + translate(all.subspan(wordAt(all, 1, "table") ? 2 : 1));
    } else if (all[0].is("table")) {
        statement->sql = "SELECT * FROM " + translate(all.subspan(1));
    } else if (statement->kind == statement_kind::Read || statement->kind == statement_kind::Write) {
        statement->sql = translate(all);
    }
    return statement;
}

}

std::vector<statement_ptr> parseScript(std::string_view script)
{
    const auto all = tokenize(script);
    std::vector<statement_ptr> statements;
    std::size_t begin = 0;
    for (std::size_t i = 0; i <= all.size(); ++i) {
        if (i < all.size() && !all[i].is(";")) {
            continue;
        }
        if (i > begin) {
            statements.push_back(parseStatement(tokens(all).subspan(begin, i - begin)));
        }
        begin = i + 1;
    }
    return statements;
}

}
