#pragma once

#include "acknowledgedlog.h"
#include "commitwitnesses.h"
#include "openorders.h"
#include "promotionattempt.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace crocusdeal::test
{

/** What happens in a history besides commits; each at a random time. */
struct world_troubles {
    int replicaCrashes = 0; ///< The log is lost; some are back soon, under the same id or another one.
    int primaryCrashes = 0; ///< The primary comes back with its log, under the same id or another one.
    int joins = 0;
    int deafReplicas = 0; ///< Receive nothing for a while.
    int lateOrders = 0; ///< Get no answer; carried out seconds later, if their token still holds.
    bool isDrained = false; ///< The primary is to be replaced.
    int cuts = 0; ///< The keeper does not reach the primary for a while, which serves the other instances.
    int lateFences = 0; ///< Get no answer, and are carried out seconds later.
    duration listingDelay{0}; ///< Databases receive as soon as they start, and are listed so much later at most.
    /** Instances that the store turns away for a while; they read the leases through others that may not answer. */
    int awayInstances = 0;
    bool arePeersBehind = false; ///< The others answer by readings that may be old, which is a fault.
    duration slowestEffect{0}; ///< Accepted orders take effect so much later than usual, at most.
    bool isAnswerTakenForEffect = false; ///< The keeper does so for accepted orders, which is a fault.
    bool doesFenceEndOrders =
        false; ///< The keeper takes a fence for the end of what was carried out, which is a fault.
    bool doesLeadEndPauses = false; ///< Of all databases, not of the one that leads only.
    bool mayOrderedTargetCrash = false; ///< Between the order that names it and its lead.
};

/**
 * A service and its instances, of which the first keeps its primary: databases crash, start again and join, orders are
 * carried out late.
 *
 * The keeper does what promotion_run and primary_keeper do around promotion_attempt, without their delays by sockets.
 * All instances send commits and hand them out as commit_proof does; what they know of the store is old.
 */
class promotion_world
{
public:
    promotion_world(std::uint32_t seed, const world_troubles &troubles);

    /** False if an acknowledged commit was not in the log of a database that was promoted. */
    bool run(duration length);
    /** False if the record told that no order is open while one could still take effect. */
    bool isRecordTrue() const;
    int promotions() const;
    /** Commits that callers were told of. */
    int handedOut() const;
    /** What happened, for a failed history. */
    const std::string &history() const;

private:
    struct database {
        target_id id;
        std::uint64_t incarnation = 1;
        int address = 0;
        bool isRunning = true;
        time_point restartedAt = never; ///< The instances notice by their connections.
        bool isPrimary = false;
        bool isDraining = false;
        bool isListed = true;
        bool isKnown = true; ///< Has been listed before.
        std::uint64_t listedAt = 1; ///< Revision.
        std::uint64_t listedIncarnation = 1;
        time_point listAt = never; ///< When the entry of one that has started comes.
        std::uint64_t term = 1;
        std::uint64_t received = 0;
        std::uint64_t pausedTerm = 0;
        time_point deafUntil = never;
        time_point unlistedAt = never; ///< When the entry of one that has crashed goes.
    };
    struct planned_event {
        enum class kind { CrashReplica, CrashPrimary, Join, Deafen, Drain, Cut, Restart } what;
        time_point at;
        target_id who; ///< Of a restart.
    };
    struct pending_control {
        promotion_action action;
        time_point sentAt;
        time_point arrivesAt;
        std::uint64_t incarnation = 0;
    };
    struct pending_order {
        target_id target;
        std::uint64_t token = 0;
        time_point arrivesAt;
        time_point effectiveAt = never;
        bool isAnswered = true;
    };

    /** What the store holds at one revision. */
    struct store_state {
        std::uint64_t revision = 0;
        time_point since;
        std::vector<listed_target> targets;
        std::optional<promotion_lease_record> lease; ///< While a command may be open.
    };
    struct caller_instance {
        commit_witnesses witnesses;
        std::map<target_id, position> known; ///< Positions that were seen in answers over the connections.
        std::map<target_id, time_point> connectedAt; ///< When the connection to the target was opened.
        time_point leaseAskedAt = never; ///< Of a current answer that is under way.
        time_point leaseAnsweredAt = never;
        time_point leaseReadAt = never; ///< When the instance that was asked reads the store; never if it has.
        std::optional<store_state> leaseRead; ///< What it has read.
        time_point awayFrom = never;
        time_point awayUntil = never;
        duration storeDelay;
        std::size_t statesSeen = 0;
    };
    struct open_commit {
        std::uint64_t number = 0;
        target_id primary;
        std::uint64_t term = 0;
        std::size_t instance = 0;
        time_point sentAt;
        bool isAcknowledged = false; ///< By the primary.
        time_point handedOutAt = never;
    };

    void plan(planned_event::kind what, int count);
    void carryOutEvents();
    void crash(database &one, duration downTime);
    void restart(const target_id &id);
    void replicate();
    void writeStore();
    void hearFromStore();
    /** Opens connections that have ended, and asks for a current answer about the lease where one is needed. */
    void connect(caller_instance &instance);
    void askForLease(caller_instance &instance);
    /** As askForLease(), of another instance. */
    void askPeerForLease(caller_instance &instance);
    void hearFromPeer(caller_instance &instance);
    bool isLeaseWanted(const caller_instance &instance) const;
    bool isAway(const caller_instance &instance) const;
    /** Hands out the commits that are known to survive. */
    void handOutCommits();
    bool isProved(const open_commit &commit);
    bool isKeeperCut() const;
    /** Writes its entry, perhaps later. */
    void list(database &one);
    void carryOutControls();
    void answer(const pending_control &control);
    void carryOutOrders();
    void promote(const target_id &id);
    void keep();
    /** What primary_keeper learns of the log, from the directory and from the answers of a primary that serves. */
    void recordLog();
    /** Notices by its connections which targets have started again. */
    void recordReached();
    void beginAttempt(promotion_reason reason);
    void stepAttempt();
    void finishAttempt();
    void fenceOrder();
    /** What the keeper does about open orders while the primary serves. */
    void endOpenOrders(const database &leader);
    /** Ends the orders whose targets do not live any more as what they were. */
    void endOrdersOfGone();
    void settle();
    bool mayTakeEffect(const pending_order &order);
    void endPauses();
    void sendOrder(const target_id &id);
    bool isKnownGone(const database &one) const;
    std::vector<promotion_member> listed() const;
    database *find(const target_id &id);
    database *primary();
    duration randomTime(int most);
    void tell(const std::string &line);

    std::mt19937 m_random;
    world_troubles m_troubles;
    time_point m_now{100000};
    time_point m_end;
    std::vector<database> m_databases;
    std::vector<planned_event> m_events;
    std::vector<pending_control> m_controls;
    std::vector<pending_order> m_orders;
    std::optional<promotion_attempt> m_attempt;
    acknowledged_log m_log;
    std::map<target_id, std::uint64_t> m_incarnations; ///< As the instance knows them.
    std::map<target_id, time_point> m_reachedAt; ///< When the keeper has connected to a target.
    std::optional<target_id> m_lastPrimary; ///< As the instance knows it.
    time_point m_noPrimarySince = never;
    time_point m_retryAt = never;
    time_point m_heldUntil = never; ///< Planned changes and the end of pauses, after a fence.
    open_orders m_open;
    bool m_isRecordTrue = true;
    bool m_isListAsked = false;
    time_point m_listAnswersAt = never;
    std::vector<store_state> m_store;
    std::vector<caller_instance> m_instances;
    std::vector<open_commit> m_commits;
    bool m_isLeaseOpen = false;
    std::uint64_t m_openSince = 0;
    time_point m_cutUntil = never;
    int m_lateFencesLeft = 0;
    std::vector<std::pair<time_point, std::uint64_t>> m_lateFences; ///< Tokens that arrive later.
    std::uint64_t m_token = 0;
    std::uint64_t m_highestToken = 0;
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_term = 1;
    int m_lateOrdersLeft = 0;
    int m_nextId = 3;
    int m_promotions = 0;
    int m_handedOut = 0;
    bool m_areAllCommitsKept = true;
    std::string m_history;
};

}
