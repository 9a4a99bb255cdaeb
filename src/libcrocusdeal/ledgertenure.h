#pragma once

#include "clock.h"
#include "identifiers.h"

#include <cstdint>
#include <set>
#include <vector>

namespace crocusdeal
{

/** The time in which one instance owns a ledger of one target, from its taking over until it was paused. */
class ledger_tenure
{
public:
    /** @p ledger differs from that of every other ledger. @p members are those that may hold something of it. */
    ledger_tenure(target_id target,
                  instance_id owner,
                  std::uint64_t ledger,
                  const std::vector<instance_id> &members,
                  time_point now);

    std::uint64_t ledger() const;

    /** To be called at least every 250 ms; true if the tenure has ended by a pause of the owner. */
    bool checkStale(time_point now);
    /** The owner was paused: another one may have granted meanwhile. */
    bool isStale() const;

    /** Time since taking over. */
    duration age(time_point now) const;

    /** @p member has reported to this ledger, or need not any more; false if it had before. */
    bool onSettled(const instance_id &member);
    bool areAllSettled() const;

    /** An answer of this ledger to the message @p answers of a holder; everything else is to be filled in. */
    template<typename Grant>
    Grant makeGrant(const instance_id &holder, std::uint64_t incarnation, std::uint64_t answers) const
    {
        Grant grant;
        grant.target = m_target;
        grant.owner = m_owner;
        grant.ledger = m_ledger;
        grant.holder = holder;
        grant.incarnation = incarnation;
        grant.answers = answers;
        return grant;
    }

private:
    target_id m_target;
    instance_id m_owner;
    std::uint64_t m_ledger;
    time_point m_takenOverAt;
    time_point m_activeAt;
    std::set<instance_id> m_unreported;
    bool m_stale = false;
};

}
