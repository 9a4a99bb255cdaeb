#pragma once

#include "metadatastore.h"
#include "targetdirectory.h"
#include "targetpool.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** Keeps this instance up to date with the configuration and the targets in the metadata store. */
class store_feed : public std::enable_shared_from_this<store_feed>
{
public:
    /** @p configurationApply and @p drainTime are those of front_settings. */
    store_feed(front_context &context, metadata_store &store, duration configurationApply, duration drainTime);

    std::function<void(routing_configuration)> onConfiguration;
    /** A current answer says that this version was the newest at @p at. */
    std::function<void(std::uint64_t version, time_point at)> onConfigurationCurrent;
    /** How long a watch of the configuration may wait; nothing if it may take its time. */
    std::function<std::optional<duration>()> configurationWait;
    /** With the time at which the last answer that would have told of a change before was asked for. */
    std::function<void(const target_update &, time_point changedAfter)> onTargets;

    std::function<void(const promotion_lease_list_update &, store_reading reading, time_point askedAt)> onLeases;

    void start();
    void stop();
    /** Has the watch of the configuration answered at once, unless an answer is due anyway. */
    void confirmConfiguration();
    /** Reads the list of targets at once, beside the watch; tells whether it could. */
    void refreshTargets(std::function<void(bool)> done);
    /** Reads the records of the promotion leases at once, beside the watch; the answer is not allowed to be old. */
    void readLeases(std::function<void(const promotion_lease_list_update &)> done);
    /** When the store last answered about the configuration. */
    time_point configurationHeardAt() const;
    /** Whether the store has failed a probe after other calls, and answered nothing since. */
    bool isStoreAway() const;
    /** Whether the targets are known as they were longestTargetAge() ago, or later. */
    bool areTargetsCurrent(time_point now) const;

private:
    void readConfiguration();
    void watchConfiguration();
    void watchConfigurationFor(duration wait);
    void watchConfigurationAfterPause();
    /** @p wait is that of a watch; nothing for a reading. */
    void handleConfiguration(const configuration_update &update, time_point askedAt, std::optional<duration> wait);
    void recordConfigurationVersion(const configuration_update &update,
                                    time_point askedAt,
                                    std::optional<duration> wait);
    /** A cheap second watch with a short wait finds out soon if the first has gone silent. */
    void checkConfiguration();
    void handleConfigurationCheck(const configuration_update &update);
    void listTargets();
    void watchTargets();
    void handleTargets(const target_update &update, store_reading reading, time_point askedAt);
    /** Takes over what the store says, and since when it has been so at least. */
    void takeTargets(const target_update &update, store_reading reading, time_point askedAt);
    /** The watch may be old, so that the targets are read as they are now every so often. */
    void checkTargets();
    void checkTargetsAt(time_point at);
    void recordChecked(const target_update &update);
    /** Leaves out of an answer that may be old what is known from a later state. */
    target_update withoutKnown(target_update update) const;
    void handleTargetCheck(const target_update &update, time_point askedAt);
    /** The store did not answer about the targets; they are listed once it is back. */
    void loseTargets();
    void listPromotionLeases();
    void watchPromotionLeases();
    void handleLeases(const promotion_lease_list_update &update, store_reading reading, time_point askedAt);
    /** Logs each entry that names no target once, until it changes. */
    void recordIgnored(const target_update &update);
    void recordUnreadable(const configuration_update &update);
    void recordStore(const char *what, bool isReachable, const std::string &detail);
    using step = void (store_feed::*)();
    void later(step next);
    /** Keeps @p next until the store answers a probe. */
    void waitForStore(step next);
    void probe();

    front_context &m_context;
    metadata_store &m_store;
    duration m_checkWait;
    duration m_drainTime;
    duration m_changePause;
    std::uint64_t m_checkRevision = 0;
    time_point m_targetsListedAt = never;
    time_point m_targetsCurrentAt = never; ///< The targets are known as they were then, at least.
    int m_targetReads = 0; ///< Only the answer to the last list or watch counts.
    bool m_areTargetsWatched = false; ///< Else they are listed, or the store is waited for.
    int m_configurationReads = 0; ///< Answers to watches from before the last read are ignored.
    std::vector<step> m_waitingSteps; ///< Each once.
    duration m_probeDelay;
    bool m_isProbing = false;
    bool m_hasProbeFailed = false;
    std::uint64_t m_configurationRevision = 0;
    std::optional<std::uint64_t> m_configurationVersion; ///< In the store at that revision; nothing if unreadable.
    bool m_isConfigurationWatched = false; ///< Else it is read, or the store is waited for.
    bool m_isConfirming = false; ///< The watch under way answers at once.
    std::uint64_t m_targetRevision = 0; ///< From which the watch goes on; it may lie behind the checked one.
    std::uint64_t m_checkedRevision = 0;
    std::map<target_id, std::uint64_t> m_checked; ///< Revisions that the watch has yet to reach.
    std::uint64_t m_leaseRevision = 0;
    time_point m_configurationHeardAt = never;
    bool m_isStoreReachable = true;
    std::map<std::string, std::string> m_ignored; ///< Entries that name no target, with the reason.
    bool m_isStopped = false;
};

}
