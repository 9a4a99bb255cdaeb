#include "sqlstore.h"

#include "sqlfunctions.h"

#include <cerrno>
#include <charconv>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <system_error>
#include <unistd.h>

namespace crocusdeal
{

namespace
{

constexpr std::string_view directoryPrefix = "databasestandin-";
/** Above this the cache is emptied: scripts with literals would fill it without bound. */
constexpr std::size_t maxCachedStatements = 256;
/** How many SQLite instructions run between two checks for a cancel. */
constexpr int cancelCheckInstructions = 2000;

constexpr std::int32_t int8Oid = 20;
constexpr std::int32_t int2Oid = 21;
constexpr std::int32_t int4Oid = 23;
constexpr std::int32_t float4Oid = 700;
constexpr std::int32_t float8Oid = 701;
constexpr std::int32_t numericOid = 1700;

int checkCancelled(void *context)
{
    const auto *cancelled = static_cast<statement_context *>(context)->cancelled;
    return cancelled != nullptr && cancelled->load(std::memory_order_relaxed) ? 1 : 0;
}

bool startsWith(std::string_view text, std::string_view start)
{
    return text.substr(0, start.size()) == start;
}

std::string constraintState(int extendedCode)
{
    switch (extendedCode) {
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_PRIMARYKEY:
    case SQLITE_CONSTRAINT_ROWID:
        return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
        return "23502";
    case SQLITE_CONSTRAINT_FOREIGNKEY:
        return "23503";
    case SQLITE_CONSTRAINT_CHECK:
        return "23514";
    default:
        return "23000";
    }
}

std::string sqlStateOf(int extendedCode, std::string_view message)
{
    switch (extendedCode & 0xff) {
    case SQLITE_CONSTRAINT:
        return constraintState(extendedCode);
    case SQLITE_INTERRUPT:
        return "57014";
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
        return "40001";
    case SQLITE_TOOBIG:
    case SQLITE_NOMEM:
        return "53200";
    case SQLITE_MISMATCH:
        return "22P02";
    default:
        break;
    }
    if (startsWith(message, "no such table")) {
        return "42P01";
    }
    if (startsWith(message, "no such column") || message.find("has no column named") != std::string_view::npos) {
        return "42703";
    }
    if (startsWith(message, "no such function") || startsWith(message, "wrong number of arguments")) {
        return "42883";
    }
    if (message.find("already exists") != std::string_view::npos) {
        return "42P07";
    }
    return extendedCode == SQLITE_ERROR ? "42601" : "XX000";
}

/** True for integers whose text is the same after a conversion to a number and back. */
bool isCanonicalInteger(const std::string &text)
{
    constexpr std::size_t maxDigits = 18;
    const std::size_t digits = !text.empty() && text[0] == '-' ? 1 : 0;
    if (text.size() == digits || text.size() - digits > maxDigits) {
        return false;
    }
    if (text[digits] == '0' && (text.size() > 1)) {
        return false;
    }
    return text.find_first_not_of("0123456789", digits) == std::string::npos;
}

bool isIntegerType(std::int32_t type)
{
    return type == int8Oid || type == int4Oid || type == int2Oid;
}

bool isFloatType(std::int32_t type)
{
    return type == float4Oid || type == float8Oid || type == numericOid;
}

void bindValue(sqlite3_stmt *statement, int index, const std::string &value, std::int32_t type)
{
    // A parameter of unknown type counts as an integer if it looks like one, because SQLite orders all text after
    // all numbers in expressions without a column. A text column converts it back unchanged.
    if ((type == 0 || isIntegerType(type)) && isCanonicalInteger(value)) {
        sqlite3_bind_int64(statement, index, std::stoll(value));
        return;
    }
    if (isIntegerType(type)) {
        throw sql_error("22P02", "invalid input syntax for type integer: \"" + value + "\"");
    }
    if (isFloatType(type)) {
        double number = 0;
        const auto *last = value.data() + value.size();
        const auto [end, error] = std::from_chars(value.data(), last, number);
        if (error != std::errc() || end != last) {
            throw sql_error("22P02", "invalid input syntax for type numeric: \"" + value + "\"");
        }
        sqlite3_bind_double(statement, index, number);
        return;
    }
    sqlite3_bind_text64(statement, index, value.data(), value.size(), SQLITE_TRANSIENT, SQLITE_UTF8);
}

sqlite3 *openHandle(const std::string &path)
{
    // The VFS unix-excl keeps the index of the write-ahead log in this process's own memory.
    constexpr int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
    sqlite3 *handle = nullptr;
    if (sqlite3_open_v2(path.c_str(), &handle, flags, "unix-excl") != SQLITE_OK) {
        const std::string message = sqlite3_errmsg(handle);
        sqlite3_close_v2(handle);
        throw sql_error("58030", message);
    }
    return handle;
}

}

void removeAbandonedStores()
{
    std::error_code ignored;
    const auto root = std::filesystem::temp_directory_path();
    for (const auto &entry : std::filesystem::directory_iterator(root, ignored)) {
        const auto name = entry.path().filename().string();
        if (!startsWith(name, directoryPrefix)) {
            continue;
        }
        pid_t pid = 0;
        std::from_chars(name.data() + directoryPrefix.size(), name.data() + name.size(), pid);
        if (pid > 0 && kill(pid, 0) != 0 && errno == ESRCH) {
            std::filesystem::remove_all(entry.path(), ignored);
        }
    }
}

sql_store::sql_store()
{
    auto name =
        (std::filesystem::temp_directory_path() / directoryPrefix).string() + std::to_string(getpid()) + "-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), name);
    }
    m_directory = name;
    m_path = name + "/data";
    m_keeper = openHandle(m_path);
    // Before the switch, which would sync: a follower cannot cut its log until it has built a store.
    sqlite3_exec(m_keeper, "PRAGMA synchronous=OFF", nullptr, nullptr, nullptr);
    // The switch needs the only connection: two that switched at the same time would fail with "database is locked".
    sqlite3_exec(m_keeper, "PRAGMA journal_mode=WAL", nullptr, nullptr, nullptr);
}

