#pragma once

#include "promotionorders.h"
#include "servicegroup.h"

#include <functional>
#include <map>
#include <memory>

namespace crocusdeal
{

/** Ends pauses of replicas that an attempt has left behind, while the primary serves and no order is open. */
class pause_watch : public std::enable_shared_from_this<pause_watch>
{
public:
    /** @p isAttemptRunning tells whether this instance is changing the primary itself. */
    pause_watch(front_context &context,
                std::shared_ptr<service_group> group,
                std::shared_ptr<promotion_orders> orders,
                std::function<bool()> isAttemptRunning);

    /** Asks the replicas; to be called at regular intervals. */
    void check();

private:
    void handleReply(const target_id &target, const control_reply &reply);
    void endPause(const target_id &target, const replication_report &report);
    /** Lets the target receive again, once the store has said that no order is open. */
    void confirmThenResume(const target_id &target);

    front_context &m_context;
    std::shared_ptr<service_group> m_group;
    std::shared_ptr<promotion_orders> m_orders;
    std::function<bool()> m_isAttemptRunning;
    std::map<target_id, time_point> m_pausedSince;
    int m_checks = 0;
    bool m_isConfirming = false;
};

}
