#pragma once

#include "permitmessages.h"

#include <cstdint>
#include <optional>
#include <set>

namespace crocusdeal
{

/**
 * Holder side of the permits for long statements on one target.
 *
 * Permits are used only while they are renewed: the time counts from the sending of the request that was answered, so
 * that a pause or a late answer ends it early. Statements that run already go on. Only the ledger that answered the
 * holder's last request to the present owner is heard, so that a late grant of an earlier ledger has no effect.
 */
class permit_holder
{
public:
    /** @p incarnation must rise with each start of the instance. */
    permit_holder(target_id target, instance_id self, std::uint64_t incarnation);

    /** The owner by the present view of the members; empty if there is none. */
    void setOwner(const instance_id &owner);

    /** @p wanted long statements wait or run; idle permits above it are released. */
    void setWanted(int wanted);

    /** @p running long statements run, also without a permit. Those above the permits held take places from others. */
    void setRunning(int running);

    /** A long statement that ran under a permit has ended. Its permit goes back, so that other instances get their
     * turn. */
    void onStatementFinished();

    /** The request to send to the owner now, if one is due; without an answer it is repeated. */
    std::optional<permit_request> poll(time_point now);

    /** Takes in an answer; late and foreign ones are ignored. */
    void onGrant(const permit_grant &grant);

    /** Long statements that may be started or go on at @p now. */
    int places(time_point now) const;

    /** Whether the owner granted less than was wanted in its last answer, and more is still wanted. */
    bool isDenied(time_point now) const;

    /** All permits that count against the capacity, also without renewal. */
    int held() const
    {
        return static_cast<int>(m_held.size());
    }

    const instance_id &owner() const
    {
        return m_owner;
    }

private:
    bool isRequestDue(time_point now) const;

    target_id m_target;
    instance_id m_self;
    instance_id m_owner;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_ledger = 0; ///< Of the owner; 0 until it has answered.
    std::uint64_t m_seen = 0;
    std::set<permit_id> m_held;
    int m_wanted = 0;
    int m_running = 0;
    int m_requested = 0; ///< Wanted by the last request.
    bool m_denied = false; ///< By the last answer, since when the demand was not met.
    bool m_changed = false;
    int m_retries = 0;
    time_point m_sentAt = never; ///< Of the last request.
    std::uint64_t m_answered = 0; ///< Sequence of the last request that was answered.
    time_point m_validUntil = never;
    duration m_renewedFor{0};
};

}