sql_store::~sql_store()
{
    sqlite3_close_v2(m_keeper);
    remove();
}

const std::string &sql_store::path() const
{
    return m_path;
}

void sql_store::remove() const
{
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

sql_connection::sql_connection(sql_store_ptr store)
    : m_store(std::move(store))
    , m_handle(openHandle(m_store->path()))
{
    configure();
}

sql_connection::~sql_connection()
{
    for (const auto &[sql, statement] : m_statements) {
        sqlite3_finalize(statement);
    }
    sqlite3_close_v2(m_handle);
}

void sql_connection::configure()
{
    sqlite3_extended_result_codes(m_handle, 1);
    sqlite3_busy_timeout(m_handle, 1000);
    run("PRAGMA synchronous=OFF");
    run("PRAGMA secure_delete=OFF");
    run("PRAGMA foreign_keys=ON");
    sqlite3_db_config(m_handle, SQLITE_DBCONFIG_DQS_DML, 0, nullptr);
    sqlite3_db_config(m_handle, SQLITE_DBCONFIG_DQS_DDL, 0, nullptr);
    sqlite3_progress_handler(m_handle, cancelCheckInstructions, checkCancelled, &m_context);
    registerFunctions(m_handle, m_context);
}

void sql_connection::fail()
{
    const int code = sqlite3_extended_errcode(m_handle);
    const std::string message = sqlite3_errmsg(m_handle);
    if ((code & 0xff) == SQLITE_INTERRUPT) {
        throw sql_error("57014", "canceling statement due to user request");
    }
    throw sql_error(sqlStateOf(code, message), message);
}

statement_context &sql_connection::context()
{
    return m_context;
}

sqlite3_stmt *sql_connection::prepare(const std::string &sql)
{
    if (const auto found = m_statements.find(sql); found != m_statements.end()) {
        sqlite3_reset(found->second);
        return found->second;
    }
    if (m_statements.size() >= maxCachedStatements) {
        for (const auto &[text, statement] : m_statements) {
            sqlite3_finalize(statement);
        }
        m_statements.clear();
    }
    sqlite3_stmt *statement = nullptr;
    const auto size = static_cast<int>(sql.size());
    if (sqlite3_prepare_v3(m_handle, sql.data(), size, SQLITE_PREPARE_PERSISTENT, &statement, nullptr) != SQLITE_OK) {
        fail();
    }
    m_statements.emplace(sql, statement);
    return statement;
}

void sql_connection::bind(sqlite3_stmt *statement, const sql_values &values, const std::vector<std::int32_t> &types)
{
    for (std::size_t i = 0; i < values.size(); ++i) {
        const auto index = static_cast<int>(i) + 1;
        if (values[i]) {
            bindValue(statement, index, *values[i], i < types.size() ? types[i] : 0);
        } else {
            sqlite3_bind_null(statement, index);
        }
    }
}

bool sql_connection::step(sqlite3_stmt *statement)
{
    const int code = sqlite3_step(statement);
    if (code == SQLITE_ROW) {
        return true;
    }
    if (code == SQLITE_DONE) {
        sqlite3_reset(statement);
        return false;
    }
    try {
        fail();
    } catch (const sql_error &) {
        sqlite3_reset(statement);
        throw;
    }
}

void sql_connection::run(const std::string &sql)
{
    auto *statement = prepare(sql);
    while (step(statement)) {
    }
}

void sql_connection::replay(const log_entry &entry)
{
    m_context.nowUs = entry.nowUs;
    for (std::size_t i = 0; i < entry.statements.size(); ++i) {
        const auto &logged = entry.statements[i];
        m_context.random = statementSeed(entry.seed, i);
        auto *statement = prepare(logged.sql);
        bind(statement, logged.values, logged.types);
        while (step(statement)) {
        }
    }
}

bool sql_connection::inTransaction() const
{
    return sqlite3_get_autocommit(m_handle) == 0;
}

std::int64_t sql_connection::changes() const
{
    return sqlite3_changes64(m_handle);
}

const sql_store_ptr &sql_connection::store() const
{
    return m_store;
}

std::int64_t wallClockUs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::uint64_t statementSeed(std::uint64_t transactionSeed, std::size_t index)
{
    return transactionSeed + index * 0x9e3779b97f4a7c15U;
}

}
