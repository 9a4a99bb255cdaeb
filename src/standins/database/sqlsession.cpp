#include "sqlsession.h"

#include "rowencoding.h"

#include <asio/post.hpp>

#include <random>
#include <utility>

namespace crocusdeal
{

namespace
{

sql_error cancelError()
{
    return {"57014", "canceling statement due to user request"};
}

std::uint64_t randomSeed()
{
    thread_local std::mt19937_64 engine(std::random_device{}());
    return engine();
}

std::string commandName(const std::string &tag)
{
    return tag == "INSERT 0" ? "INSERT" : tag;
}

bool countsChanges(const std::string &tag)
{
    return tag == "INSERT 0" || tag == "UPDATE" || tag == "DELETE";
}

}

sql_session::sql_session(database &target,
                         runtime_settings &settings,
                         const strand_type &strand,
                         std::int64_t backendPid)
    : m_database(target)
    , m_settings(settings)
    , m_strand(strand)
    , m_timer(strand)
    , m_idleTimer(strand)
    , m_backendPid(backendPid)
{
}

sql_session::~sql_session()
{
    rollbackWrite();
}

sql_connection &sql_session::connection()
{
    const auto generation = m_database.storeGeneration();
    if (!m_connection || (m_generation != generation && !m_connection->inTransaction())) {
        m_generation = generation;
        m_connection.reset();
        m_connection = std::make_unique<sql_connection>(m_database.store());
        m_connection->context().backendPid = m_backendPid;
        m_connection->context().cancelled = &m_cancelled;
    }
    return *m_connection;
}

void sql_session::run(const statement_ptr &statement,
                      sql_values values,
                      std::vector<std::int32_t> types,
                      done_callback done)
{
    m_statement = statement;
    m_values = std::move(values);
    m_types = std::move(types);
    m_done = std::move(done);
    m_result = {};
    m_running = true;
    m_cancelled = false;
    try {
        if (statement->kind != statement_kind::Read && statement->kind != statement_kind::Write) {
            runControl(*statement);
            finish(nullptr);
            return;
        }
        requireUsable();
        if (statement->kind == statement_kind::Write && !m_database.writableTerm()) {
            throw sql_error("25006", "cannot execute " + commandName(statement->tag) + " in a read-only transaction");
        }
        acquireSlot();
    } catch (const sql_error &error) {
        finish(&error);
    }
}

void sql_session::requireUsable()
{
    if (m_abortReason) {
        const auto reason = *std::exchange(m_abortReason, std::nullopt);
        throw sql_error(reason);
    }
    if (m_block == block_state::Failed) {
        throw sql_error("25P02", "current transaction is aborted, commands ignored until end of transaction block");
    }
}

void sql_session::runControl(const parsed_statement &statement)
{
    m_result.tag = statement.tag;
    switch (statement.kind) {
    case statement_kind::Begin:
        requireUsable();
        if (m_block != block_state::Explicit) {
            m_snapshot = statement.snapshot;
            if (m_block == block_state::None) {
                m_entry = {};
                m_entry.nowUs = wallClockUs();
                m_entry.seed = randomSeed();
            }
            m_block = block_state::Explicit;
        }
        return;
    case statement_kind::Commit:
        commitBlock(m_result);
        return;
    case statement_kind::Rollback:
        rollbackWrite();
        m_abortReason.reset();
        m_block = block_state::None;
        return;
    case statement_kind::Savepoint:
        runSavepoint(statement);
        return;
    default:
        throw sql_error("0A000", statement.tag + " is not supported here");
    }
}

void sql_session::runSavepoint(const parsed_statement &statement)
{
    if (m_abortReason) {
        requireUsable();
    }
    const bool back = statement.tag == "ROLLBACK";
    if (m_block != block_state::Explicit && !(back && m_block == block_state::Failed)) {
        requireUsable();
        throw sql_error("25P01", statement.tag + " can only be used in transaction blocks");
    }
    // A savepoint needs the transaction of SQLite, which otherwise starts with the first write.
    if (!connection().inTransaction()) {
        connection().run("BEGIN");
    }
    connection().run(statement.sql);
    m_entry.statements.push_back({statement.sql, {}, {}});
    m_block = block_state::Explicit;
}

void sql_session::commitBlock(statement_result &result)
{
    const auto block = std::exchange(m_block, block_state::None);
    if (m_abortReason) {
        const auto reason = *std::exchange(m_abortReason, std::nullopt);
        rollbackWrite();
        throw sql_error(reason);
    }
    if (block == block_state::Failed) {
        rollbackWrite();
        result.tag = "ROLLBACK";
        return;
    }
    commitWrite();
}

void sql_session::endImplicit()
{
    if (m_block == block_state::Implicit || (m_block == block_state::None && m_abortReason)) {
        statement_result ignored;
        commitBlock(ignored);
    }
}

void sql_session::commitWrite()
{
    if (!m_ownsWriteLock) {
        if (m_connection && m_connection->inTransaction()) {
            m_connection->run("COMMIT");
        }
        return;
    }
    const bool changes = !m_entry.statements.empty();
    try {
        m_database.commit(*m_connection, m_writeTerm, std::move(m_entry));
    } catch (const sql_error &) {
        rollbackWrite();
        throw;
    }
    m_entry = {};
    m_ownsWriteLock = false;
    m_database.writeLock().release(clock::now());
    m_committed = m_committed || changes;
}

void sql_session::rollbackWrite()
{
    m_entry = {};
    if (m_connection && m_connection->inTransaction()) {
        m_connection->run("ROLLBACK");
    }
    if (m_ownsWriteLock) {
        m_ownsWriteLock = false;
        m_database.endWrite();
        m_database.writeLock().release(clock::now());
    }
}

void sql_session::failTransaction()
{
    if (m_block == block_state::Explicit) {
        m_block = block_state::Failed;
    } else if (m_block == block_state::Implicit) {
        m_block = block_state::None;
        m_abortReason.reset();
        rollbackWrite();
    }
}

void sql_session::reset()
{
    rollbackWrite();
    m_abortReason.reset();
    m_block = block_state::None;
}

char sql_session::transactionStatus() const
{
    return m_block == block_state::Failed ? 'E' : m_block == block_state::Explicit ? 'T' : 'I';
}

bool sql_session::isImplicitOpen() const
{
    return m_block == block_state::Implicit;
}

bool sql_session::takeCommitted()
{
    return std::exchange(m_committed, false);
}

void sql_session::acquireSlot()
{
    // Without a limit the queue's mutex is not taken, so that reads do not share it.
    if (m_settings.slots.load(std::memory_order_relaxed) <= 0) {
        onSlot(clock::now());
        return;
    }
    m_queueId = m_database.nextId();
    const auto granted = [self = shared_from_this()](clock::time_point start) {
        asio::post(self->m_strand, [self, start] {
            self->m_waitingFor = waiting_for::Nothing;
            self->m_countedSlot = true;
            self->onSlot(start);
        });
    };
    m_waitingFor = waiting_for::Slot;
    if (m_database.slots().acquire(m_queueId, granted)) {
        m_waitingFor = waiting_for::Nothing;
        m_countedSlot = true;
        onSlot(clock::now());
    }
}

void sql_session::onSlot(clock::time_point start)
{
    // The service time is at the start of a write, before its lock is taken, so that slots and not the lock set the
    // capacity.
    m_due = start + std::chrono::microseconds(m_settings.statementUs.load(std::memory_order_relaxed));
    m_held = false;
    const bool needsLock = m_statement->kind == statement_kind::Write && !m_ownsWriteLock;
    if (!needsLock) {
        execute();
        return;
    }
    holdUntilDue([self = shared_from_this()] { self->acquireWriteLock(); });
}

void sql_session::acquireWriteLock()
{
    m_queueId = m_database.nextId();
    const auto granted = [self = shared_from_this()](clock::time_point) {
        asio::post(self->m_strand, [self] {
            self->m_waitingFor = waiting_for::Nothing;
            self->onWriteLock();
        });
    };
    m_waitingFor = waiting_for::WriteLock;
    if (m_database.writeLock().acquire(m_queueId, granted)) {
        m_waitingFor = waiting_for::Nothing;
        onWriteLock();
        return;
    }
    // The owner of the lock may need a slot for its next statement, so a slot is not kept while waiting.
    releaseSlot();
}

void sql_session::onWriteLock()
{
    m_ownsWriteLock = true;
    try {
        beginWriteTransaction();
    } catch (const sql_error &error) {
        rollbackWrite();
        finish(&error);
        return;
    }
    execute();
}

void sql_session::beginWriteTransaction()
{
    const auto term = m_database.writableTerm();
    const auto write = ++m_writeId;
    const auto abort = [weak = weak_from_this(), strand = m_strand, write] {
        asio::post(strand, [weak, write] {
            if (const auto self = weak.lock()) {
                self->onAbort(write);
            }
        });
    };
    if (!term || !m_database.beginWrite(*term, abort)) {
        throw sql_error("25006", "cannot execute " + commandName(m_statement->tag) + ": the database is not primary");
    }
    m_writeTerm = *term;
    if (m_block == block_state::None) {
        m_block = block_state::Implicit;
        m_entry = {};
        m_entry.nowUs = wallClockUs();
        m_entry.seed = randomSeed();
    }
    if (!connection().inTransaction()) {
        connection().run("BEGIN IMMEDIATE");
    }
}

std::int64_t sql_session::transactionTime() const
{
    return m_block == block_state::None ? wallClockUs() : m_entry.nowUs;
}

void sql_session::execute()
{
    m_database.countStatement();
    try {
        auto &sql = connection();
        if (m_snapshot && m_block == block_state::Explicit && !sql.inTransaction()) {
            sql.run("BEGIN");
        }
        auto &context = sql.context();
        context.nowUs = transactionTime();
        context.random = statementSeed(m_entry.seed, m_entry.statements.size());
        context.sleepUs = 0;
        auto *statement = sql.prepare(m_statement->sql);
        sql.bind(statement, m_values, m_types);
        readRows(statement, m_result);
        if (m_statement->kind == statement_kind::Write && sqlite3_stmt_readonly(statement) == 0) {
            recordStatement();
        }
    } catch (const sql_error &error) {
        finish(&error);
        return;
    }
    const auto sleep = std::chrono::microseconds(m_connection->context().sleepUs);
    if (sleep.count() > 0) {
        m_due = std::max(m_due, clock::now() + sleep);
    }
    holdUntilDue([self = shared_from_this()] { self->finish(nullptr); });
}

void sql_session::readRows(sqlite3_stmt *statement, statement_result &result)
{
    frame_writer columns;
    writeColumns(columns, statement);
    result.columns = columns.take();
    const int count = sqlite3_column_count(statement);
    frame_writer rows;
    while (m_connection->step(statement)) {
        writeRow(rows, statement, count);
        result.rowEnds.push_back(rows.str().size());
    }
    result.rows = rows.take();
    result.tag = m_statement->tag;
    if (countsChanges(result.tag)) {
        result.tag += ' ' + std::to_string(m_connection->changes());
    }
}

void sql_session::recordStatement()
{
    if (countsChanges(m_statement->tag) && m_connection->changes() == 0) {
        return;
    }
    m_entry.statements.push_back({m_statement->sql, m_values, m_types});
}

void sql_session::holdUntilDue(std::function<void()> next)
{
    if (m_due <= clock::now()) {
        next();
        return;
    }
    m_waitingFor = waiting_for::Time;
    m_timer.expires_at(m_due);
    m_timer.async_wait([self = shared_from_this(), next = std::move(next)](asio::error_code error) {
        self->m_waitingFor = waiting_for::Nothing;
        if (error) {
            const auto cancelled = cancelError();
            self->finish(&cancelled);
            return;
        }
        self->m_held = true;
        next();
    });
}

void sql_session::finish(const sql_error *error)
{
    m_waitingFor = waiting_for::Nothing;
    releaseSlot();
    std::optional<sql_error> failure;
    if (error != nullptr) {
        failure = *error;
    } else if (m_block != block_state::None && m_abortReason) {
        failure = std::exchange(m_abortReason, std::nullopt);
    }
    if (failure) {
        m_result = {};
        failTransaction();
    }
    m_running = false;
    watchIdleTransaction();
    const auto done = std::exchange(m_done, nullptr);
    done(failure ? &*failure : nullptr, std::exchange(m_result, {}));
}

void sql_session::releaseSlot()
{
    if (std::exchange(m_countedSlot, false)) {
        m_database.slots().release(m_held ? m_due : clock::now());
    }
}

void sql_session::onAbort(std::uint64_t write)
{
    if (m_ownsWriteLock && write == m_writeId) {
        abortWrite({"25006", "transaction aborted: the database is no longer primary"});
    }
}

void sql_session::abortWrite(const sql_error &reason)
{
    rollbackWrite();
    m_abortReason = reason;
    if (m_block == block_state::Explicit) {
        m_block = block_state::Failed;
    }
}

void sql_session::watchIdleTransaction()
{
    const auto limit = std::chrono::milliseconds(m_settings.idleTransactionMs);
    if (!m_ownsWriteLock || m_block == block_state::Implicit || limit.count() == 0) {
        return;
    }
    // The write lock covers the whole database, unlike row locks: a client that is cut off in the middle of a
    // transaction would stop all writes.
    m_idleTimer.expires_after(limit);
    m_idleTimer.async_wait([weak = weak_from_this(), write = m_writeId](asio::error_code error) {
        const auto self = weak.lock();
        if (error || !self || !self->m_ownsWriteLock || self->m_writeId != write || self->m_running) {
            return;
        }
        if (self->m_database.writeLock().waiting() > 0) {
            self->abortWrite({"25P03", "transaction aborted: idle while others wait for the write lock"});
        } else {
            self->watchIdleTransaction();
        }
    });
}

void sql_session::cancel()
{
    m_cancelled = true;
    asio::post(m_strand, [self = shared_from_this()] { self->onCancel(); });
}

void sql_session::onCancel()
{
    if (!m_running || !m_cancelled) {
        return;
    }
    if (m_waitingFor == waiting_for::Time) {
        m_timer.cancel();
        return;
    }
    auto &queue = m_waitingFor == waiting_for::Slot ? m_database.slots() : m_database.writeLock();
    if (m_waitingFor != waiting_for::Nothing && queue.cancel(m_queueId)) {
        const auto cancelled = cancelError();
        finish(&cancelled);
    }
}

}
