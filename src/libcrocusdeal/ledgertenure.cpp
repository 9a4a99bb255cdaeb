#include "ledgertenure.h"

#include <utility>

namespace crocusdeal
{

namespace
{

// Longer than any wait of a healthy process; shorter than it takes others to see a failure and take over.
constexpr duration pauseBound{1000};

}

ledger_tenure::ledger_tenure(target_id target,
                             instance_id owner,
                             std::uint64_t ledger,
                             const std::vector<instance_id> &members,
                             time_point now)
    : m_target(std::move(target))
    , m_owner(std::move(owner))
    , m_ledger(ledger)
    , m_takenOverAt(now)
    , m_activeAt(now)
    , m_unreported(members.begin(), members.end())
{
}

std::uint64_t ledger_tenure::ledger() const
{
    return m_ledger;
}

bool ledger_tenure::checkStale(time_point now)
{
    m_stale = m_stale || now - m_activeAt > pauseBound;
    m_activeAt = now;
    return m_stale;
}

bool ledger_tenure::isStale() const
{
    return m_stale;
}

duration ledger_tenure::age(time_point now) const
{
    return now - m_takenOverAt;
}

bool ledger_tenure::onSettled(const instance_id &member)
{
    return m_unreported.erase(member) > 0;
}

bool ledger_tenure::areAllSettled() const
{
    return m_unreported.empty();
}

}
