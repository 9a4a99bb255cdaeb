#pragma once

#include "acknowledgedlog.h"
#include "commitproof.h"
#include "commitwitnesses.h"
#include "freshness.h"
#include "loadestimate.h"
#include "placement.h"
#include "promotionlease.h"
#include "routingconfiguration.h"
#include "targetdirectory.h"
#include "targetpool.h"
#include "waitqueue.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusdeal
{

/** What a statement, or the transaction that it begins, needs of its target. */
struct target_need {
    bool isWrite = false; ///< Only the primary will do.
    consistency reads = consistency::Primary;
    duration maxStaleness{0};
    std::optional<position> ownCommit; ///< The session's last one; counts for read-your-writes.
    time_point arrivedAt;
    int priority = 0;
    workspace_id workspace; ///< On whose behalf the connection is used; empty if on behalf of none.
    time_point wantedBy;
    time_point refuseAt; ///< If no target is free by then.
    bool mustBePrimary = false; ///< A replica has refused already.
    std::set<target_id> avoid; ///< Targets that have failed this statement.
};

/** A target and a connection to it, with one permit. */
struct target_grant {
    std::shared_ptr<target_pool> target;
    std::shared_ptr<target_link> link;
    bool isPrimary = false;
    std::optional<position> after; ///< What the log of the target must hold.
    /** Without a position the target has to prove that it is primary, by accepting a transaction that may write. */
    bool needsProof = false;
    double expectedMs = 0; ///< What a read was expected to take there when it was placed, with the surcharges.
    int candidates = 0; ///< Targets that could have got the read; 0 if there was no choice.
    duration knownAge; ///< Of what was known of its load.
    int reporters = 0; ///< Other instances whose hints counted.
};

enum class refusal_reason {
    NoPrimary,
    NoTarget,
    QueueTime,
    QueueFull,
    ExpectedWait,
    Shutdown,
    AccessUnconfirmed, ///< The key may have been taken away meanwhile.
};

inline constexpr auto refusalReasonNames = makeNameTable<refusal_reason>("no_primary",
                                                                         "no_target",
                                                                         "queue_time",
                                                                         "queue_full",
                                                                         "expected_wait",
                                                                         "shutdown",
                                                                         "access_unconfirmed");

/** The targets of one service as this instance sees them, and the work that waits for them. */
class service_group : public std::enable_shared_from_this<service_group>
{
public:
    using ticket = wait_queue::ticket;

    service_group(front_context &context, service_id id, data_centre_id dataCentre, const target_directory &directory);
    ~service_group();
    service_group(const service_group &) = delete;
    service_group &operator=(const service_group &) = delete;

    /** Trouble with the primary was seen; asks for somebody to look. */
    std::function<void(const char *why)> onPrimarySuspected;
    /** A target is reached again, and may have started again. */
    std::function<void(const target_id &)> onTargetReached;
    /** A current answer about the promotion lease is needed to tell which commits survive. */
    std::function<void()> onLeaseWanted;
    /** A random number from 0 up to but not including 1, by which reads are shared out; set from the start. */
    std::function<double()> draw;

    const service_id &id() const;
    /** @p servingByWorkspace: how many instances serve, if connections belong to workspaces. */
    void setPolicy(const service_policy &policy, std::optional<int> servingByWorkspace);
    const service_policy &policy() const;
    /** Takes over what the directory holds now. */
    void refreshTargets();
    const std::map<target_id, std::shared_ptr<target_pool>> &targets() const;
    /** Until something proves or refutes it, takes the target for the primary that says so of itself. */
    void adoptClaimedPrimary();
    /** When a statement last asked for a target, or since when the service is served. */
    time_point lastUsedAt() const;
    bool isInUse() const;
    void retire();

    /** Gives a target now or later, or refuses; one of the hooks is called once, @p granted possibly at once. */
    ticket acquire(const target_need &need,
                   std::function<void(target_grant)> granted,
                   std::function<void(refusal_reason)> refused);
    void abandon(ticket number);
    /** Ends a permit and gives the connection back if it can serve another session. */
    void release(const target_grant &grant, bool isReusable);
    void addPermit(const target_grant &grant);
    void endPermit(const target_grant &grant);
    void pump();
    /** Keeps a connection to each replica while the service is in use: one from before a promotion proves commits. */
    void keepConnected(time_point now);
    std::size_t queued() const;

    const std::optional<target_id> &primary() const;
    /** The primary, unless it is only said to be. */
    std::optional<target_id> provedPrimary() const;
    /** Whether statements for the primary cannot be expected to be served soon. */
    bool isPrimaryMissing(time_point now) const;
    /** Whether only the primary can serve @p need, as things are known now. */
    bool needsPrimary(const target_need &need) const;
    /** A target has proved that it led when it answered; @p at covers what was acknowledged before @p askedAt. */
    void recordPrimary(const target_id &target, std::optional<position> at, time_point askedAt);
    /** Holds a commit back until it survives promotions; see commit_proof::prove(). */
    commit_proof::ticket proveCommit(const sent_commit &commit, std::function<void(bool isKept)> done);
    void cancelProof(commit_proof::ticket number);
    /** The record of the promotion lease, or none, at @p revision of the store. */
    void recordLease(const std::optional<promotion_lease_record> &record,
                     std::uint64_t revision,
                     time_point currentSince);
    /** Another instance may promote without the store, for the targets that are known now. */
    void recordUnrecordedCommand(time_point now);
    /** Whether a newer answer about the promotion lease is needed to tell which commits survive. */
    bool isLeaseWanted() const;
    /** A commit at @p at is acknowledged to a caller. */
    void recordCommit(const position &at);
    /** What a new primary must hold, as far as it is known here. */
    acknowledged_log &acknowledged();
    const acknowledged_log &acknowledged() const;
    /** A target that was taken for the primary is not. */
    void recordNotPrimary(const target_id &target, const char *why);
    /** A read was refused by a replica whose log was behind. */
    void recordLagging(target_pool &pool, const target_reply &reply, std::optional<position> required);
    /** Adds what other instances should know of the targets, as far as they are in use. */
    void addLoads(time_point now, std::vector<reported_load> &loads) const;
    /** A hint of another instance on one of the targets. */
    void recordLoad(const instance_id &from, const reported_load &load);
    /** A replica has served a read whose position it had to hold. */
    void recordCaughtUp(const target_grant &grant, const target_reply &reply);
    /** From what the directory or a survey says. */
    void setPrimary(const target_id &target, const char *source);
    time_point primaryProvedAt() const;
    /** Since when there has been trouble with the primary; never without any. */
    time_point suspectedSince() const;
    void suspectPrimary(const char *why);

    /** Writes and commits that are sent to the primary, by when; a stalled primary acknowledges none. */
    void writeSent(time_point at);
    void writeEnded(time_point sentAt, bool isAcknowledged);
    time_point oldestOpenWrite() const;
    time_point lastWriteAckedAt() const;
    /** Takes over which targets can prove commits; also due while the entry of one is missing. */
    void refreshWitnesses();

private:
    /** Statements of the workspace that wait; of all where connections belong to none. */
    std::size_t waitingOf(const workspace_id &workspace) const;
    /** Connections that are being opened, and that such statements may use. */
    int openingFor(const workspace_id &workspace) const;
    void recordWaiting(const workspace_id &workspace, bool isAdded);
    load_estimate estimateOf(const target_pool &pool, time_point now) const;
    read_candidate candidateOf(const target_pool &pool,
                               const position &required,
                               const load_estimate &load,
                               time_point now) const;
    /** Opens a connection to the target that a read would go to if all had one. */
    void warmUpFor(std::vector<read_candidate> candidates, const std::vector<std::shared_ptr<target_pool>> &pools);
    bool tryPlace(const target_need &need, const std::function<void(target_grant)> &granted);
    bool tryPlaceAtPrimary(const target_need &need, const std::function<void(target_grant)> &granted);
    /** Gives @p grant with a connection to its target for @p workspace, if there is one. */
    bool grantAt(target_grant grant, const workspace_id &workspace, const std::function<void(target_grant)> &granted);
    std::optional<position> requiredPosition(const target_need &need) const;
    refusal_reason whyNotPlaced(const target_need &need) const;
    /** Whether the queue is too long for @p need to be placed before it is refused. */
    bool isHopeless(const target_need &need, bool isForPrimary) const;
    bool isUsable(const target_pool &pool, time_point now) const;
    /** Whether the target may be offered a read that needs @p required. */
    bool isOffered(const target_pool &pool, const target_need &need, const position &required, time_point now) const;
    /** As needsPrimary(), or since every other target is behind or cannot be used. */
    bool isOnlyForPrimary(const target_need &need, time_point now) const;
    void armRefusals();
    void openWhereNeeded(target_pool &pool, const workspace_id &workspace);

    front_context &m_context;
    service_id m_id;
    data_centre_id m_dataCentre;
    const target_directory &m_directory;
    service_policy m_policy;
    connection_allowance m_allowance; ///< At each target.
    std::map<workspace_id, std::size_t> m_waiting; ///< Statements in the queue, by workspace.
    std::map<target_id, std::shared_ptr<target_pool>> m_targets;
    wait_queue m_queue;
    position_samples m_samples;
    load_estimates m_loads;
    acknowledged_log m_acknowledged;
    commit_witnesses m_witnesses;
    std::shared_ptr<commit_proof> m_proofs;
    std::optional<target_id> m_primary;
    time_point m_primaryProvedAt = never;
    bool m_isPrimaryProved = false;
    time_point m_lastUsedAt;
    time_point m_suspectedSince = never;
    std::multiset<time_point> m_openWrites;
    time_point m_lastWriteAckedAt = never;
    deadline_queue::handle m_refusalTimer = 0;
    time_point m_refusalAt = never;
    bool m_isPumping = false;
    bool m_isPumpWanted = false;
};

}
