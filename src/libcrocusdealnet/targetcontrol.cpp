#include "targetcontrol.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration statusTimeout{500};
constexpr duration idleLimit{10000};

// A refused connection would otherwise be tried again with every decision that wants an answer. The longest delay is
// the interval of probes, so that a database that comes back is noticed as soon as with probes alone.
constexpr duration firstRetryDelay{50};
constexpr duration longestRetryDelay{250};

std::string orderSql(const order_target &order, const std::string &upstream)
{
    const auto term = std::to_string(order.term);
    switch (order.order) {
    case control_order::Fence:
        return "SELECT * FROM group_fence(" + term + ')';
    case control_order::Follow:
        return "SELECT * FROM group_follow(" + term + ", '" + upstream + "')";
    case control_order::Promote:
        return "SELECT * FROM group_promote(" + term + ')';
    }
    return {};
}

}

target_control::target_control(control_connection::strand executor,
                               target_address address,
                               control_connection_settings settings,
                               duration waitRound,
                               hooks callbacks)
    : m_strand(std::move(executor))
    , m_timer(m_strand)
    , m_address(std::move(address))
    , m_settings(std::move(settings))
    , m_waitRound(waitRound)
    , m_hooks(std::move(callbacks))
    , m_retryDelay(firstRetryDelay)
{
    m_settings.address = m_address.host;
    m_settings.port = m_address.port;
}

const target_address &target_control::address() const
{
    return m_address;
}

int target_control::openConnections() const
{
    return (m_first && m_first->isOpen() ? 1 : 0) + (m_second && m_second->isOpen() ? 1 : 0);
}

void target_control::wantStatus(time_point notBefore)
{
    if (m_queryStartedAt >= notBefore) {
        return;
    }
    m_statusFrom = std::max(m_statusFrom.value_or(notBefore), notBefore);
    pump();
}

void target_control::wantWait(position at)
{
    m_waitFor = at;
    pump();
}

void target_control::give(const order_target &order, const std::string &upstream, duration timeout)
{
    m_orders.push_back({order, orderSql(order, upstream), timeout});
    pump();
}

void target_control::setPromoting(bool promoting)
{
    m_promoting = promoting;
}

void target_control::tick()
{
    const auto oldest = m_hooks.now() - idleLimit;
    for (auto *slot : {&m_first, &m_second}) {
        if (*slot && !(*slot)->isBusy() && (*slot)->lastUsedAt() < oldest) {
            (*slot)->close();
            slot->reset();
        }
    }
    pump();
}

void target_control::close()
{
    m_closed = true;
    m_orders.clear();
    m_timer.cancel();
    for (auto *slot : {&m_first, &m_second}) {
        if (const auto connection = std::exchange(*slot, nullptr)) {
            connection->close();
        }
    }
}

control_connection *target_control::idleConnection(std::shared_ptr<control_connection> &slot, const char *suffix)
{
    if (!slot) {
        auto settings = m_settings;
        settings.applicationName += suffix;
        slot = std::make_shared<control_connection>(m_strand, std::move(settings), m_hooks.now);
    }
    return slot->isBusy() ? nullptr : slot.get();
}

void target_control::pump()
{
    if (m_closed) {
        return;
    }
    if (auto *connection = idleConnection(m_first, "")) {
        sendNext(*connection, true);
        return;
    }
    const bool wanted = !m_orders.empty() || m_statusFrom;
    if (m_promoting && wanted) {
        if (auto *connection = idleConnection(m_second, "-promotion")) {
            sendNext(*connection, false);
        }
    }
}

// The read index wants a query of a later millisecond than the session's start.
void target_control::pumpLater()
{
    m_timer.expires_after(std::chrono::milliseconds(1));
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        if (const auto self = weak.lock(); self && !error) {
            self->pump();
        }
    });
}

bool target_control::sendNext(control_connection &connection, bool mayWait)
{
    if (!m_orders.empty()) {
        sendOrder(connection);
        return true;
    }
    if (m_hooks.now() < m_retryAt) {
        return false;
    }
    if (m_statusFrom && *m_statusFrom > m_hooks.now()) {
        pumpLater();
    } else if (m_statusFrom) {
        m_statusFrom.reset();
        sendQuery(connection, "SELECT * FROM group_status()", statusTimeout);
        return true;
    }
    if (mayWait && m_waitFor) {
        const auto sql =
            "SELECT * FROM group_wait('" + toString(*m_waitFor) + "', " + std::to_string(m_waitRound.ms) + ')';
        m_waitFor.reset();
        sendQuery(connection, sql, m_waitRound + statusTimeout);
        return true;
    }
    return false;
}

void target_control::sendOrder(control_connection &connection)
{
    auto next = std::move(m_orders.front());
    m_orders.pop_front();
    connection.run(std::move(next.sql),
                   true,
                   next.timeout,
                   [self = shared_from_this(), order = next.order](const control_result &result) {
                       self->orderAnswered(order, result);
                   });
}

void target_control::sendQuery(control_connection &connection, std::string sql, duration timeout)
{
    m_queryStartedAt = m_hooks.now();
    connection.run(std::move(sql), false, timeout, [self = shared_from_this()](const control_result &result) {
        self->queryAnswered(result);
    });
}

void target_control::queryAnswered(const control_result &result)
{
    if (m_closed) {
        return;
    }
    // Whatever is still wanted is wanted again once the answer has been weighed.
    m_queryStartedAt = never;
    m_waitFor.reset();
    if (result.error == control_error::None) {
        m_retryDelay = firstRetryDelay;
        m_hooks.onStatus(m_address.id, result.row.status, result.sentAt);
    } else {
        m_retryAt = m_hooks.now() + m_retryDelay;
        m_retryDelay = std::min(m_retryDelay * 2, longestRetryDelay);
        m_hooks.onFailure(m_address.id, result);
    }
    pump();
}

void target_control::orderAnswered(const order_target &order, const control_result &result)
{
    if (m_closed) {
        return;
    }
    const bool answered = result.error == control_error::None;
    if (answered) {
        m_hooks.onStatus(m_address.id, result.row.status, result.sentAt);
    }
    m_hooks.onOrder({order.order, order.target, order.term, !answered, result.row.granted, result.row.status},
                    answered ? std::string() : std::string(controlErrorNames.name(result.error)));
    pump();
}

}
