#include "statementclassifier.h"

#include "functioneffect.h"

#include <nlohmann/json.hpp>
#include <pg_query.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <optional>

namespace crocusdeal
{

namespace
{

using json = nlohmann::json;

constexpr std::string_view settingPrefix = "crocusdeal.";
// A hostile text must not make an entry of the statement cache large.
constexpr std::size_t maxTables = 64;
// Bounds the recursion over the parse tree. "1+1+1..." in a text of the greatest parsed length is 16,000 levels deep.
constexpr int maxDepth = 2000;
constexpr int cursorWithHold = 0x20; // CURSOR_OPT_HOLD in PostgreSQL's parsenodes.h

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
    });
    return lower;
}

const json *child(const json &node, const char *name)
{
    if (!node.is_object()) {
        return nullptr;
    }
    const auto found = node.find(name);
    return found == node.end() ? nullptr : &*found;
}

/** The child @p name, or an empty object. */
const json &objectAt(const json &node, const char *name)
{
    static const json empty = json::object();
    const auto *found = child(node, name);
    return found ? *found : empty;
}

std::string stringAt(const json &node, const char *name)
{
    const auto *value = child(node, name);
    return value && value->is_string() ? value->get<std::string>() : std::string();
}

bool flagAt(const json &node, const char *name)
{
    const auto *value = child(node, name);
    return value && value->is_boolean() && value->get<bool>();
}

/** The text of a constant. libpg_query leaves out values that are zero or empty. */
std::string constantText(const json &node)
{
    const auto *constant = child(node, "A_Const");
    if (!constant) {
        return {};
    }
    if (const auto *value = child(*constant, "sval")) {
        return stringAt(*value, "sval");
    }
    if (const auto *value = child(*constant, "fval")) {
        return stringAt(*value, "fval");
    }
    if (const auto *value = child(*constant, "boolval")) {
        return flagAt(*value, "boolval") ? "on" : "off";
    }
    const auto *value = child(*constant, "ival");
    const auto *number = value ? child(*value, "ival") : nullptr;
    return number ? std::to_string(number->get<std::int64_t>()) : "0";
}

/** Collects tables and effects from a parse tree. */
class tree_visitor
{
public:
    explicit tree_visitor(statement_info &info)
        : m_info(info)
    {
    }

    statement_class cls() const
    {
        return m_changesSession ? statement_class::SessionState
            : m_writes          ? statement_class::Write
                                : statement_class::Read;
    }

    void visit(const json &node, int depth = 0)
    {
        if (depth > maxDepth) {
            // What lies deeper is not known; a pinned connection to the primary serves any statement correctly.
            m_changesSession = true;
            m_info.tablesComplete = false;
            return;
        }
        if (const auto *array = node.get_ptr<const json::array_t *>()) {
            for (const auto &element : *array) {
                visit(element, depth + 1);
            }
        } else if (const auto *object = node.get_ptr<const json::object_t *>()) {
            visitObject(node, *object, depth);
        }
    }

    void addWrite()
    {
        m_writes = true;
    }

private:
    void visitObject(const json &node, const json::object_t &members, int depth)
    {
        const auto outerScope = m_commonTables.size();
        if (const auto *with = child(node, "withClause")) {
            openScope(*with, depth);
        }
        for (const auto &[key, value] : members) {
            if (key == "relname") {
                addTable(node);
            } else if (key == "funcname" && value.is_array()) {
                addFunction(node, value);
            } else if (isWriteKey(key)) {
                m_writes = true;
            }
            if (value.is_structured() && key != "withClause") {
                visit(value, depth + 1);
            }
        }
        m_commonTables.resize(outerScope);
    }

    static bool isWriteKey(std::string_view key)
    {
        return key == "InsertStmt" || key == "UpdateStmt" || key == "DeleteStmt" || key == "MergeStmt"
            || key == "lockingClause" || key == "intoClause";
    }

