#pragma once

#include "replicationlog.h"
#include "sqlerror.h"

#include <sqlite3.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

/** Removes the directories of stand-ins that no longer run. */
void removeAbandonedStores();

/** The files of one SQLite database in a directory of its own, removed at the end. */
class sql_store
{
public:
    sql_store();
    ~sql_store();
    sql_store(const sql_store &) = delete;
    sql_store &operator=(const sql_store &) = delete;

    const std::string &path() const;
    /** Removes the files at once, for an exit without destructors. */
    void remove() const;

private:
    std::string m_directory;
    std::string m_path;
    sqlite3 *m_keeper = nullptr; ///< Open as long as the store, so that no close is the last one and merges the log.
};

using sql_store_ptr = std::shared_ptr<sql_store>;

/** What the SQL functions see and leave behind while a statement runs. */
struct statement_context {
    std::int64_t nowUs = 0;
    std::uint64_t random = 0;
    std::int64_t sleepUs = 0; ///< Sum of the pg_sleep calls.
    std::int64_t backendPid = 0;
    const std::atomic<bool> *cancelled = nullptr; ///< Set by the owner of the connection; may be null.
};

/** One SQLite connection with its prepared statements. Not thread-safe. */
class sql_connection
{
public:
    explicit sql_connection(sql_store_ptr store);
    ~sql_connection();
    sql_connection(const sql_connection &) = delete;
    sql_connection &operator=(const sql_connection &) = delete;

    statement_context &context();
    /** A reset statement from the cache; throws sql_error. */
    sqlite3_stmt *prepare(const std::string &sql);
    void bind(sqlite3_stmt *statement, const sql_values &values, const std::vector<std::int32_t> &types);
    /** True for a row, false at the end; throws sql_error after resetting the statement. */
    bool step(sqlite3_stmt *statement);
    /** Runs a statement without results. */
    void run(const std::string &sql);
    /** Runs the statements of a log entry. */
    void replay(const log_entry &entry);
    bool inTransaction() const;
    std::int64_t changes() const;
    const sql_store_ptr &store() const;

private:
    [[noreturn]] void fail();
    void configure();

    sql_store_ptr m_store;
    sqlite3 *m_handle;
    std::unordered_map<std::string, sqlite3_stmt *> m_statements;
    statement_context m_context;
};

/** Microseconds since 1970. */
std::int64_t wallClockUs();
/** Seed of random() for the statement of that index in a transaction. */
std::uint64_t statementSeed(std::uint64_t transactionSeed, std::size_t index);

}
