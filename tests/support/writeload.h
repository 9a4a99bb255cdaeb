#pragma once

#include "cluster.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace crocusdeal
{

using load_clock = std::chrono::steady_clock;

/** One statement of a caller and what it was told. */
struct load_record {
    std::int64_t id = 0; ///< Written by this statement only.
    std::size_t instance = 0;
    std::string sqlState; ///< Empty if acknowledged.
    std::string token; ///< crocusdeal.session after an acknowledgement.
    load_clock::time_point sent;
    load_clock::time_point answered;

    bool isAcknowledged() const;
    /** The caller was told that the statement was not run. */
    bool isRefused() const;
    /** Term of the acknowledged write. */
    std::uint64_t term() const;
};

/** What callers of a write load do after their connection is lost. */
enum class reconnect {
    SameInstance,
    OtherInstance,
};

/** Callers that each write rows with ids of their own into the table "w", one after the other, until stopped. */
class write_load
{
public:
    static constexpr const char *createTable = "CREATE TABLE w (id bigint, caller bigint)";

    /** @p callers threads on each of @p instances; each pauses between two writes. @p parameters as for connect(). */
    write_load(const cluster &target,
               std::vector<std::size_t> instances,
               int callers,
               reconnect after,
               std::chrono::milliseconds pause = {},
               std::string parameters = "");
    ~write_load();
    write_load(const write_load &) = delete;
    write_load &operator=(const write_load &) = delete;

    void stop();
    /** In the order of the answers. */
    std::vector<load_record> records() const;
    /** True once a write that was sent after @p from is acknowledged through one of the instances; prints why not. */
    bool waitForWrite(load_clock::time_point from,
                      std::chrono::milliseconds timeout,
                      const std::vector<std::size_t> &instances) const;

private:
    void run(std::size_t instance, int caller);

    const cluster &m_cluster;
    std::vector<std::size_t> m_instances;
    reconnect m_reconnect;
    std::chrono::milliseconds m_pause;
    std::string m_parameters;
    std::atomic<bool> m_stopped = false;
    std::atomic<std::int64_t> m_nextId = 1;
    mutable std::mutex m_mutex;
    std::vector<load_record> m_records;
    std::vector<std::thread> m_threads;
};

/** Callers that read count(*) of the table "w" in long-lived sessions until stopped. */
class read_load
{
public:
    read_load(const cluster &target, const std::vector<std::size_t> &instances);
    ~read_load();
    read_load(const read_load &) = delete;
    read_load &operator=(const read_load &) = delete;

    void stop();
    std::vector<load_record> records() const;
    /** The longest time of one session without an answer. */
    std::chrono::milliseconds longestGap() const;

private:
    void run(std::size_t instance);

    const cluster &m_cluster;
    std::atomic<bool> m_stopped = false;
    mutable std::mutex m_mutex;
    std::vector<load_record> m_records;
    std::vector<std::thread> m_threads;
};

/** Time from @p since to the first acknowledgement of a term above @p term. */
std::chrono::milliseconds gapUntilNewTerm(const std::vector<load_record> &records,
                                          load_clock::time_point since,
                                          std::uint64_t term);

/** The first acknowledged write of a term that was answered after one of a newer term had been; nothing if there is
 * none. */
std::vector<load_record> acknowledgedAfterNewerTerm(const std::vector<load_record> &records);

/**
 * Compares what the callers were told with the rows in the given database: an acknowledged write is there exactly once,
 * a refused one is not there, one with unknown outcome at most once. Gives the contradictions, empty if there are none.
 */
std::string contradictions(const std::vector<load_record> &records, const database_process &database);

/** Counts by SQLSTATE, for the output of a test. */
std::string summary(const std::vector<load_record> &records);

}