    /** The name of a common table expression hides a table of that name, but not inside earlier expressions. */
    void openScope(const json &with, int depth)
    {
        const auto *expressions = child(with, "ctes");
        if (!expressions) {
            return;
        }
        const bool recursive = flagAt(with, "recursive");
        for (const auto &expression : *expressions) {
            if (recursive) {
                m_commonTables.push_back(stringAt(objectAt(expression, "CommonTableExpr"), "ctename"));
            }
        }
        for (const auto &expression : *expressions) {
            visit(expression, depth + 1);
            if (!recursive) {
                m_commonTables.push_back(stringAt(objectAt(expression, "CommonTableExpr"), "ctename"));
            }
        }
    }

    void addTable(const json &relation)
    {
        const auto schema = stringAt(relation, "schemaname");
        const auto name = stringAt(relation, "relname");
        if (stringAt(relation, "relpersistence") == "t" || schema.starts_with("pg_temp")) {
            m_changesSession = true;
        }
        if (schema.empty() && std::find(m_commonTables.begin(), m_commonTables.end(), name) != m_commonTables.end()) {
            return;
        }
        if (m_info.tables.size() >= maxTables) {
            m_info.tablesComplete = false;
            return;
        }
        m_info.tables.push_back(schema.empty() ? name : schema + '.' + name);
    }

    void addFunction(const json &call, const json &name)
    {
        const bool builtIn = name.size() == 1
            || (name.size() == 2 && stringAt(objectAt(name.front(), "String"), "sval") == "pg_catalog");
        const auto function = builtIn ? stringAt(objectAt(name.back(), "String"), "sval") : std::string();
        switch (functionEffect(function)) {
        case function_effect::Harmless:
            return;
        case function_effect::Writes:
            m_writes = true;
            return;
        case function_effect::ChangesSession:
            m_writes = true;
            // set_config(name, value, true) lasts until the end of the transaction only.
            m_changesSession = m_changesSession || !(function == "set_config" && isThirdArgumentTrue(call));
            return;
        }
    }

    static bool isThirdArgumentTrue(const json &call)
    {
        const auto *arguments = child(call, "args");
        return arguments && arguments->size() == 3 && constantText(arguments->back()) == "on";
    }

    statement_info &m_info;
    std::vector<std::string> m_commonTables;
    bool m_writes = false;
    bool m_changesSession = false;
};

statement_class classifyStatementNode(const std::string &kind, const json &node, statement_info &info);

statement_class classifyTransaction(const json &node, statement_info &info)
{
    const auto kind = stringAt(node, "kind");
    if (kind == "TRANS_STMT_BEGIN" || kind == "TRANS_STMT_START") {
        bool readOnly = false;
        for (const auto &option : objectAt(node, "options")) {
            const json &element = objectAt(option, "DefElem");
            if (stringAt(element, "defname") == "transaction_read_only") {
                readOnly = constantText(objectAt(element, "arg")) != "0";
            }
        }
        return readOnly ? statement_class::BeginReadOnly : statement_class::Begin;
    }
    if (kind == "TRANS_STMT_COMMIT" || kind == "TRANS_STMT_PREPARE") {
        info.endsTransaction = true;
        return statement_class::Commit;
    }
    if (kind == "TRANS_STMT_ROLLBACK") {
        info.endsTransaction = true;
        return statement_class::Rollback;
    }
    if (kind == "TRANS_STMT_COMMIT_PREPARED" || kind == "TRANS_STMT_ROLLBACK_PREPARED") {
        return statement_class::Write;
    }
    return statement_class::TransactionControl;
}

statement_class classifySet(const json &node, statement_info &info)
{
    const auto name = lowerCase(stringAt(node, "name"));
    const auto kind = stringAt(node, "kind");
    const bool local = flagAt(node, "is_local");
    if (name.starts_with(settingPrefix)) {
        proxy_setting setting{setting_action::Reset, name, {}, local};
        if (kind == "VAR_SET_VALUE") {
            const json &arguments = objectAt(node, "args");
            setting.action = setting_action::Set;
            setting.value = arguments.empty() ? std::string() : constantText(arguments.front());
        }
        info.settings.push_back(std::move(setting));
        return statement_class::ProxySetting;
    }
    const bool ofTransaction = kind == "VAR_SET_MULTI" && name == "transaction";
    return local || ofTransaction ? statement_class::TransactionControl : statement_class::SessionState;
}

