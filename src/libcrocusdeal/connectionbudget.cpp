#include "connectionbudget.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

constexpr int basePercent = 60;
/** Of an instance that is gone; may be open as long as its others, and the limit does not contain it any more. */
constexpr int controlConnections = 1;
constexpr duration resendInterval{100};
constexpr duration rebalanceInterval{1000};
// The lease counts on the holder's clock from before its report arrived here; the margin covers clock drift.
constexpr duration silentAfter = loanLease + duration{1000};

}

connection_budget::connection_budget(target_id target,
                                     instance_id owner,
                                     std::uint64_t ledger,
                                     const std::vector<instance_id> &members,
                                     connection_budget_settings settings,
                                     time_point now)
    : m_tenure(std::move(target), std::move(owner), ledger, members, now)
    , m_settings(settings)
    , m_gone{{settings.limit, now}}
{
}

int connection_budget::base() const
{
    const int instances = std::max(1, m_settings.expectedInstances);
    if (instances > m_settings.limit) {
        return 0; // There is not one connection for each; all are lent on demand.
    }
    return std::max(1, m_settings.limit * basePercent / 100 / instances);
}

int connection_budget::accounted() const
{
    int sum = 0;
    for (const auto &[key, holder] : m_holders) {
        sum += holder.accounted;
    }
    for (const auto &gone : m_gone) {
        sum += gone.accounted;
    }
    return sum + reservedForUnreachable();
}

int connection_budget::reservedForUnreachable() const
{
    return static_cast<int>(m_unreachable.size()) * base();
}

share_grant connection_budget::grantFor(const holder_key &key, const holder_state &holder) const
{
    auto grant = m_tenure.makeGrant<share_grant>(key.first, key.second, holder.sequence);
    grant.number = holder.number;
    grant.base = holder.base;
    grant.allowance = holder.allowance;
    grant.round = m_census.round;
    return grant;
}

bool connection_budget::isReplaced(const holder_key &key) const
{
    const auto found = m_replaced.find(key.first);
    return found != m_replaced.end() && key.second <= found->second;
}

bool connection_budget::isSilent(const holder_state &holder, time_point now) const
{
    return now - holder.heardAt >= silentAfter;
}

std::optional<share_grant> connection_budget::onReport(const share_report &report, time_point now)
{
    const holder_key key{report.holder, report.incarnation};
    if (m_tenure.checkStale(now) || isReplaced(key)) {
        return std::nullopt;
    }
    if (report.ledger != m_tenure.ledger()) {
        // The holder still hears an earlier ledger. It reports to this one after it has seen this answer, and does not
        // take in grants of the other one from then on.
        holder_state unknown;
        unknown.sequence = report.sequence;
        return grantFor(key, unknown);
    }
    if (report.incarnation > 0) {
        onGone(report.holder, report.incarnation - 1, now);
    }
    auto &holder = m_holders[key];
    if (report.sequence <= holder.sequence) {
        return std::nullopt;
    }
    m_tenure.onSettled(report.holder);
    m_unreachable.erase(report.holder);
    const auto before = std::pair(holder.wanted, holder.accounted);
    update(holder, report, now);
    finishCensus(now);
    m_changed = m_changed || holder.number == 0 || before != std::pair(holder.wanted, holder.accounted);
    if (m_changed) {
        rebalance(now);
    }
    holder.sentAt = now;
    return grantFor(key, holder);
}

void connection_budget::update(holder_state &holder, const share_report &report, time_point now)
{
    holder.sequence = report.sequence;
    holder.heardAt = now;
    holder.open = report.open;
    holder.leastEstablished = report.leastEstablished;
    holder.wanted = report.wanted;
    holder.seen = report.seen;
    holder.round = report.round;
    if (holder.number == 0) {
        holder.allowance = report.allowance; // From an earlier owner.
    }
    const bool isLatest = report.seen == holder.number && holder.number != 0;
    const int inForce = isLatest ? holder.allowance : std::max(holder.accounted, report.allowance);
    holder.highestBase = isLatest ? holder.base : std::max(holder.highestBase, report.base);
    holder.accounted = std::max(inForce, report.open);
}

void connection_budget::onRelease(const share_release &release)
{
    const holder_key key{release.holder, release.incarnation};
    m_holders.erase(key);
    auto &replaced = m_replaced[release.holder];
    replaced = std::max(replaced, release.incarnation);
    m_tenure.onSettled(release.holder);
    m_unreachable.erase(release.holder);
    m_changed = true;
}

void connection_budget::onGone(const instance_id &instance, std::uint64_t incarnation, time_point now)
{
    auto &replaced = m_replaced[instance];
    replaced = std::max(replaced, incarnation);
    m_unreachable.erase(instance);
    for (auto holder = m_holders.begin(); holder != m_holders.end();) {
        if (holder->first.first == instance && holder->first.second <= incarnation) {
            m_gone.push_back({holder->second.accounted + controlConnections, now});
            holder = m_holders.erase(holder);
        } else {
            ++holder;
        }
    }
}

void connection_budget::onUnreachable(const instance_id &instance)
{
    if (m_tenure.onSettled(instance)) {
        m_unreachable.insert(instance);
        m_changed = true;
    }
}

void connection_budget::onTargetStatus(int connections, time_point askedAt, time_point now)
{
    const bool anySilent = std::any_of(m_holders.begin(), m_holders.end(), [&](const auto &entry) {
        return isSilent(entry.second, now) && entry.second.accounted > entry.second.highestBase;
    });
    if (m_tenure.checkStale(now) || (m_gone.empty() && !anySilent)) {
        return;
    }
    if (m_census.open && now - m_census.askedAt < censusWindow / 2) {
        return; // Give the holders time to answer.
    }
    m_census = {m_census.round + 1, connections, askedAt, true};
    finishCensus(now);
}

