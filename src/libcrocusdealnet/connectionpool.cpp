#include "connectionpool.h"

#include "systemclock.h"

#include <utility>

namespace crocusdeal
{

namespace
{

/** Statements prepared on one connection before it is replaced, which bounds the memory they take at the database. */
constexpr std::size_t maxPreparedStatements = 500;
/** A full database stays full for a while; each further attempt would cost it a process start. */
constexpr duration fullBackoff{100};

}

connection_pool::connection_pool(asio::io_context &io, target_connection_settings settings, int share, log_line log)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_log(std::move(log))
    , m_share(share)
{
}

bool connection_pool::mayOpen() const
{
    return m_open < m_share && m_opening < static_cast<int>(m_waiting.size())
        && (systemNow() >= m_notBefore || m_open == 0);
}

void connection_pool::acquire(handler done)
{
    std::shared_ptr<target_connection> connection;
    std::vector<std::shared_ptr<target_connection>> stale;
    bool startsOpening = false;
    {
        const std::lock_guard lock(m_mutex);
        while (!m_idle.empty() && !connection) {
            connection = std::move(m_idle.back().connection);
            m_idle.pop_back();
            if (connection->isStale()) {
                stale.push_back(std::exchange(connection, nullptr));
                --m_open;
            }
        }
        if (!connection) {
            m_waiting.push_back(std::move(done));
            startsOpening = mayOpen();
            if (startsOpening) {
                ++m_open;
                ++m_opening;
            }
        }
    }
    stale.clear();
    if (connection) {
        done(std::move(connection), connect_error::None, {});
    } else if (startsOpening) {
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
        {
            const std::lock_guard lock(m_mutex);
            --m_opening;
            ++m_opened;
        }
        release(std::move(connection), true);
        return;
    }
    std::deque<handler> failed;
    bool opensAgain = false;
    {
        const std::lock_guard lock(m_mutex);
        --m_opening;
        --m_open;
        if (error == connect_error::Full) {
            ++m_refused;
            m_notBefore = systemNow() + fullBackoff;
        }
        // While other connections are lent, the waiting requests are served when those come back.
        if (error != connect_error::Full || m_open == 0) {
            failed.swap(m_waiting);
        } else {
            opensAgain = mayOpen();
            if (opensAgain) {
                ++m_open;
                ++m_opening;
            }
        }
    }
    m_log("connection to " + m_settings.address.id.str() + " failed, " + std::string(connectErrorNames.name(error))
          + ": " + reason);
    for (const auto &waiting : failed) {
        waiting(nullptr, error, reason);
    }
    if (opensAgain) {
        open();
    }
}

void connection_pool::release(std::shared_ptr<target_connection> connection, bool reusable)
{
    handler next;
    bool startsOpening = false;
    {
        const std::lock_guard lock(m_mutex);
        const bool keep = reusable && m_open <= m_share && connection->prepared().size() <= maxPreparedStatements
            && connection->reader().unread() == 0;
        if (!keep) {
            --m_open;
            startsOpening = mayOpen();
            if (startsOpening) {
                ++m_open;
                ++m_opening;
            }
        } else if (!m_waiting.empty()) {
            next = std::move(m_waiting.front());
            m_waiting.pop_front();
        } else {
            m_idle.push_back({connection, systemNow()});
            connection.reset();
        }
    }
    if (next) {
        next(std::move(connection), connect_error::None, {});
    }
    connection.reset();
    if (startsOpening) {
        open();
    }
}

void connection_pool::setShare(int share)
{
    std::vector<idle_connection> closing;
    int opens = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_share = share;
        while (m_open > m_share && !m_idle.empty()) {
            closing.push_back(std::move(m_idle.front()));
            m_idle.erase(m_idle.begin());
            --m_open;
        }
        while (mayOpen()) {
            ++m_open;
            ++m_opening;
            ++opens;
        }
    }
    for (; opens > 0; --opens) {
        open();
    }
}

int connection_pool::share() const
{
    const std::lock_guard lock(m_mutex);
    return m_share;
}

void connection_pool::closeIdle(time_point usedBefore)
{
    std::vector<idle_connection> closing;
    const std::lock_guard lock(m_mutex);
    while (!m_idle.empty() && m_idle.front().since < usedBefore) {
        closing.push_back(std::move(m_idle.front()));
        m_idle.erase(m_idle.begin());
        --m_open;
    }
}

connection_pool_counts connection_pool::counts() const
{
    const std::lock_guard lock(m_mutex);
    return {
        m_open, static_cast<int>(m_idle.size()), m_opening, static_cast<int>(m_waiting.size()), m_opened, m_refused};
}

const target_address &connection_pool::address() const
{
    return m_settings.address;
}

}