statement_class classifyShow(const json &node, statement_info &info)
{
    info.returnsRows = true;
    const auto name = lowerCase(stringAt(node, "name"));
    if (!name.starts_with(settingPrefix)) {
        return statement_class::Read;
    }
    info.settings.push_back({setting_action::Show, name, {}, false});
    return statement_class::ProxySetting;
}

bool isExplainAnalyze(const json &node)
{
    for (const auto &option : objectAt(node, "options")) {
        const json &element = objectAt(option, "DefElem");
        if (stringAt(element, "defname") != "analyze") {
            continue;
        }
        const json &argument = objectAt(element, "arg");
        const auto word = lowerCase(stringAt(objectAt(argument, "String"), "sval"));
        const auto *number = child(argument, "Integer"); // Zero has no value in it.
        return word != "false" && word != "off" && !(number && number->empty());
    }
    return false;
}

/** The class of a statement within another one, as in EXPLAIN and DECLARE. */
statement_class classifyInner(const json &node, statement_info &info)
{
    const json &query = objectAt(node, "query");
    if (query.empty()) {
        return statement_class::Write;
    }
    const auto inner = query.begin();
    return classifyStatementNode(inner.key(), inner.value(), info);
}

statement_class classifyExplain(const json &node, statement_info &info)
{
    auto inner = classifyInner(node, info);
    info.returnsRows = true;
    if (inner == statement_class::SessionState) {
        return inner; // EXPLAIN EXECUTE needs the session's prepared statement.
    }
    return isExplainAnalyze(node) ? inner : statement_class::Read;
}

statement_class classifyCursor(const json &node, statement_info &info)
{
    const auto inner = classifyInner(node, info);
    info.returnsRows = false;
    const auto *options = child(node, "options");
    const bool withHold = options && options->is_number_integer() && (options->get<int>() & cursorWithHold) != 0;
    return withHold ? statement_class::SessionState : inner;
}

statement_class classifyQuery(const std::string &kind, const json &node, statement_info &info)
{
    tree_visitor visitor(info);
    if (kind != "SelectStmt") {
        visitor.addWrite();
    }
    visitor.visit(node);
    info.returnsRows = node.contains("returningList") || (kind == "SelectStmt" && !node.contains("intoClause"));
    return visitor.cls();
}

/** Any other statement counts as a write, unless it touches temporary objects. */
statement_class classifyOther(const std::string &kind, const json &node, statement_info &info)
{
    tree_visitor visitor(info);
    visitor.visit(node);
    info.returnsRows = kind == "CallStmt";
    return std::max(visitor.cls(), statement_class::Write);
}

statement_class classifyStatementNode(const std::string &kind, const json &node, statement_info &info)
{
    info.returnsRows = false;
    if (kind == "SelectStmt" || kind == "InsertStmt" || kind == "UpdateStmt" || kind == "DeleteStmt"
        || kind == "MergeStmt") {
        return classifyQuery(kind, node, info);
    }
    if (kind == "TransactionStmt") {
        return classifyTransaction(node, info);
    }
    if (kind == "VariableSetStmt") {
        return classifySet(node, info);
    }
    if (kind == "VariableShowStmt") {
        return classifyShow(node, info);
    }
    if (kind == "ExplainStmt") {
        return classifyExplain(node, info);
    }
    if (kind == "DeclareCursorStmt") {
        return classifyCursor(node, info);
    }
    if (kind == "CopyStmt") {
        return statement_class::Copy;
    }
    if (kind == "ConstraintsSetStmt") {
        return statement_class::TransactionControl;
    }
    if (kind == "FetchStmt" || kind == "ClosePortalStmt") {
        // A cursor lives in a transaction or in a pinned session; either has its connection already.
        info.returnsRows = kind == "FetchStmt" && !flagAt(node, "ismove");
        return statement_class::Read;
    }
    if (kind == "DiscardStmt") {
        info.discardsState = stringAt(node, "target") == "DISCARD_ALL";
        return statement_class::SessionState;
    }
    for (const char *pinning :
         {"ListenStmt", "UnlistenStmt", "PrepareStmt", "ExecuteStmt", "DeallocateStmt", "LoadStmt"}) {
        if (kind == pinning) {
            info.returnsRows = kind == "ExecuteStmt";
            return statement_class::SessionState;
        }
    }
    return classifyOther(kind, node, info);
}

