#include "connectionpool.h"

#include "systemclock.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

/** Statements prepared on one connection before it is replaced, which bounds the memory they take at the database. */
constexpr std::size_t maxPreparedStatements = 500;

}

connection_pool::connection_pool(asio::io_context &io, target_connection_settings settings, connection_pool_hooks hooks)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
{
}

void connection_pool::acquire(time_point deadline, const handler &done)
{
    std::shared_ptr<target_connection> connection;
    std::vector<std::shared_ptr<target_connection>> stale;
    {
        const std::lock_guard lock(m_mutex);
        while (!m_idle.empty() && !connection) {
            connection = std::move(m_idle.back().connection);
            m_idle.pop_back();
            if (connection->isStale()) {
                stale.push_back(std::exchange(connection, nullptr));
                --m_established;
            }
        }
        if (!connection) {
            m_waiting.push_back({done, deadline});
        }
    }
    for (auto &lost : stale) {
        lost.reset();
        m_hooks.onClosed();
    }
    if (connection) {
        done(std::move(connection), connect_error::None, {});
    } else {
        openMore();
    }
}

void connection_pool::openMore()
{
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_opening >= static_cast<int>(m_waiting.size())) {
                return;
            }
            ++m_opening;
        }
        if (!m_hooks.beginOpening()) {
            const std::lock_guard lock(m_mutex);
            --m_opening;
            return;
        }
        open();
    }
}

void connection_pool::open()
{
    target_connection::open(m_io,
                            m_settings,
                            [self = shared_from_this()](std::shared_ptr<target_connection> connection,
                                                        connect_error error,
                                                        const std::string &reason) {
                                self->onOpened(std::move(connection), error, reason);
                            });
}

void connection_pool::onOpened(std::shared_ptr<target_connection> connection,
                               connect_error error,
                               const std::string &reason)
{
    if (connection) {
        m_hooks.onEstablished();
        {
            const std::lock_guard lock(m_mutex);
            --m_opening;
            ++m_established;
            ++m_opened;
        }
        release(std::move(connection), true);
        return;
    }
    const bool full = error == connect_error::Full;
    m_hooks.onOpenFailed(full);
    std::deque<waiting_request> failed;
    {
        const std::lock_guard lock(m_mutex);
        --m_opening;
        m_refused += full ? 1 : 0;
        // While other connections are lent, the waiting requests are served when those come back.
        if (!full || m_established == 0) {
            failed.swap(m_waiting);
        }
    }
    m_hooks.log("connection to " + m_settings.address.id.str() + " failed, "
                + std::string(connectErrorNames.name(error)) + ": " + reason);
    for (const auto &waiting : failed) {
        waiting.done(nullptr, error, reason);
    }
}

void connection_pool::release(std::shared_ptr<target_connection> connection, bool reusable)
{
    handler next;
    bool closes = false;
    {
        const std::lock_guard lock(m_mutex);
        closes = !reusable || m_excess > 0 || connection->prepared().size() > maxPreparedStatements
            || connection->reader().unread() > 0;
        if (closes) {
            --m_established;
            m_excess = std::max(0, m_excess - 1);
        } else if (!m_waiting.empty()) {
            next = std::move(m_waiting.front().done);
            m_waiting.pop_front();
        } else {
            m_idle.push_back({connection, systemNow()});
            connection.reset();
        }
    }
    if (next) {
        next(std::move(connection), connect_error::None, {});
        return;
    }
    if (closes) {
        connection.reset();
        m_hooks.onClosed();
        openMore();
    }
}

void connection_pool::expireWaits(time_point now)
{
    std::vector<handler> expired;
    {
        const std::lock_guard lock(m_mutex);
        for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
            if (waiting->deadline > now) {
                ++waiting;
                continue;
            }
            expired.push_back(std::move(waiting->done));
            waiting = m_waiting.erase(waiting);
        }
    }
    for (const auto &done : expired) {
        done(nullptr, connect_error::Full, "no connection became free before the deadline");
    }
}

void connection_pool::closeConnections(std::vector<idle_connection> closing)
{
    const auto count = closing.size();
    closing.clear();
    for (std::size_t i = 0; i < count; ++i) {
        m_hooks.onClosed();
    }
}

void connection_pool::setExcess(int count)
{
    std::vector<idle_connection> closing;
    {
        const std::lock_guard lock(m_mutex);
        m_excess = count;
        while (m_excess > 0 && !m_idle.empty()) {
            closing.push_back(std::move(m_idle.front()));
            m_idle.erase(m_idle.begin());
            --m_established;
            --m_excess;
        }
    }
    closeConnections(std::move(closing));
}

void connection_pool::closeIdle(time_point usedBefore)
{
    std::vector<idle_connection> closing;
    {
        const std::lock_guard lock(m_mutex);
        while (!m_idle.empty() && m_idle.front().since < usedBefore) {
            closing.push_back(std::move(m_idle.front()));
            m_idle.erase(m_idle.begin());
            --m_established;
        }
    }
    closeConnections(std::move(closing));
}

connection_pool_counts connection_pool::counts() const
{
    const std::lock_guard lock(m_mutex);
    return {m_established,
            static_cast<int>(m_idle.size()),
            m_opening,
            static_cast<int>(m_waiting.size()),
            m_opened,
            m_refused};
}

const target_address &connection_pool::address() const
{
    return m_settings.address;
}

}
