#pragma once

#include "databases.h"
#include "faultplan.h"
#include "loop.h"
#include "platform.h"
#include "recordcheck.h"
#include "world.h"

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocusdeal
{

/** What is the same for all faults of a run. */
struct fault_options {
    std::string program; ///< Of the daemon.
    std::string directory; ///< For the record, the settings and the logs of the daemons.
    std::uint32_t seed = 1;
    std::size_t instances = 3;
    /** Of a writer between two writes, at most. Writes have to be rare at times: a primary whose log grows is not lost.
     */
    duration writerPause{1000};
    duration listingDelay{500}; ///< From the start of a target until its entry is written, at most.
    duration orderDelay{12000}; ///< Until a call without an answer is carried out, at most.
    duration orderEffect{600}; ///< From an accepted call until its target leads.
    duration slowOrderEffect{4000}; ///< As orderEffect, during SlowOrder.
};

/**
 * One service on the users' platform: the store, the promotion call and the databases are stand-ins in this process,
 * the instances are daemons of their own that they reach by loopback sockets. Strikes both with faults.
 */
class fault_world
{
public:
    explicit fault_world(fault_options options);
    ~fault_world();
    fault_world(const fault_world &) = delete;
    fault_world &operator=(const fault_world &) = delete;

    /** Plays the faults under load; @p length is the time of the load. Throws if a daemon ends by itself. */
    void run(const std::vector<planned_fault> &faults, duration length);
    const record_check &check() const;
    int promotions() const;

private:
    struct instance {
        std::string name;
        std::string settings;
        std::string callers;
        pid_t process = 0;
        bool isFrozen = false;
    };

    void record(const std::string &line);
    void startInstances();
    pid_t startProcess(const instance &one) const;
    /** Throws if a daemon has ended by itself; then looks again in a while. */
    void watchInstances();
    void addCallers(std::size_t which);
    void handleWrite(std::size_t which, const review::client::result &result, const std::string &item);
    std::set<std::string> primaryLog();

    void strike(const planned_fault &fault);
    void strikePrimary(const planned_fault &fault, const std::string &primary);
    void strikeReplica(const planned_fault &fault, const std::string &replica);
    void strikePlatform(const planned_fault &fault);
    void strikeInstance(const planned_fault &fault);
    /** Cuts the target off from some instances, but not from all. */
    void cutFromSome(const std::string &target, const planned_fault &fault);
    void darken(const std::string &target, duration length);
    /** Returns those that receive nothing from now on. */
    std::vector<std::shared_ptr<review::database>> deafenAllBut(const std::set<std::string> &targets);
    void endDeafness(const std::vector<std::shared_ptr<review::database>> &deafened);
    /** The entry of a replica goes and comes back; in between an instance starts again, and the primary crashes. */
    void loseEntry(const planned_fault &fault);
    /** The primary crashes with all instances but one, which has not heard of what only the replica holds. */
    void crashUnheard(const std::string &replica, std::size_t survivor, const planned_fault &fault);
    void crash(const std::string &target, const planned_fault &fault);
    /** Starts a target that has crashed; under another id if @p isRenamed, and no order names it. */
    void startAgain(const std::shared_ptr<review::database> &one, bool isRenamed);
    void join(duration listingDelay);
    /** Drains the target; then another one takes over its address and its log. */
    void release(const std::string &target, const planned_fault &fault);
    void freeze(std::size_t which, duration length);
    void killInstance(std::size_t which);
    void turnAway(const planned_fault &fault);
    void sendLate(const planned_fault &fault);

    void crashBesideOrder(const std::string &ordered);
    bool handleCall(const review::promotion_service::order &order);
    void handlePromoted(review::database &leader);
    /** Whether an order that names the target may take effect yet. */
    bool isOrdered(const std::string &target) const;
    void publish(const std::string &target);
    /** Writes the entry of a target that has started. */
    void publishLater(const std::string &target, duration delay);
    /** Removes the entry unless the target has started again. */
    void expire(const std::string &target);
    std::vector<std::string> runningReplicas();
    std::vector<std::string> listedReplicas();
    std::optional<std::string> primaryId();
    std::string newTargetId();
    duration drawn(duration most);

    fault_options m_options;
    std::ofstream m_record;
    std::mt19937 m_random;
    review::loop m_loop;
    review::object_store m_store;
    review::promotion_service m_authority;
    review::database_group m_databases;
    record_check m_check;
    std::vector<instance> m_instances;
    std::vector<std::shared_ptr<review::client>> m_callers;
    std::map<std::string, std::uint64_t> m_requiredByRead; ///< By the name of the caller that reads.
    std::set<std::string> m_draining;
    std::string m_lostEntry; ///< Of a target that cannot write its entry; else empty.
    std::map<std::string, std::int64_t> m_orderedUntil; ///< Until when the target of an order keeps its name.
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_tokenHolders; ///< By service and token.
    std::int64_t m_lateUntil = 0;
    duration m_lateBy;
    std::int64_t m_slowUntil = 0;
    std::int64_t m_crashAtOrderUntil = 0;
    int m_targetsMade = 0;
    int m_promotions = 0;
    bool m_isOver = false;
};

}