bool isTransactionControl(statement_class cls)
{
    return cls >= statement_class::TransactionControl && cls <= statement_class::Rollback;
}

void classifyTree(const json &tree, statement_info &info)
{
    const auto *statements = child(tree, "stmts");
    if (!statements || statements->empty()) {
        return;
    }
    info.multi = statements->size() > 1;
    for (const auto &statement : *statements) {
        const auto *node = child(statement, "stmt");
        if (!node || node->empty()) {
            continue;
        }
        info.cls = std::max(info.cls, classifyStatementNode(node->begin().key(), node->begin().value(), info));
    }
    if (info.multi) {
        info.discardsState = false;
        info.cls = isTransactionControl(info.cls) ? statement_class::Write : info.cls;
    }
    std::sort(info.tables.begin(), info.tables.end());
    info.tables.erase(std::unique(info.tables.begin(), info.tables.end()), info.tables.end());
}

/** Parses @p text; nothing if it has a syntax error. */
std::optional<json> parseTree(const std::string &text)
{
    const auto result = pg_query_parse(text.c_str());
    std::optional<json> tree;
    if (!result.error) {
        tree = json::parse(result.parse_tree, nullptr, false);
    }
    pg_query_free_parse_result(result);
    return tree;
}

std::uint64_t fingerprintOf(const std::string &text)
{
    const auto result = pg_query_fingerprint(text.c_str());
    const auto fingerprint = result.error ? 0 : result.fingerprint;
    pg_query_free_fingerprint_result(result);
    return fingerprint;
}

/** Texts in encodings other than UTF-8 give a tree that is not valid JSON. Bytes above ASCII only occur in names,
 * literals and comments, so that a letter in their place leaves the structure as it is. */
std::string replaceNonAscii(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c >= 0x80; }, 'x');
    return text;
}

/** Classifies a text that is too long to parse: libpg_query overflowed a stack of 8 MB on "1+1+1..." of 400 kB. */
statement_info classifyUnparsed(std::string_view text)
{
    constexpr std::array statements{"insert ", "update ", "delete ", "select ", "with ", "merge ", "values "};
    // A semicolon within a literal is taken for a separator, which is safe.
    const auto end = text.find_last_not_of("; \t\r\n");
    const auto lower = lowerCase(text.substr(0, end + 1));
    auto start = lower.find_first_not_of(" \t\r\n");
    start = start == std::string::npos ? 0 : start;
    const std::string_view body = std::string_view(lower).substr(start);
    const bool known =
        std::any_of(statements.begin(), statements.end(), [&](const char *s) { return body.starts_with(s); });
    // Escapes such as U&"pg\005ftemp" could hide these words.
    const bool suspicious = body.find_first_of(";\\") != std::string_view::npos
        || body.find("advisory") != std::string_view::npos || body.find("set_config") != std::string_view::npos
        || body.find("pg_temp") != std::string_view::npos || body.find("temp") != std::string_view::npos
        || body.find("u&") != std::string_view::npos;

    statement_info info;
    info.cls = known && !suspicious ? statement_class::Write : statement_class::SessionState;
    info.fingerprint = XXH3_64bits(body.data(), std::min<std::size_t>(body.size(), 256));
    info.tablesComplete = false;
    info.returnsRows = !body.starts_with("insert") && !body.starts_with("update") && !body.starts_with("delete");
    return info;
}

}

statement_info classifyStatement(std::string_view text)
{
    if (text.size() > maxParsedTextBytes) {
        return classifyUnparsed(text);
    }
    const std::string copy(text);
    auto tree = parseTree(copy);
    if (tree && tree->is_discarded()) {
        tree = parseTree(replaceNonAscii(copy));
    }
    statement_info info;
    if (!tree) {
        info.cls = statement_class::Invalid;
        return info;
    }
    if (tree->is_discarded()) {
        info.cls = statement_class::SessionState;
        info.tablesComplete = false;
        return info;
    }
    info.fingerprint = fingerprintOf(copy);
    classifyTree(*tree, info);
    return info;
}

}
