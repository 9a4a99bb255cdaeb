#pragma once

#include "metadatastore.h"
#include "pausewatch.h"
#include "primarychange.h"
#include "primaryfailuredetector.h"
#include "promotionorders.h"
#include "promotionrun.h"
#include "promotionwithoutstore.h"
#include "servicegroup.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusdeal
{

/**
 * Finds the primary of one service again after trouble, and changes it if it is lost or leaves.
 *
 * Whether a primary is lost is judged by what its replicas receive as well: one that only this instance cannot reach
 * goes on feeding them and is left alone.
 */
class primary_keeper : public std::enable_shared_from_this<primary_keeper>
{
public:
    primary_keeper(front_context &context,
                   std::shared_ptr<service_group> group,
                   const target_directory &directory,
                   metadata_store &store,
                   promotion_authority &authority,
                   std::string self,
                   data_centre_id dataCentre);

    /** Reads the list of targets afresh into the directory; tells whether it could. */
    std::function<void(std::function<void(bool)>)> refreshDirectory;
    /** Whether any target of a data centre has answered this instance just now. */
    std::function<bool(const data_centre_id &)> isAnswering;
    /** Whether the store is known not to answer this instance. */
    std::function<bool()> isStoreAway;
    /** Asks every other instance what it knows of the service; one that does not answer has no value. */
    std::function<void(std::function<void(const std::vector<std::optional<instance_knowledge>> &)>)> askInstances;
    /** How long the entry of a target that has ended, or cannot write it any more, stays in the list at most. */
    duration entryLifetime;
    /** A survey has got no answer of a target. */
    std::function<void()> onMissed;

    void start();
    void stop();
    /** Whether it has nothing to find out, to change or to follow up. */
    bool isIdle() const;
    /** The record of the lease, or none, as the store has it. */
    void leaseReported(const std::optional<promotion_lease_record> &record, time_point askedAt);
    /** Looks for replicas that an attempt has left paused, while the primary serves. */
    void checkPauses();
    /** The directory has changed. */
    void directoryChanged();
    /** Something suggests that the primary cannot serve. */
    void suspectPrimary(const char *why);
    /** Asks the primary, and then tells what this instance knows. */
    void describe(std::function<void(const instance_knowledge &)> done);
    /** Whether this instance has lost most targets of the service, so that others are more likely to serve it. */
    bool isCutOff(time_point now) const;
    /** Whether a target whose entry is gone can be told to have left, rather than to be out of reach. */
    bool isKnownGone(const target_id &target) const;

private:
    void scheduleTick(duration delay);
    /** A part of @p spread by name, so that the instances do not all act at once. */
    duration shareOf(duration spread) const;
    void tick();
    bool hasWork(time_point now) const;
    void surveyAll();
    void handleSighting(const target_id &target, const control_reply &reply);
    /** Logs that a target leads a term that this instance has not heard of, which ends an open order for it. */
    void tellLead(const target_id &target, const replication_report &report) const;
    void judge();
    primary_situation situation(time_point now) const;
    /** Logs once that a lost primary is not replaced. */
    void tellHeldBack(const primary_situation &seen);
    bool isPrimaryStalled(time_point now) const;
    bool isPrimaryDraining() const;
    void claimIdleLease();
    bool isClaiming() const;
    /** Plans to fence what a holder that does not act any more may have left open. */
    void watchOpenOrder();
    void resume(const target_id &target, const char *why);
    /** The only target that an open order can name, if it is known and can be reached. */
    std::optional<target_id> orderedTarget() const;
    /** An order has ended by what was seen: if it was the last one, the pauses end, and others may rely on the lease.
     */
    void orderEnded();
    void resumeAll();
    /** Whether an order that was carried out just before the last fence may still take effect. */
    bool isFenceRecent() const;
    /** Ends the orders whose targets are gone for good. */
    void endOrdersOfGone();
    /** After a fence: the target of the fenced command at once, the others when it cannot be about to lead any more. */
    void resumePaused();
    bool mayActWithoutStore() const;
    void begin(promotion_reason reason);
    /** Whether another instance, which may know more of the service, is to try first. */
    bool isOthersTurn(promotion_reason reason, time_point now) const;
    void claimThenStart(promotion_reason reason);
    void handleClaim(claim_result result, promotion_reason reason);
    void refreshThenStart(promotion_reason reason);
    void askInstancesThenStart(promotion_reason reason);
    /** Empty if what the other instances know allows a change without the store, else why not. */
    std::string refusalWithoutStore(const std::vector<std::optional<instance_knowledge>> &answers);
    instance_knowledge knowledge() const;
    void startAttempt(promotion_reason reason);
    /** Records targets that have left, or started again, as lost logs; asks the primary, if it serves, how far it is.
     */
    void recordLostLogs();
    void tellLostLog(const target_id &target, const char *why) const;
    void recordReached(const target_id &target);
    /** A log that has become shorter is lost, whatever the entry of its target says. */
    void recordSeenLog(const target_id &target, const replication_report &report, time_point askedAt);
    /** Reads the list when the entries of targets whose logs are in doubt are due to have changed if they are. */
    void confirmLogs(time_point now);
    void recordKeptLogs(time_point listAskedAt);
    bool isLogKnown() const;
    std::optional<position> requiredLog() const;
    /** Asks the target that is taken for the primary how far its log goes. */
    void askPrimary();
    /** As askPrimary(), with a question that is later than what has just been recorded of the logs. */
    void askPrimaryNext();
    bool isPrimaryInPlace() const;
    /** From when on a doubt about a log counts: only a list from long after it, and after any trouble, ends it. */
    time_point doubtCountsFrom(time_point since) const;
    /** The targets of the service, but for those that are known to have left. */
    std::vector<promotion_member> presentMembers() const;
    void run(promotion_attempt attempt);
    void finishAttempt(const promotion_attempt &attempt);
    /** Tells the other instances that no order is open, unless one may take effect yet. */
    void settleOrders();
    /** The store has taken, or not, the record that ends the pauses. */
    void handleSettled(bool isSettled);
    /** With the primary in place, so that what is open is not carried out behind its back. */
    void fenceOpenOrder(const target_id &primary);

    front_context &m_context;
    std::shared_ptr<service_group> m_group;
    const target_directory &m_directory;
    std::string m_self;
    data_centre_id m_dataCentre;
    std::shared_ptr<promotion_orders> m_orders;
    primary_failure_detector m_sightings;
    std::shared_ptr<pause_watch> m_pauseWatch;
    std::shared_ptr<promotion_run> m_attempt; ///< Null unless one is under way.
    deadline_queue::handle m_tick = 0;
    time_point m_suspectedSince = never;
    time_point m_drainingSince = never;
    time_point m_retryAt = never;
    std::optional<target_id> m_lastOrdered; ///< Of a command of this instance that got no answer.
    time_point m_fencedAt = never; ///< When the last fence of an open order was accepted.
    std::map<target_id, std::uint64_t> m_incarnations; ///< Of the targets of the service that may hold their log.
    std::optional<target_id> m_lastPrimary;
    std::uint64_t m_primaryTerm = 0; ///< Of m_lastPrimary.
    deadline_queue::handle m_fenceCheck = 0;
    deadline_queue::handle m_primaryQuestion = 0;
    time_point m_storeSeenAwayAt = never;
    std::set<target_id> m_listedOnce; ///< Targets of the service that this instance has ever seen listed.
    bool m_isFenceDue = false;
    bool m_isResumeDue = false; ///< Of all replicas, once the record is settled.
    bool m_werePausesKept = false; ///< By the attempt that is running, for an order from before it.
    bool m_isHeldBack = false;
    bool m_isRefreshing = false; ///< The list of targets, under a claim.
    bool m_isLeaseKnown = false;
    bool m_isStopped = false;
};

}
