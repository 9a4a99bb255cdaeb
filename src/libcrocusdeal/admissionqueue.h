#pragma once

#include "clock.h"
#include "identifiers.h"
#include "nametable.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocusdeal
{

/** Whether a statement needs a permit. */
enum class work_class {
    Short,
    Long,
};

/** Why a request was refused. In each case it was not sent to the target. */
enum class refuse_reason {
    DeadlineCannotBeMet, ///< Even if it started now.
    DeadlinePassed,
    QueueFull,
    ShuttingDown,
};

inline constexpr auto refuseReasonNames =
    makeNameTable<refuse_reason>("deadline cannot be met", "deadline passed", "queue full", "shutting down");

/** A request that asks for a place on the target. */
struct queue_entry {
    std::uint64_t id = 0; ///< Unique among the entries that wait or run.
    service_id service;
    std::uint64_t caller = 0; ///< Key of the caller that shares are fair between; not of the single session.
    work_class cls = work_class::Short;
    duration expected{1};
    time_point deadline; ///< Short work: for its end. Long work: for its start, as it may take longer than any queue.
    bool followUp = false; ///< Of a transaction that holds a connection.
};

/** What the caller of the queue has to do, in any order. */
struct queue_actions {
    struct refusal {
        std::uint64_t id = 0;
        refuse_reason reason = refuse_reason::QueueFull;

        friend bool operator==(const refusal &, const refusal &) = default;
    };

    std::vector<std::uint64_t> start; ///< Send these to the target; call finish() when each has ended.
    std::vector<refusal> refuse; ///< Tell these callers that their request was not run.
    std::optional<time_point> wakeAt; ///< Call tick() then, if nothing is called before.
};

/** Bounds of an admission queue. */
struct admission_queue_settings {
    std::size_t maxEntries = 4096;
};

/**
 * Orders, delays or refuses the requests for one target.
 *
 * Services share the target by start-time fair queueing on the expected time, corrected by the time taken (Goyal, Vin
 * and Cheng 1996). Within a service, entries are ordered by the finish tags of self-clocked fair queueing between
 * callers (Golestani 1994): the tag of an entry is the virtual time at its arrival, or its caller's last tag, plus its
 * expected time. Short work is first, a caller that sends much waits behind the others, and waiting work is overtaken
 * by a bounded amount of later work.
 *
 * In overload the newest entries of a size come first, because old ones are about to miss their deadline anyway
 * (adaptive LIFO, Maurer, "Fail at Scale", 2015). Overload is detected as in CoDel (Nichols and Jacobson 2012) by the
 * least wait within an interval, for each service: a service within its share keeps its order.
 *
 * One place beyond those that long work may take is kept for short work. Follow-up statements of open transactions
 * start at once, even above the limit: the running statements may wait for locks that their transactions hold.
 */
class admission_queue
{
public:
    explicit admission_queue(admission_queue_settings settings = {});

    /** A request arrives. An id that waits or runs already is ignored. */
    queue_actions submit(const queue_entry &entry, time_point now);

    /** A started request has ended. */
    queue_actions finish(std::uint64_t id, time_point now);

    /** The caller of a waiting request has gone; it is neither started nor refused. Ignored for one that runs. */
    queue_actions cancel(std::uint64_t id, time_point now);

    /** A started short request turned out to be long: its place is open to short work again. */
    queue_actions reclassify(std::uint64_t id, time_point now);

    /** @p limit statements may run at once. */
    queue_actions setLimit(int limit, time_point now);

    /** This instance holds permits for @p places long statements. */
    queue_actions setLongPlaces(int places, time_point now);

    /** Refuses what can no longer meet its deadline. */
    queue_actions tick(time_point now);

    /** Refuses all that waits. */
    queue_actions refuseAll(refuse_reason reason);

    std::size_t waiting() const
    {
        return m_waiting.size();
    }

    std::size_t running() const
    {
        return m_running.size();
    }

    /** Permits that long work could use: waiting and running. */
    int longDemand() const
    {
        return m_longWaiting + m_longRunning;
    }

    /** Long statements that run, also those without a permit. */
    int longRunning() const
    {
        return m_longRunning;
    }

    /** Whether the newest entries of any service come first. */
    bool isOverloaded() const;

    /** Expected time until all that waits has started. */
    duration backlog() const;

private:
    using sequence = std::uint64_t;

    struct waiting_entry {
        queue_entry entry;
        time_point arrival;
        time_point latestStart;
        double startTag = 0;
        double finishTag = 0;
        int sizeClass = 0;
    };

    struct running_entry {
        service_id service;
        work_class cls = work_class::Short;
        duration expected;
        time_point started;
    };

    /** The waiting entries of one class of a service in both orders. */
    struct lane {
        std::set<std::pair<double, std::uint64_t>> byTag; ///< Finish tag, sequence number.
        std::set<std::pair<int, std::int64_t>> byFreshness; ///< Size class, negated sequence number.
    };

    struct service_state {
        std::array<lane, 2> lanes;
        double tag = 0; ///< Work received by the service, in ms.
        double virtualTime = 0; ///< Finish tag of the entry started last.
        std::unordered_map<std::uint64_t, double> lastTags; ///< By caller.
        std::set<sequence> waiting; ///< In the order of arrival.
        bool overloaded = false;
        time_point intervalStart = never;
        double leastWait = 0; ///< In this interval, as a share of the time until the deadline.
    };

    void add(const queue_entry &entry, time_point now);
    waiting_entry remove(sequence number);
    void refuse(sequence number, refuse_reason reason, queue_actions &actions);
    bool makeRoom(const service_id &newcomer, queue_actions &actions);
    void refuseLate(time_point now, queue_actions &actions);
    void updateOverload(service_state &service, time_point now) const;
    void dispatch(time_point now, queue_actions &actions);
    void start(sequence number, time_point now, queue_actions &actions);
    void startRunning(const queue_entry &entry, time_point now, queue_actions &actions);
    queue_actions settle(time_point now, queue_actions actions = {});
    bool mayStart(work_class cls) const;
    static sequence headOf(const service_state &service, const lane &from);
    std::optional<sequence> headOf(const service_state &service) const;
    std::optional<sequence> next() const;
    static void forgetIdleCallers(service_state &service);

    admission_queue_settings m_settings;
    std::map<sequence, waiting_entry> m_waiting; ///< In the order of arrival.
    std::unordered_map<std::uint64_t, sequence> m_sequences;
    std::set<std::pair<time_point, sequence>> m_byLatestStart;
    std::unordered_map<std::uint64_t, running_entry> m_running;
    std::map<service_id, service_state> m_services;
    sequence m_nextSequence = 1;
    double m_virtualTime = 0; ///< Tag of the service served last.
    std::int64_t m_backlogMs = 0;
    int m_limit = 1;
    int m_longPlaces = 0;
    int m_longWaiting = 0;
    int m_longRunning = 0;
};

}
