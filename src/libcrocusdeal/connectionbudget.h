#pragma once

#include "ledgertenure.h"
#include "sharemessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace crocusdeal
{

/** Settings of a connection budget. */
struct connection_budget_settings {
    int limit = 15; ///< Connections of all instances to the target, control connections not included.
    int expectedInstances = 1;
    /** Least time from taking over to the first change: until the earlier owner knows that it is not the owner any
     * more. */
    duration settling{2000};
};

/**
 * Owner side of the connection budget of one target. With one owner that all holders follow, the connections of all
 * instances together never exceed the limit.
 *
 * Each holder has a base share: 0.6 of the limit divided by the expected instances, at least 1. The rest is lent, equal
 * levels first (max-min fairness, Bertsekas and Gallager 1987). Accounting is conservative: a holder counts with its
 * highest allowance that may be in force, or with its open connections if they are more. A loan that is taken back is
 * lent again only after the lender has reported that its connections are closed.
 *
 * Connections of instances that have gone are counted until a census shows them closed: the target's own count, less
 * what the live holders have had established all the time around it. Loans of a silent holder are taken back in the
 * same way once its lease is over; its base stays reserved, because it may use that without the owner.
 *
 * A new owner changes no allowance until all members that it knows have reported, and then counts the whole limit as
 * open by unknown instances until the first census.
 *
 * If two instances take themselves for the owner during a partition, each lends up to the limit to the holders that
 * follow it, so up to twice the limit may be allowed. The target's own limit refuses what is too much (53300), and the
 * holders back off.
 */
class connection_budget
{
public:
    /** Takes over at @p now. @p ledger differs from that of every other budget. @p members are the live instances. */
    connection_budget(target_id target,
                      instance_id owner,
                      std::uint64_t ledger,
                      const std::vector<instance_id> &members,
                      connection_budget_settings settings,
                      time_point now);

    /** Takes in a report and answers it; nothing for a late or repeated one. */
    std::optional<share_grant> onReport(const share_report &report, time_point now);

    /** The holder has shut down. */
    void onRelease(const share_release &release);

    /** The process of @p instance, of this or an earlier incarnation, does not exist any more. A suspicion is not
     * enough: an instance that is only cut off keeps its base. */
    void onGone(const instance_id &instance, std::uint64_t incarnation, time_point now);

    /** A member is dead to the others: a new owner does not wait for its report, but reserves its base. */
    void onUnreachable(const instance_id &instance);

    /** The target said between @p askedAt and @p now that it has @p connections. */
    void onTargetStatus(int connections, time_point askedAt, time_point now);

    /** Grants to send now, to holders that have not seen the present one. To be called at least every 250 ms. */
    std::vector<share_grant> poll(time_point now);

    /** The owner was paused: another one may have lent connections meanwhile. The budget does nothing any more; take
     * over anew if the instance is still the owner by a fresh view of the members. */
    bool isStale() const
    {
        return m_tenure.isStale();
    }

    /** The configuration changed. */
    void setSettings(connection_budget_settings settings);

    /** Guaranteed share of each instance. */
    int base() const;

    /** Connections that may be open, by conservative accounting. */
    int accounted() const;

    bool isRebuilding(time_point now) const
    {
        return !m_tenure.areAllSettled() || m_tenure.age(now) < m_settings.settling;
    }

private:
    struct holder_state {
        std::uint64_t sequence = 0;
        std::uint64_t number = 0; ///< Of the last grant.
        std::uint64_t seen = 0;
        std::uint64_t round = 0;
        time_point heardAt;
        time_point sentAt = never;
        int base = 0;
        int highestBase = 0; ///< That may be in force.
        int allowance = 0;
        int accounted = 0;
        int open = 0;
        int leastEstablished = 0;
        int wanted = 0;
    };

    struct fair_share {
        holder_state *holder = nullptr;
        int demand = 0;
        int level = 0;
    };

    /** Connections that nobody can report any more. */
    struct gone_state {
        int accounted = 0;
        time_point since;
    };

    struct census {
        std::uint64_t round = 0;
        int connections = 0;
        time_point askedAt = never;
        bool open = false;
    };

    using holder_key = std::pair<instance_id, std::uint64_t>;
    using holder_map = std::map<holder_key, holder_state>;

    int reservedForUnreachable() const;
    share_grant grantFor(const holder_key &key, const holder_state &holder) const;
    bool isReplaced(const holder_key &key) const;
    bool isSilent(const holder_state &holder, time_point now) const;
    static void update(holder_state &holder, const share_report &report, time_point now);
    void finishCensus(time_point now);
    void applyCensus(int unexplained, time_point now);
    void rebalance(time_point now);
    std::vector<fair_share> fairAllowances(time_point now);
    void setAllowance(holder_state &holder, int allowance);

    ledger_tenure m_tenure;
    connection_budget_settings m_settings;
    std::set<instance_id> m_unreachable; ///< Without a report; each may use its base.
    holder_map m_holders;
    std::map<instance_id, std::uint64_t> m_replaced; ///< Highest incarnation that is gone.
    std::vector<gone_state> m_gone;
    census m_census;
    bool m_changed = true; ///< Since the allowances were last worked out.
    time_point m_rebalancedAt = never;
};

}
