#include "storefeed.h"

#include "systemclock.h"

#include <algorithm>
#include <string>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration retryTime{250};
constexpr duration longestRetry{500}; // The configuration has to be in force soon after the store is back.
constexpr duration longestConfigurationWait{25000}; // The check beside it finds out soon if this watch has gone silent.
constexpr duration longestTargetWait{10000}; // The check beside it finds out soon if this watch has gone silent.
constexpr duration targetListAge{60000}; // The watch may be old, so a current list follows now and then.
constexpr duration leaseWait{25000}; // Records change seldom, and a claim finds out in any case.
constexpr duration shortestWait{500};
constexpr duration longestChangePause{400};
constexpr std::size_t maxIgnoredKnown = 1000;
constexpr int changePauseShare = 8; // Of the time in which a change has to be in force.

}

store_feed::store_feed(front_context &context, metadata_store &store, duration configurationApply, duration drainTime)
    : m_context(context)
    , m_store(store)
    // A watch that has gone silent is noticed when its time is over, which leaves as much again to read afresh.
    , m_checkWait(std::max(shortestWait, configurationApply / 2))
    , m_drainTime(drainTime)
    // Changes that follow at once are read together: each answer carries the configuration as a whole.
    , m_changePause(std::min(longestChangePause, configurationApply / changePauseShare))
    , m_probeDelay(retryTime)
{
}

void store_feed::start()
{
    readConfiguration();
    listTargets();
    checkTargetsAt(systemNow() + targetCheckInterval(m_drainTime));
    listPromotionLeases();
}

void store_feed::stop()
{
    m_isStopped = true;
}

time_point store_feed::configurationHeardAt() const
{
    return m_configurationHeardAt;
}

bool store_feed::isStoreAway() const
{
    return m_hasProbeFailed;
}

bool store_feed::areTargetsCurrent(time_point now) const
{
    return !isStoreAway() && m_targetsCurrentAt != never && now - m_targetsCurrentAt <= longestTargetAge(m_drainTime);
}

void store_feed::later(step next)
{
    m_context.deadlines.scheduleAfter(retryTime, [self = shared_from_this(), next] {
        if (!self->m_isStopped) {
            ((*self).*next)();
        }
    });
}

void store_feed::waitForStore(step next)
{
    if (std::find(m_waitingSteps.begin(), m_waitingSteps.end(), next) == m_waitingSteps.end()) {
        m_waitingSteps.push_back(next);
    }
    if (!std::exchange(m_isProbing, true)) {
        m_probeDelay = retryTime;
        later(&store_feed::probe);
    }
}

void store_feed::probe()
{
    m_store.readConfiguration(store_reading::MayBeOld, [self = shared_from_this()](const configuration_update &update) {
        if (self->m_isStopped) {
            return;
        }
        self->m_hasProbeFailed = update.failure != store_failure::None;
        if (self->m_hasProbeFailed) {
            self->m_probeDelay = std::min(longestRetry, self->m_probeDelay * 2);
            self->m_context.deadlines.scheduleAfter(self->m_probeDelay, [self] { self->probe(); });
            return;
        }
        self->m_isProbing = false;
        for (const auto next : std::exchange(self->m_waitingSteps, {})) {
            ((*self).*next)();
        }
    });
}

void store_feed::readConfiguration()
{
    ++m_configurationReads;
    m_isConfigurationWatched = false;
    m_isConfirming = false;
    m_store.endConfigurationWatches();
    m_store.readConfiguration(store_reading::Current,
                              [self = shared_from_this(), read = m_configurationReads, askedAt = systemNow()](
                                  const configuration_update &update) {
                                  if (read == self->m_configurationReads) {
                                      self->handleConfiguration(update, askedAt, std::nullopt);
                                  }
                              });
}

void store_feed::watchConfiguration()
{
    watchConfigurationFor(configurationWait().value_or(longestConfigurationWait));
}

