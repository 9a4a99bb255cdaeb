#pragma once

#include "database.h"
#include "pgframe.h"
#include "statementparser.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

using strand_type = asio::strand<asio::io_context::executor_type>;

/** Result of one statement as protocol messages. */
struct statement_result {
    std::string columns; ///< RowDescription message; empty if the statement returns no rows.
    std::string rows; ///< DataRow messages.
    std::vector<std::size_t> rowEnds; ///< Ends of the rows within rows.
    std::string tag; ///< Without the count for SELECT with a row limit.
};

/**
 * Runs the SQL statements of one connection: transaction state, slots, service time and locks.
 *
 * All functions are called on the strand. One statement runs at a time.
 */
class sql_session : public std::enable_shared_from_this<sql_session>
{
public:
    using done_callback = std::function<void(const sql_error *error, statement_result result)>;

    sql_session(database &target, runtime_settings &settings, const strand_type &strand, std::int64_t backendPid);
    ~sql_session();
    sql_session(const sql_session &) = delete;
    sql_session &operator=(const sql_session &) = delete;

    /** Runs a Read, Write or transaction control statement; @p done may be called before this returns. */
    void run(const statement_ptr &statement, sql_values values, std::vector<std::int32_t> types, done_callback done);
    /** Commits an implicit transaction, or rolls it back after an error; throws sql_error if the commit fails. */
    void endImplicit();
    /** Marks the transaction failed after an error. */
    void failTransaction();
    /** Throws 25P02, or the reason of an abort, if the transaction cannot go on. */
    void requireUsable();
    /** Rolls back whatever is open; for DISCARD ALL and the end of the connection. */
    void reset();
    /** Stops the running statement with 57014. May be called from any thread. */
    void cancel();

    /** 'I', 'T' or 'E' for ReadyForQuery. */
    char transactionStatus() const;
    bool isImplicitOpen() const;
    /** True once after a commit that changed the database. */
    bool takeCommitted();
    /** The connection to the current data; throws sql_error. */
    sql_connection &connection();

private:
    using clock = permit_queue::clock;
    enum class block_state {
        None,
        Implicit,
        Explicit,
        Failed,
    };
    enum class waiting_for {
        Nothing,
        Slot,
        WriteLock,
        Time,
    };

    void runControl(const parsed_statement &statement);
    void runSavepoint(const parsed_statement &statement);
    void commitBlock(statement_result &result);
    void commitWrite();
    void rollbackWrite();
    void acquireSlot();
    void onSlot(clock::time_point start);
    void acquireWriteLock();
    void onWriteLock();
    void execute();
    void readRows(sqlite3_stmt *statement, statement_result &result);
    /** Calls @p next at m_due, at once if that has passed; a cancel ends the statement instead. */
    void holdUntilDue(std::function<void()> next);
    void finish(const sql_error *error);
    void releaseSlot();
    void beginWriteTransaction();
    void recordStatement();
    void onAbort(std::uint64_t write);
    void abortWrite(const sql_error &reason);
    void watchIdleTransaction();
    void onCancel();
    std::int64_t transactionTime() const;

    database &m_database;
    runtime_settings &m_settings;
    strand_type m_strand;
    asio::steady_timer m_timer;
    asio::steady_timer m_idleTimer;
    std::int64_t m_backendPid;
    std::unique_ptr<sql_connection> m_connection;
    std::uint64_t m_generation = 0;

    block_state m_block = block_state::None;
    bool m_snapshot = false;
    bool m_committed = false;
    std::optional<sql_error> m_abortReason;
    bool m_ownsWriteLock = false;
    std::uint64_t m_writeId = 0; ///< Tells the abort of one write transaction from that of a later one.
    std::uint64_t m_writeTerm = 0;
    log_entry m_entry;

    statement_ptr m_statement;
    sql_values m_values;
    std::vector<std::int32_t> m_types;
    done_callback m_done;
    statement_result m_result;
    bool m_countedSlot = false;
    clock::time_point m_due; ///< Until when the running statement holds its slot at least.
    bool m_held = false; ///< The statement waited for m_due, so m_due is when it ended.
    std::uint64_t m_queueId = 0;
    bool m_running = false;
    waiting_for m_waitingFor = waiting_for::Nothing;
    std::atomic<bool> m_cancelled = false;
};

}
