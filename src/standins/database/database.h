#pragma once

#include "datafile.h"
#include "grouptypes.h"
#include "permitqueue.h"
#include "replicationlog.h"
#include "settings.h"
#include "sqlstore.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** The answer of a group control function. */
struct control_result {
    bool granted = false;
    target_status status;
};

/** What a replica gets for one pull. */
struct pull_result {
    bool accepted = false; ///< False if this database may not be followed at that term.
    position common; ///< The last position both logs share; entries follow it.
    std::vector<log_entry_ptr> entries;
};

/** The right of one follower to change the database; ends with the next change of role or term. */
struct follow_lease {
    std::uint64_t epoch = 0;
    std::uint64_t term = 0;
    std::string source; ///< "host:port"
};

/** Connections of callers and of control. */
struct connection_counts {
    int present = 0;
    int peak = 0; ///< Highest number since the last call.
    int refused = 0; ///< With 53300 since the last call.
};

/** One database of a group: term, role, log and data. Thread-safe. */
class database
{
public:
    database(const standin_options &options, runtime_settings &settings);

    target_status status() const;
    /** Statements of callers that were executed so far; those of group control are not counted. */
    std::uint64_t statements() const;
    void countStatement();
    /** Changes with every change of status apart from the connections. */
    std::uint64_t stateVersion() const;
    /** Value of the parameter status group_state. */
    std::string stateText() const;

    control_result fence(std::uint64_t term);
    control_result promote(std::uint64_t term);
    control_result follow(std::uint64_t term, const std::string &source);

    /** The term to commit in if writes are allowed now. */
    std::optional<std::uint64_t> writableTerm() const;
    /**
     * Commits the open SQLite transaction of @p connection as one entry of term @p term.
     *
     * Throws sql_error, with the transaction rolled back, if the role or the term has changed.
     */
    void commit(sql_connection &connection, std::uint64_t term, log_entry entry);

    /** The database file to read from now; changes when a divergent tail is dropped. */
    sql_store_ptr store() const;
    std::uint64_t storeGeneration() const;

    permit_queue &slots();
    void setSlots(std::int64_t limit);
    permit_queue &writeLock();
    std::uint64_t nextId();

    /**
     * Announces a write transaction of the holder of the write lock; false if the database is not primary at @p term.
     *
     * @p abort is called, from any thread, when a change of role makes the transaction void.
     */
    bool beginWrite(std::uint64_t term, std::function<void()> abort);
    /** Ends it without a commit. */
    void endWrite();

    /**
     * Calls @p done once the position is reached or the term is not @p term any more; returns an id for cancelWait().
     * Called at once, within this function, when that is so already.
     */
    std::uint64_t wait(position at, std::uint64_t term, std::function<void()> done);
    /** False if the callback has run or is about to. */
    bool cancelWait(std::uint64_t id);

    pull_result pull(std::uint64_t term, const std::vector<position> &termEnds) const;

    std::optional<follow_lease> followLease() const;
    bool isCurrent(const follow_lease &lease) const;
    void setFollowChanged(std::function<void()> changed);
    std::vector<position> termEnds() const;
    position lastPosition() const;
    /** Drops all entries after @p last; false if the lease has ended. */
    bool dropTail(const follow_lease &lease, position last);
    /** Applies entries that directly follow the log; false if the lease has ended. The caller holds the write lock. */
    bool apply(const follow_lease &lease, const std::vector<log_entry_ptr> &entries);

    /** False, without counting it, if the limit is reached. */
    bool openConnection();
    void closeConnection();
    connection_counts takeConnectionCounts();

private:
    struct waiter {
        std::uint64_t id = 0;
        position at;
        std::uint64_t term = 0;
        std::function<void()> done;
    };

    target_status statusLocked() const;
    control_result changeRole(std::uint64_t term, target_role role, const std::string &following);
    /** Callbacks to run without the lock after a change of state. */
    std::vector<std::function<void()>> takeDueLocked();
    static void runAll(const std::vector<std::function<void()>> &callbacks);
    void load(const std::string &path);
    static sql_store_ptr buildStore(const std::vector<log_entry_ptr> &entries);

    runtime_settings &m_settings;
    mutable std::mutex m_mutex;
    std::uint64_t m_term;
    target_role m_role;
    std::string m_following;
    std::uint64_t m_epoch = 1;
    replication_log m_log;
    std::optional<data_file> m_file;
    sql_store_ptr m_store;
    std::vector<waiter> m_waiters;
    std::function<void()> m_writerAbort;
    std::function<void()> m_followChanged;
    std::unique_ptr<sql_connection> m_applier;

    permit_queue m_slots;
    permit_queue m_writeLock;
    std::atomic<std::uint64_t> m_nextId = 1;
    std::atomic<std::uint64_t> m_stateVersion = 1;
    std::atomic<std::uint64_t> m_storeGeneration = 1;
    std::atomic<int> m_connections = 0;
    std::atomic<int> m_peakConnections = 0;
    std::atomic<int> m_refusedConnections = 0;
    std::atomic<std::uint64_t> m_statements = 0;
};

}