void store_feed::watchConfigurationFor(duration wait)
{
    m_isConfigurationWatched = true;
    m_isConfirming = wait == duration{};
    m_store.watchConfiguration(m_configurationRevision,
                               wait,
                               store_reading::Current,
                               [self = shared_from_this(), read = m_configurationReads, askedAt = systemNow(), wait](
                                   const configuration_update &update) {
                                   if (read == self->m_configurationReads) {
                                       self->handleConfiguration(update, askedAt, wait);
                                   }
                               });
}

void store_feed::confirmConfiguration()
{
    if (!m_isConfigurationWatched || m_isConfirming || m_isStopped) {
        return; // What is under way answers soon, or the store is away.
    }
    ++m_configurationReads;
    m_store.endConfigurationWatches();
    watchConfigurationFor({});
    checkConfiguration();
}

void store_feed::handleConfiguration(const configuration_update &update,
                                     time_point askedAt,
                                     std::optional<duration> wait)
{
    if (m_isStopped) {
        return;
    }
    if (update.failure == store_failure::HistoryGone) {
        readConfiguration();
        return;
    }
    recordStore("configuration", update.failure == store_failure::None, update.detail);
    if (update.failure != store_failure::None) {
        // A watch may have missed changes while it failed, so it starts from what is there now.
        m_isConfigurationWatched = false;
        waitForStore(&store_feed::readConfiguration);
        return;
    }
    m_configurationHeardAt = systemNow();
    m_configurationRevision = update.revision;
    m_isConfirming = false;
    recordUnreadable(update);
    if (update.configuration) {
        onConfiguration(*update.configuration);
    }
    recordConfigurationVersion(update, askedAt, wait);
    const bool isWatch = wait.has_value();
    if (!update.configuration && !isWatch) {
        later(&store_feed::readConfiguration);
        return;
    }
    if (!isWatch) {
        m_checkRevision = update.revision;
        watchConfiguration();
        checkConfiguration();
        return;
    }
    if (update.configuration && !m_configurationVersion) {
        readConfiguration(); // Tells which of several changes is there now.
        return;
    }
    if (update.configuration) {
        watchConfigurationAfterPause();
        return;
    }
    watchConfiguration();
}

void store_feed::recordConfigurationVersion(const configuration_update &update,
                                            time_point askedAt,
                                            std::optional<duration> wait)
{
    if (!wait || update.configuration || !update.detail.empty()) {
        // Of several changes in one answer the unreadable one may be the last.
        const bool isReadable = update.configuration && update.detail.empty();
        m_configurationVersion = isReadable ? std::optional(update.configuration->version) : std::nullopt;
    }
    if (!m_configurationVersion) {
        return;
    }
    // A watch that was cut off, or that tells of something else, says nothing of the time after it was asked.
    const bool isWhole = wait && !update.configuration && systemNow() - askedAt >= *wait;
    onConfigurationCurrent(*m_configurationVersion, isWhole ? askedAt + *wait : askedAt);
}

void store_feed::recordUnreadable(const configuration_update &update)
{
    if (!update.configuration && !update.detail.empty()) {
        m_context.log.warn("configuration_ignored")
            .field("revision", static_cast<std::int64_t>(update.revision))
            .field("reason", update.detail);
    }
}

void store_feed::checkConfiguration()
{
    m_store.watchConfiguration(
        m_checkRevision,
        m_checkWait,
        store_reading::MayBeOld,
        [self = shared_from_this(), read = m_configurationReads](const configuration_update &update) {
            if (read == self->m_configurationReads && !self->m_isStopped) {
                self->handleConfigurationCheck(update);
            }
        });
}

void store_feed::handleConfigurationCheck(const configuration_update &update)
{
    const bool isGood = update.failure == store_failure::None;
    recordStore("configuration", isGood || update.failure == store_failure::HistoryGone, update.detail);
    if (!isGood) {
        // The other watch may be as silent.
        waitForStore(&store_feed::readConfiguration);
        return;
    }
    m_checkRevision = update.revision;
    if (!update.configuration) {
        checkConfiguration();
        return;
    }
    onConfiguration(*update.configuration);
    m_context.deadlines.scheduleAfter(m_changePause, [self = shared_from_this(), read = m_configurationReads] {
        if (read == self->m_configurationReads && !self->m_isStopped) {
            self->checkConfiguration();
        }
    });
}