/** Ends the census once all holders have reported after the target's answer. Their least number of established
 * connections covers the moment at which the target counted. */
void connection_budget::finishCensus(time_point now)
{
    if (!m_census.open || isRebuilding(now) || now - m_census.askedAt > censusWindow) {
        return;
    }
    int explained = 0;
    for (const auto &[key, holder] : m_holders) {
        if (isSilent(holder, m_census.askedAt)) {
            continue;
        }
        if (holder.round != m_census.round) {
            return;
        }
        explained += holder.leastEstablished;
    }
    m_census.open = false;
    applyCensus(std::max(0, m_census.connections - explained), now);
}

/** At most @p unexplained connections belonged to all that cannot report. */
void connection_budget::applyCensus(int unexplained, time_point now)
{
    for (auto &gone : m_gone) {
        if (gone.since <= m_census.askedAt) {
            gone.accounted = std::min(gone.accounted, unexplained);
            unexplained -= gone.accounted;
        }
    }
    std::erase_if(m_gone, [](const auto &gone) { return gone.accounted == 0; });
    for (auto &[key, holder] : m_holders) {
        if (!isSilent(holder, m_census.askedAt) || holder.accounted <= holder.highestBase) {
            continue;
        }
        // What it has open now it may keep; beyond that it may only fill its base.
        const int loan = std::min(holder.accounted - holder.highestBase, unexplained);
        unexplained -= loan;
        holder.accounted = holder.highestBase + loan;
        if (holder.allowance > holder.base) {
            setAllowance(holder, holder.base);
        }
    }
    rebalance(now);
}

std::vector<share_grant> connection_budget::poll(time_point now)
{
    std::vector<share_grant> grants;
    if (m_tenure.checkStale(now)) {
        return grants;
    }
    // Holders fall silent without an event.
    if (m_changed || now - m_rebalancedAt >= rebalanceInterval) {
        rebalance(now);
    }
    for (auto &[key, holder] : m_holders) {
        const bool unseen = holder.seen != holder.number || (m_census.open && holder.round != m_census.round);
        if (unseen && now - holder.sentAt >= resendInterval) {
            holder.sentAt = now;
            grants.push_back(grantFor(key, holder));
        }
    }
    return grants;
}

void connection_budget::setSettings(connection_budget_settings settings)
{
    m_settings = settings;
    m_changed = true;
}

void connection_budget::setAllowance(holder_state &holder, int allowance)
{
    if (allowance == holder.allowance && holder.base == std::min(base(), allowance) && holder.number != 0) {
        return;
    }
    holder.allowance = allowance;
    holder.base = std::min(base(), allowance);
    holder.highestBase = std::max(holder.highestBase, holder.base);
    holder.accounted = std::max(holder.accounted, allowance);
    ++holder.number;
    holder.sentAt = never;
}

/** Gives each live holder what it wants or an equal level, whichever is less. */
std::vector<connection_budget::fair_share> connection_budget::fairAllowances(time_point now)
{
    int rest = m_settings.limit - reservedForUnreachable();
    for (const auto &gone : m_gone) {
        rest -= gone.accounted;
    }
    std::vector<fair_share> fair;
    for (auto &[key, holder] : m_holders) {
        if (isSilent(holder, now)) {
            rest -= holder.accounted;
        } else {
            fair.push_back({&holder, std::max(base(), holder.wanted), 0});
        }
    }
    std::sort(fair.begin(), fair.end(), [](const auto &a, const auto &b) { return a.demand < b.demand; });
    rest = std::max(0, rest);
    auto remaining = static_cast<int>(fair.size());
    for (auto &share : fair) {
        share.level = std::min(share.demand, rest / remaining);
        rest -= share.level;
        --remaining;
    }
    // What cannot be divided stays where it is, so that connections do not move with every change of demand.
    for (const bool keep : {true, false}) {
        for (auto &share : fair) {
            if (rest > 0 && share.level < share.demand && (!keep || share.holder->allowance > share.level)) {
                ++share.level;
                --rest;
            }
        }
    }
    return fair;
}

void connection_budget::rebalance(time_point now)
{
    if (isRebuilding(now)) {
        return;
    }
    m_changed = false;
    m_rebalancedAt = now;
    const auto fair = fairAllowances(now);
    int free = m_settings.limit - accounted();
    bool unmet = false;
    for (const auto &[holderOf, demand, level] : fair) {
        auto &holder = *holderOf;
        if (level > holder.allowance) {
            // With more accounted than the limit, also what a holder is accounted for must not be allowed again: a
            // holder that returns after its loan was lent to others is accounted for the old loan until it has seen its
            // end.
            const int possible = free < 0 ? holder.allowance : std::min(level, holder.accounted + free);
            free -= std::max(0, possible - holder.accounted);
            setAllowance(holder, std::max(possible, holder.allowance));
            unmet = unmet || possible < level;
        }
    }
    const bool takeBack = unmet || accounted() > m_settings.limit;
    for (const auto &[holderOf, demand, level] : fair) {
        auto &holder = *holderOf;
        if (holder.number == 0 || holder.base != std::min(base(), holder.allowance)) {
            setAllowance(holder, holder.allowance); // Confirms what an earlier owner granted.
        }
        if (takeBack && level < holder.allowance) {
            setAllowance(holder, level);
        }
    }
}

}
