#include "fleetfeed.h"

#include "systemclock.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration firstRetry{250};
constexpr duration longestRetry{4000};
// All instances of a fleet start together, so that the list grows for some seconds; later joins are rare, and those who
// join greet the others.
constexpr duration firstListDelay{500};
constexpr duration longestListDelay{15000};
constexpr duration soonDelay{300};

}

fleet_feed::fleet_feed(front_context &context, metadata_store &store, fleet_member self)
    : m_context(context)
    , m_store(store)
    , m_self(std::move(self))
    , m_announceDelay(firstRetry)
    , m_listDelay(firstListDelay)
{
}

void fleet_feed::start()
{
    announce();
    // The entries of the others outlive a restart of the whole fleet.
    list();
}

void fleet_feed::stop()
{
    m_isStopped = true;
    m_context.deadlines.cancel(m_listTimer);
    if (m_revision != 0) {
        m_store.withdrawMember(m_self.id, std::exchange(m_revision, 0));
    }
}

void fleet_feed::announce()
{
    m_store.announceMember(m_self, [self = shared_from_this()](store_failure failure, std::uint64_t revision) {
        self->handleAnnouncement(failure, revision);
    });
}

void fleet_feed::handleAnnouncement(store_failure failure, std::uint64_t revision)
{
    if (m_isStopped) {
        return;
    }
    m_context.log.info("instance_announced").field("outcome", storeFailureNames.name(failure));
    if (failure == store_failure::None) {
        m_revision = revision;
        return;
    }
    m_context.deadlines.scheduleAfter(m_announceDelay, [self = shared_from_this()] {
        if (!self->m_isStopped) {
            self->announce();
        }
    });
    m_announceDelay = std::min(longestRetry, m_announceDelay * 2);
}

void fleet_feed::listAfter(duration delay)
{
    m_context.deadlines.cancel(m_listTimer);
    m_listTimer = m_context.deadlines.scheduleAfter(delay, [self = shared_from_this()] {
        self->m_listTimer = 0;
        self->list();
    });
}

void fleet_feed::list()
{
    if (std::exchange(m_isListing, true)) {
        return;
    }
    m_store.listMembers([self = shared_from_this()](const member_update &update) { self->handleList(update); });
}

void fleet_feed::handleList(const member_update &update)
{
    m_isListing = false;
    if (m_isStopped) {
        return;
    }
    for (const auto &entry : update.ignored) {
        m_context.log.warn("instance_entry_ignored").field("entry", entry.name).field("reason", entry.reason);
    }
    if (update.failure == store_failure::None) {
        m_isKnown = true;
        onMembers(update.members);
    }
    listAfter(m_listDelay);
    m_listDelay = std::min(longestListDelay, m_listDelay * 2);
}

bool fleet_feed::isKnown() const
{
    return m_isKnown;
}

void fleet_feed::refreshSoon()
{
    if (m_isStopped || m_isListing) {
        return;
    }
    m_listDelay = firstListDelay;
    listAfter(soonDelay);
}

}