void store_feed::watchConfigurationAfterPause()
{
    m_context.deadlines.scheduleAfter(m_changePause, [self = shared_from_this(), read = m_configurationReads] {
        // A read that has begun meanwhile starts a watch of its own.
        if (read == self->m_configurationReads && !self->m_isStopped) {
            self->watchConfiguration();
        }
    });
}

void store_feed::listTargets()
{
    m_areTargetsWatched = false;
    m_store.endTargetWatch();
    m_store.listTargets(
        [self = shared_from_this(), read = ++m_targetReads, askedAt = systemNow()](const target_update &update) {
            if (read == self->m_targetReads) {
                self->handleTargets(update, store_reading::Current, askedAt);
            }
        });
}

void store_feed::watchTargets()
{
    m_areTargetsWatched = true;
    m_store.watchTargets(
        m_targetRevision,
        longestTargetWait,
        store_reading::MayBeOld,
        [self = shared_from_this(), read = ++m_targetReads, askedAt = systemNow()](const target_update &update) {
            if (read == self->m_targetReads) {
                self->handleTargets(update, store_reading::MayBeOld, askedAt);
            }
        });
}

void store_feed::handleTargets(const target_update &update, store_reading reading, time_point askedAt)
{
    if (m_isStopped) {
        return;
    }
    if (update.failure == store_failure::HistoryGone) {
        listTargets();
        return;
    }
    recordStore("targets", update.failure == store_failure::None, update.detail);
    if (update.failure != store_failure::None) {
        loseTargets();
        return;
    }
    takeTargets(update, reading, askedAt);
    if (systemNow() - m_targetsListedAt > targetListAge) {
        listTargets();
        return;
    }
    watchTargets();
}

void store_feed::takeTargets(const target_update &update, store_reading reading, time_point askedAt)
{
    recordIgnored(update);
    if (update.isComplete) {
        m_targetsListedAt = systemNow();
        m_targetRevision = update.revision;
    }
    if (reading == store_reading::MayBeOld) {
        m_targetRevision = update.revision;
        onTargets(withoutKnown(update), m_targetsCurrentAt);
        std::erase_if(m_checked, [&](const auto &known) { return known.second <= update.revision; });
        return;
    }
    recordChecked(update);
    onTargets(update, m_targetsCurrentAt);
    // The answer was true at some time since then, and says nothing of the time after that.
    m_targetsCurrentAt = askedAt;
}

void store_feed::recordChecked(const target_update &update)
{
    m_checkedRevision = update.revision;
    if (update.isComplete) {
        for (auto &[id, revision] : m_checked) {
            revision = update.revision;
        }
    }
    for (const auto &entry : update.entries) {
        m_checked[entry.id] = entry.revision;
    }
    for (const auto &id : update.removed) {
        m_checked[id] = update.revision;
    }
}

target_update store_feed::withoutKnown(target_update update) const
{
    if (update.isComplete) {
        return update;
    }
    const auto isKnownSince = [this](const target_id &id, std::uint64_t revision) {
        const auto known = m_checked.find(id);
        return known != m_checked.end() && known->second > revision;
    };
    std::erase_if(update.entries, [&](const target_entry &entry) { return isKnownSince(entry.id, entry.revision); });
    std::erase_if(update.removed, [&](const target_id &id) { return isKnownSince(id, update.revision); });
    return update;
}

void store_feed::checkTargetsAt(time_point at)
{
    m_context.deadlines.schedule(at, [self = shared_from_this()] {
        if (!self->m_isStopped) {
            self->checkTargets();
        }
    });
}

void store_feed::checkTargets()
{
    const auto now = systemNow();
    const auto due = m_targetsCurrentAt + targetCheckInterval(m_drainTime);
    if (!m_areTargetsWatched || now < due) {
        checkTargetsAt(std::max(due, now + retryTime));
        return;
    }
    m_store.watchTargets(m_checkedRevision,
                         {},
                         store_reading::Current,
                         [self = shared_from_this(), askedAt = now](const target_update &update) {
                             if (!self->m_isStopped) {
                                 self->handleTargetCheck(update, askedAt);
                                 self->checkTargetsAt(systemNow() + retryTime);
                             }
                         });
}

