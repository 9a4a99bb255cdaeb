#pragma once

#include "controlaction.h"
#include "controlconnection.h"
#include "promotion.h"

#include <deque>

namespace crocusdeal
{

/**
 * The control statements for one target: merges the wants of all decisions into one statement at a time.
 *
 * All functions and callbacks run on the strand.
 */
class target_control : public std::enable_shared_from_this<target_control>
{
public:
    struct hooks {
        std::function<time_point()> now;
        std::function<void(const target_id &, const target_status &, time_point askedAt)> onStatus;
        std::function<void(const order_answer &, const std::string &message)> onOrder;
        std::function<void(const target_id &, const control_result &)> onFailure;
    };

    target_control(control_connection::strand executor,
                   target_address address,
                   control_connection_settings settings,
                   duration waitRound,
                   hooks callbacks);

    const target_address &address() const;
    /** Connections to the target that are open. */
    int openConnections() const;

    /** Wants a status by a query sent at or after @p notBefore. */
    void wantStatus(time_point notBefore);

    /** Wants to hear as soon as the target reached @p at, or the round of waiting is over. */
    void wantWait(position at);

    /** Sends an order; @p upstream is the "host:port" of the database to follow. */
    void give(const order_target &order, const std::string &upstream, duration timeout);

    /** During a promotion a second connection is used while the first one is busy. */
    void setPromoting(bool promoting);

    /** Closes connections that were not used for 10 s. */
    void tick();
    void close();

private:
    struct queued_order {
        order_target order;
        std::string sql;
        duration timeout;
    };

    void pump();
    void pumpLater();
    control_connection *idleConnection(std::shared_ptr<control_connection> &slot, const char *suffix);
    bool sendNext(control_connection &connection, bool mayWait);
    void sendOrder(control_connection &connection);
    void sendQuery(control_connection &connection, std::string sql, duration timeout);
    void queryAnswered(const control_result &result);
    void orderAnswered(const order_target &order, const control_result &result);

    control_connection::strand m_strand;
    asio::steady_timer m_timer;
    target_address m_address;
    control_connection_settings m_settings;
    duration m_waitRound;
    hooks m_hooks;
    std::shared_ptr<control_connection> m_first;
    std::shared_ptr<control_connection> m_second;
    std::deque<queued_order> m_orders;
    std::optional<time_point> m_statusFrom;
    std::optional<position> m_waitFor;
    time_point m_queryStartedAt = never; ///< Of the running query; never if none runs.
    time_point m_retryAt = never;
    duration m_retryDelay;
    bool m_promoting = false;
    bool m_closed = false;
};

}
