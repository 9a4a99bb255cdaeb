#pragma once

#include "sharemessages.h"

#include <cstdint>
#include <optional>

namespace crocusdeal
{

/**
 * Holder side of the connection budget of one target: how many connections this instance may have open.
 *
 * The allowance comes from the owner; nothing may be opened before the first grant. Without a recent answer,
 * connections above the base stay open but are not opened anew. Late, repeated and foreign grants have no effect.
 */
class connection_share
{
public:
    /** @p incarnation must rise with each start of the instance. */
    connection_share(target_id target, instance_id self, std::uint64_t incarnation);

    /** The owner by the present view of the members; empty if there is none. */
    void setOwner(const instance_id &owner);

    /** Connections that the instance could use now. */
    void setWanted(int wanted);

    /** Whether one more connection may be opened. */
    bool mayOpen(time_point now) const;

    /** Opening a connection begins; call only if mayOpen(). */
    void onOpening();

    /** Attempts to give up before they go on, because the right to open them has ended meanwhile. The target's count,
     * by which loans are taken back, does not show attempts, so one must not go on after a pause without this check. */
    int attemptsToAbandon(time_point now) const;

    /** The target accepted a connection. */
    void onEstablished(time_point now);

    /** An attempt to open a connection failed. If the target refused it for lack of connections (53300), the next
     * attempt waits, longer each time in a row. */
    void onOpenFailed(bool refused, time_point now);

    /** An established connection was closed. */
    void onClosed(time_point now);

    /** Control connections to the target that are established; they do not count against the allowance. */
    void setControlConnections(int count, time_point now);

    /** Open connections to close because the owner took back a loan. */
    int excess() const;

    /** The report to send to the owner now, if one is due; without an answer it is repeated. */
    std::optional<share_report> poll(time_point now);

    void onGrant(const share_grant &grant);

    /** Whether the present ledger has granted a share, which may be 0. */
    bool hasGrant() const
    {
        return m_seen > 0;
    }

    /** Longest time between two reports while the owner answers. */
    static duration reportInterval();

    int open() const
    {
        return m_open;
    }

    int base() const
    {
        return m_base;
    }

    int allowance() const
    {
        return m_allowance;
    }

private:
    int mostOpen(time_point now) const;
    bool isReportDue(time_point now) const;
    void rollSpan(time_point now);
    void setEstablished(int count, time_point now);

    target_id m_target;
    instance_id m_self;
    instance_id m_owner;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_ledger = 0; ///< Of the owner; 0 until it has answered.
    std::uint64_t m_seen = 0;
    std::uint64_t m_round = 0;
    int m_base = 0;
    int m_allowance = 0;
    int m_open = 0;
    int m_established = 0; ///< With control connections.
    int m_control = 0;
    int m_wanted = 0;
    bool m_changed = false;
    time_point m_sentAt = never;
    time_point m_loanUntil = never;
    time_point m_refusedUntil = never;
    int m_refusals = 0;
    int m_retries = 0;
    // Least number established in the present span of censusWindow and in the one before.
    time_point m_spanStart = never;
    int m_leastInSpan = 0;
    int m_leastBefore = 0;
};

}