void store_feed::handleTargetCheck(const target_update &update, time_point askedAt)
{
    if (!m_areTargetsWatched) {
        return; // The list that is under way tells more.
    }
    const bool hasGoneBack = update.failure == store_failure::None && update.revision < m_checkedRevision;
    if (update.failure == store_failure::HistoryGone || hasGoneBack) {
        listTargets();
        return;
    }
    recordStore("targets", update.failure == store_failure::None, update.detail);
    if (update.failure != store_failure::None) {
        loseTargets();
        return;
    }
    takeTargets(update, store_reading::Current, askedAt);
}

void store_feed::loseTargets()
{
    m_areTargetsWatched = false;
    ++m_targetReads;
    m_store.endTargetWatch();
    waitForStore(&store_feed::listTargets);
}

void store_feed::recordIgnored(const target_update &update)
{
    if (update.isComplete) {
        // Those that are gone are told again if they come back.
        std::erase_if(m_ignored, [&](const auto &known) {
            return std::none_of(update.ignored.begin(), update.ignored.end(), [&](const ignored_entry &entry) {
                return entry.name == known.first;
            });
        });
    }
    for (const auto &entry : update.entries) {
        m_ignored.erase(entry.id.str());
    }
    for (const auto &entry : update.ignored) {
        const auto known = m_ignored.find(entry.name);
        if (known != m_ignored.end() && known->second == entry.reason) {
            continue;
        }
        if (m_ignored.size() < maxIgnoredKnown) {
            m_ignored.insert_or_assign(entry.name, entry.reason);
        }
        m_context.metrics.entryIgnored();
        m_context.log.warn("target_entry_ignored").field("entry", entry.name).field("reason", entry.reason);
    }
}

void store_feed::refreshTargets(std::function<void(bool)> done)
{
    m_store.listTargets(
        [self = shared_from_this(), askedAt = systemNow(), done = std::move(done)](const target_update &update) {
            const bool isRead = update.failure == store_failure::None;
            // The watch or a check may have told of later changes already.
            if (isRead && update.revision >= std::max(self->m_targetRevision, self->m_checkedRevision)) {
                self->takeTargets(update, store_reading::Current, askedAt);
            }
            done(isRead);
        });
}

void store_feed::listPromotionLeases()
{
    m_store.listPromotionLeases(
        [self = shared_from_this(), askedAt = systemNow()](const promotion_lease_list_update &update) {
            self->handleLeases(update, store_reading::Current, askedAt);
        });
}

void store_feed::readLeases(std::function<void(const promotion_lease_list_update &)> done)
{
    m_store.listPromotionLeases([self = shared_from_this(), askedAt = systemNow(), done = std::move(done)](
                                    const promotion_lease_list_update &update) {
        if (!self->m_isStopped && update.failure == store_failure::None) {
            self->onLeases(update, store_reading::Current, askedAt);
        }
        done(update);
    });
}

void store_feed::watchPromotionLeases()
{
    m_store.watchPromotionLeases(
        m_leaseRevision, leaseWait, [self = shared_from_this()](const promotion_lease_list_update &update) {
            // An event is as new as its answer.
            self->handleLeases(update, store_reading::MayBeOld, systemNow());
        });
}

void store_feed::handleLeases(const promotion_lease_list_update &update, store_reading reading, time_point askedAt)
{
    if (m_isStopped) {
        return;
    }
    if (update.failure == store_failure::HistoryGone) {
        listPromotionLeases();
        return;
    }
    if (update.failure != store_failure::None) {
        waitForStore(&store_feed::listPromotionLeases);
        return;
    }
    m_leaseRevision = update.revision;
    onLeases(update, reading, askedAt);
    watchPromotionLeases();
}

void store_feed::recordStore(const char *what, bool isReachable, const std::string &detail)
{
    if (isReachable == m_isStoreReachable) {
        return;
    }
    m_isStoreReachable = isReachable;
    m_context.log.warn(isReachable ? "store_regained" : "store_lost").field("call", what).field("detail", detail);
}

}
