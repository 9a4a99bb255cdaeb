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
constexpr duration configurationWait{25000}; // The check beside it finds out soon if this watch has gone silent.
constexpr duration targetWait{2000};
constexpr duration promptAnswer{
    300}; // A later answer was held up, and says nothing of the time since it was asked for.
constexpr duration targetListAge{60000}; // The watch may be old, so a current list follows now and then.
constexpr duration dutyWait{25000}; // Records change seldom, and a claim finds out in any case.
constexpr duration shortestWait{500};
constexpr duration longestChangePause{400};
constexpr std::size_t maxIgnoredKnown = 1000;
constexpr int changePauseShare = 8; // Of the time in which a change has to be in force.

}

store_feed::store_feed(front_context &context, metadata_store &store, duration configurationApply)
    : m_context(context)
    , m_store(store)
    // A watch that has gone silent is noticed when its time is over, which leaves as much again to read afresh.
    , m_checkWait(std::max(shortestWait, configurationApply / 2))
    // Changes that follow at once are read together: each answer carries the configuration as a whole.
    , m_changePause(std::min(longestChangePause, configurationApply / changePauseShare))
    , m_probeDelay(retryTime)
{
}

void store_feed::start()
{
    readConfiguration();
    listTargets();
    listDuties();
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
    m_store.readConfiguration(store_reading::MayBeOld, [self = shared_from_this()](const configuration_news &news) {
        if (self->m_isStopped) {
            return;
        }
        self->m_hasProbeFailed = news.failure != store_failure::None;
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
    m_store.readConfiguration(store_reading::Current,
                              [self = shared_from_this(), read = m_configurationReads](const configuration_news &news) {
                                  if (read == self->m_configurationReads) {
                                      self->takeConfiguration(news, false);
                                  }
                              });
}

void store_feed::watchConfiguration()
{
    m_store.watchConfiguration(
        m_configurationRevision,
        configurationWait,
        store_reading::Current,
        [self = shared_from_this(), read = m_configurationReads](const configuration_news &news) {
            if (read == self->m_configurationReads) {
                self->takeConfiguration(news, true);
            }
        });
}

void store_feed::takeConfiguration(const configuration_news &news, bool isWatch)
{
    if (m_isStopped) {
        return;
    }
    if (news.failure == store_failure::HistoryGone) {
        readConfiguration();
        return;
    }
    noteStore("configuration", news.failure == store_failure::None, news.detail);
    if (news.failure != store_failure::None) {
        // A watch may have missed changes while it failed, so it starts from what is there now.
        waitForStore(&store_feed::readConfiguration);
        return;
    }
    m_configurationHeardAt = systemNow();
    m_configurationRevision = news.revision;
    noteUnreadable(news);
    if (news.configuration) {
        onConfiguration(*news.configuration);
    } else if (!isWatch) {
        later(&store_feed::readConfiguration);
        return;
    }
    if (!isWatch) {
        m_checkRevision = news.revision;
        watchConfiguration();
        checkConfiguration();
        return;
    }
    if (news.configuration) {
        watchConfigurationAfterPause();
        return;
    }
    watchConfiguration();
}

void store_feed::noteUnreadable(const configuration_news &news)
{
    if (!news.configuration && !news.detail.empty()) {
        m_context.log.warn("configuration_ignored")
            .field("revision", static_cast<std::int64_t>(news.revision))
            .field("reason", news.detail);
    }
}

void store_feed::checkConfiguration()
{
    m_store.watchConfiguration(
        m_checkRevision,
        m_checkWait,
        store_reading::MayBeOld,
        [self = shared_from_this(), read = m_configurationReads](const configuration_news &news) {
            if (read == self->m_configurationReads && !self->m_isStopped) {
                self->takeConfigurationCheck(news);
            }
        });
}

void store_feed::takeConfigurationCheck(const configuration_news &news)
{
    const bool isGood = news.failure == store_failure::None;
    noteStore("configuration", isGood || news.failure == store_failure::HistoryGone, news.detail);
    if (!isGood) {
        // The other watch may be as silent.
        waitForStore(&store_feed::readConfiguration);
        return;
    }
    m_checkRevision = news.revision;
    if (!news.configuration) {
        checkConfiguration();
        return;
    }
    onConfiguration(*news.configuration);
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
    m_store.listTargets([self = shared_from_this(), askedAt = systemNow()](const target_news &news) {
        self->takeTargets(news, askedAt, {});
    });
}

void store_feed::watchTargets()
{
    m_store.watchTargets(
        m_targetRevision, targetWait, [self = shared_from_this(), askedAt = systemNow()](const target_news &news) {
            self->takeTargets(news, askedAt, targetWait);
        });
}

void store_feed::takeTargets(const target_news &news, time_point askedAt, duration wait)
{
    if (m_isStopped) {
        return;
    }
    if (news.failure == store_failure::HistoryGone) {
        listTargets();
        return;
    }
    noteStore("targets", news.failure == store_failure::None, news.detail);
    if (news.failure != store_failure::None) {
        waitForStore(&store_feed::listTargets);
        return;
    }
    noteIgnored(news);
    m_targetRevision = news.revision;
    const auto now = systemNow();
    if (news.isComplete) {
        m_targetsListedAt = now;
    }
    onTargets(news, m_targetsCurrentAt);
    m_targetsCurrentAt = now - askedAt <= wait + promptAnswer ? now : askedAt;
    if (now - m_targetsListedAt > targetListAge) {
        listTargets();
        return;
    }
    watchTargets();
}

void store_feed::noteIgnored(const target_news &news)
{
    if (news.isComplete) {
        // Those that are gone are told again if they come back.
        std::erase_if(m_ignored, [&](const auto &known) {
            return std::none_of(news.ignored.begin(), news.ignored.end(), [&](const ignored_entry &entry) {
                return entry.name == known.first;
            });
        });
    }
    for (const auto &entry : news.entries) {
        m_ignored.erase(entry.id.str());
    }
    for (const auto &entry : news.ignored) {
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
    m_store.listTargets([self = shared_from_this(), done = std::move(done)](const target_news &news) {
        const bool isRead = news.failure == store_failure::None;
        // The watch may have told of later changes already.
        if (isRead && news.revision >= self->m_targetRevision) {
            self->onTargets(news, self->m_targetsCurrentAt);
        }
        done(isRead);
    });
}

void store_feed::listDuties()
{
    m_store.listDuties([self = shared_from_this(), askedAt = systemNow()](const duty_list_news &news) {
        self->takeDuties(news, askedAt);
    });
}

void store_feed::watchDuties()
{
    m_store.watchDuties(m_dutyRevision, dutyWait, [self = shared_from_this()](const duty_list_news &news) {
        // An event is as new as its answer.
        self->takeDuties(news, systemNow());
    });
}

void store_feed::takeDuties(const duty_list_news &news, time_point askedAt)
{
    if (m_isStopped) {
        return;
    }
    if (news.failure == store_failure::HistoryGone) {
        listDuties();
        return;
    }
    if (news.failure != store_failure::None) {
        waitForStore(&store_feed::listDuties);
        return;
    }
    m_dutyRevision = news.revision;
    onDuties(news, askedAt);
    watchDuties();
}

void store_feed::noteStore(const char *what, bool isReachable, const std::string &detail)
{
    if (isReachable == m_isStoreReachable) {
        return;
    }
    m_isStoreReachable = isReachable;
    m_context.log.warn(isReachable ? "store_regained" : "store_lost").field("call", what).field("detail", detail);
}

}
