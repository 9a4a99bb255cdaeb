#include "database.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxPullEntries = 2000;

std::int64_t slotLimit(std::int64_t setting)
{
    return setting > 0 ? setting : std::numeric_limits<std::int64_t>::max();
}

}

database::database(const standin_options &options, runtime_settings &settings)
    : m_settings(settings)
    , m_term(options.term)
    , m_role(options.role)
    , m_following(options.role == target_role::Replica ? options.followAddress : std::string())
    , m_store(std::make_shared<sql_store>())
    , m_slots(slotLimit(settings.slots))
    , m_writeLock(1)
{
    if (!options.dataFile.empty()) {
        load(options.dataFile);
    }
}

void database::load(const std::string &path)
{
    m_file.emplace(path);
    auto stored = m_file->load();
    if (stored.term == 0) {
        m_file->writeState(m_term, m_role, m_following);
        return;
    }
    m_term = stored.term;
    m_role = stored.role;
    m_following = stored.following;
    m_log = std::move(stored.log);
    m_store = buildStore(m_log.after(0, m_log.last().offset));
}

target_status database::status() const
{
    const std::lock_guard lock(m_mutex);
    return statusLocked();
}

target_status database::statusLocked() const
{
    target_status status;
    status.term = m_term;
    status.role = m_role;
    status.at = m_log.last();
    status.connections = m_connections;
    status.maxConnections = static_cast<int>(m_settings.connections);
    status.following = m_following;
    return status;
}

std::uint64_t database::statements() const
{
    return m_statements;
}

void database::countStatement()
{
    ++m_statements;
}

std::uint64_t database::stateVersion() const
{
    return m_stateVersion.load(std::memory_order_acquire);
}

std::string database::stateText() const
{
    const auto now = status();
    return std::to_string(now.term) + ' ' + std::string(targetRoleNames.name(now.role)) + ' ' + toString(now.at);
}

control_result database::fence(std::uint64_t term)
{
    return changeRole(term, target_role::Fenced, {});
}

control_result database::promote(std::uint64_t term)
{
    return changeRole(term, target_role::Primary, {});
}

control_result database::follow(std::uint64_t term, const std::string &source)
{
    return changeRole(term, target_role::Replica, source);
}

control_result database::changeRole(std::uint64_t term, target_role role, const std::string &following)
{
    std::vector<std::function<void()>> due;
    control_result result;
    {
        const std::lock_guard lock(m_mutex);
        const bool allowed = role == target_role::Fenced ? term > m_term
            : role == target_role::Primary               ? term == m_term && m_role != target_role::Primary
                                           : term > m_term || (term == m_term && m_role != target_role::Primary);
        if (allowed) {
            m_term = term;
            m_role = role;
            m_following = following;
            if (m_file) {
                m_file->writeState(term, role, following);
            }
            ++m_epoch;
            m_stateVersion.fetch_add(1, std::memory_order_release);
            due = takeDueLocked();
            due.push_back(std::exchange(m_writerAbort, nullptr));
            due.push_back(m_followChanged);
        }
        result = {allowed, statusLocked()};
    }
    runAll(due);
    return result;
}

std::optional<std::uint64_t> database::writableTerm() const
{
    const std::lock_guard lock(m_mutex);
    return m_role == target_role::Primary ? std::optional(m_term) : std::nullopt;
}

void database::commit(sql_connection &connection, std::uint64_t term, log_entry entry)
{
    std::vector<std::function<void()>> due;
    {
        const std::lock_guard lock(m_mutex);
        m_writerAbort = nullptr;
        if (m_role != target_role::Primary || m_term != term) {
            connection.run("ROLLBACK");
            throw sql_error("25006",
                            "commit refused: the database is no longer primary at term " + std::to_string(term));
        }
        try {
            connection.run("COMMIT");
        } catch (const sql_error &) {
            connection.run("ROLLBACK");
            throw;
        }
        if (!entry.statements.empty()) {
            entry.at = {m_term, m_log.last().offset + 1};
            m_log.append(std::make_shared<const log_entry>(std::move(entry)));
            if (m_file) {
                m_file->writeEntries(m_log.after(m_log.last().offset - 1, 1));
            }
            m_stateVersion.fetch_add(1, std::memory_order_release);
            due = takeDueLocked();
        }
    }
    runAll(due);
}

sql_store_ptr database::store() const
{
    const std::lock_guard lock(m_mutex);
    return m_store;
}

std::uint64_t database::storeGeneration() const
{
    return m_storeGeneration.load(std::memory_order_acquire);
}

permit_queue &database::slots()
{
    return m_slots;
}

void database::setSlots(std::int64_t limit)
{
    m_slots.setLimit(slotLimit(limit));
}

permit_queue &database::writeLock()
{
    return m_writeLock;
}

std::uint64_t database::nextId()
{
    return m_nextId++;
}

bool database::beginWrite(std::uint64_t term, std::function<void()> abort)
{
    const std::lock_guard lock(m_mutex);
    if (m_role != target_role::Primary || m_term != term) {
        return false;
    }
    m_writerAbort = std::move(abort);
    return true;
}

void database::endWrite()
{
    const std::lock_guard lock(m_mutex);
    m_writerAbort = nullptr;
}

std::uint64_t database::wait(position at, std::uint64_t term, std::function<void()> done)
{
    const auto id = nextId();
    {
        const std::lock_guard lock(m_mutex);
        if (m_log.last() < at && m_term == term) {
            m_waiters.push_back({id, at, term, std::move(done)});
            return id;
        }
    }
    done();
    return id;
}

bool database::cancelWait(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    return std::erase_if(m_waiters, [id](const waiter &w) { return w.id == id; }) > 0;
}

pull_result database::pull(std::uint64_t term, const std::vector<position> &termEnds) const
{
    const std::lock_guard lock(m_mutex);
    if (m_term != term || m_role == target_role::Replica) {
        return {};
    }
    const auto common = m_log.commonWith(termEnds);
    return {true, common, m_log.after(common.offset, maxPullEntries)};
}

std::optional<follow_lease> database::followLease() const
{
    const std::lock_guard lock(m_mutex);
    if (m_role != target_role::Replica || m_following.empty()) {
        return std::nullopt;
    }
    return follow_lease{m_epoch, m_term, m_following};
}

bool database::isCurrent(const follow_lease &lease) const
{
    const std::lock_guard lock(m_mutex);
    return m_epoch == lease.epoch;
}

void database::setFollowChanged(std::function<void()> changed)
{
    const std::lock_guard lock(m_mutex);
    m_followChanged = std::move(changed);
}

std::vector<position> database::termEnds() const
{
    const std::lock_guard lock(m_mutex);
    return m_log.termEnds();
}

position database::lastPosition() const
{
    const std::lock_guard lock(m_mutex);
    return m_log.last();
}

sql_store_ptr database::buildStore(const std::vector<log_entry_ptr> &entries)
{
    auto store = std::make_shared<sql_store>();
    sql_connection connection(store);
    connection.run("BEGIN");
    for (const auto &entry : entries) {
        connection.replay(*entry);
    }
    connection.run("COMMIT");
    return store;
}

bool database::dropTail(const follow_lease &lease, position last)
{
    std::vector<log_entry_ptr> kept;
    {
        const std::lock_guard lock(m_mutex);
        if (m_epoch != lease.epoch) {
            return false;
        }
        kept = m_log.after(0, last.offset);
    }
    auto store = buildStore(kept);
    std::vector<std::function<void()>> due;
    {
        const std::lock_guard lock(m_mutex);
        if (m_epoch != lease.epoch) {
            return false;
        }
        m_log.truncate(last.offset);
        if (m_file) {
            m_file->writeDrop(last.offset);
        }
        m_store.swap(store);
        m_applier.reset();
        m_storeGeneration.fetch_add(1, std::memory_order_release);
        m_stateVersion.fetch_add(1, std::memory_order_release);
        due = takeDueLocked();
    }
    runAll(due);
    return true;
}

bool database::apply(const follow_lease &lease, const std::vector<log_entry_ptr> &entries)
{
    if (!m_applier) {
        m_applier = std::make_unique<sql_connection>(store());
    }
    m_applier->run("BEGIN IMMEDIATE");
    try {
        for (const auto &entry : entries) {
            m_applier->replay(*entry);
        }
    } catch (const sql_error &) {
        m_applier->run("ROLLBACK");
        throw;
    }
    std::vector<std::function<void()>> due;
    {
        const std::lock_guard lock(m_mutex);
        if (m_epoch != lease.epoch) {
            m_applier->run("ROLLBACK");
            return false;
        }
        m_applier->run("COMMIT");
        for (const auto &entry : entries) {
            m_log.append(entry);
        }
        if (m_file) {
            m_file->writeEntries(entries);
        }
        m_stateVersion.fetch_add(1, std::memory_order_release);
        due = takeDueLocked();
    }
    runAll(due);
    return true;
}

std::vector<std::function<void()>> database::takeDueLocked()
{
    std::vector<std::function<void()>> due;
    const auto last = m_log.last();
    std::erase_if(m_waiters, [&](waiter &w) {
        if (last < w.at && w.term == m_term) {
            return false;
        }
        due.push_back(std::move(w.done));
        return true;
    });
    return due;
}

void database::runAll(const std::vector<std::function<void()>> &callbacks)
{
    for (const auto &callback : callbacks) {
        if (callback) {
            callback();
        }
    }
}

bool database::openConnection()
{
    const int count = ++m_connections;
    if (count > m_settings.connections) {
        --m_connections;
        ++m_refusedConnections;
        return false;
    }
    int peak = m_peakConnections;
    while (count > peak && !m_peakConnections.compare_exchange_weak(peak, count)) {
    }
    return true;
}

connection_counts database::takeConnectionCounts()
{
    const int present = m_connections;
    return {present, m_peakConnections.exchange(present), m_refusedConnections.exchange(0)};
}

void database::closeConnection()
{
    --m_connections;
}

}
