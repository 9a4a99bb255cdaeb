#include "permitledger.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

// A holder that waits asks every 20 ms; after several lost requests its place goes to the next one.
constexpr duration reservedFor{150};

}

permit_ledger::permit_ledger(target_id target,
                             instance_id owner,
                             std::uint64_t ledger,
                             const std::vector<instance_id> &members,
                             permit_ledger_settings settings,
                             time_point now)
    : m_tenure(std::move(target), std::move(owner), ledger, members, now)
    , m_settings(settings)
    , m_complete(members.empty())
{
}

int permit_ledger::capacity() const
{
    return std::max(1, m_settings.slots - 1);
}

int permit_ledger::granted() const
{
    std::size_t sum = 0;
    for (const auto &[key, holder] : m_holders) {
        sum += holder.permits.size();
    }
    return static_cast<int>(sum);
}

int permit_ledger::occupied() const
{
    int sum = 0;
    for (const auto &[key, holder] : m_holders) {
        sum += std::max(static_cast<int>(holder.permits.size()), holder.running);
    }
    return sum;
}

duration permit_ledger::silenceBound() const
{
    return std::max(m_settings.renewedFor, m_settings.longestStatement) * 2;
}

std::optional<permit_grant> permit_ledger::onRequest(const permit_request &request, time_point now)
{
    tick(now);
    if (m_tenure.isStale()) {
        return std::nullopt;
    }
    auto grant = answerTo(request);
    if (request.ledger != m_tenure.ledger()) {
        // The holder still hears an earlier ledger. It reports to this one after it has seen this answer, and does not
        // take in grants of the other one from then on.
        return grant;
    }
    auto *holder = update(request, now);
    if (!holder) {
        return std::nullopt;
    }
    onMemberSettled(request.holder);
    grantMore(*holder, now);
    for (const auto &id : holder->permits) {
        if (id.ledger == m_tenure.ledger() && id.number > request.seen) {
            grant.granted.push_back(id.number);
        }
    }
    return grant;
}

permit_grant permit_ledger::answerTo(const permit_request &request) const
{
    auto grant = m_tenure.makeGrant<permit_grant>(request.holder, request.incarnation, request.sequence);
    grant.renewedFor = m_settings.renewedFor;
    return grant;
}

permit_ledger::holder_state *permit_ledger::update(const permit_request &request, time_point now)
{
    auto &holder = m_holders[{request.holder, request.incarnation}];
    if (request.sequence <= holder.sequence) {
        return nullptr;
    }
    holder.sequence = request.sequence;
    holder.heardAt = now;
    if (holder.wanted <= static_cast<int>(holder.permits.size())) {
        holder.waitingSince = now;
    }
    holder.wanted = request.wanted;
    holder.running = request.running;
    // What the holder has received and no longer holds is released; what is still on the way to it is not.
    std::erase_if(holder.permits,
                  [&](const permit_id &id) { return id.ledger != m_tenure.ledger() || id.number <= request.seen; });
    holder.permits.insert(request.held.begin(), request.held.end());
    return &holder;
}

void permit_ledger::grantMore(holder_state &holder, time_point now)
{
    if (!mayGrant(now)) {
        return;
    }
    const int before = waitingBefore(holder, now);
    // A permit for a statement that runs without one already adds nothing to the load of the target.
    const auto added = [&] { return static_cast<int>(holder.permits.size()) < holder.running ? 0 : 1; };
    while (static_cast<int>(holder.permits.size()) < holder.wanted && occupied() + before + added() <= capacity()) {
        holder.permits.insert({m_tenure.ledger(), ++m_lastNumber});
        holder.waitingSince = now;
    }
}

/** Holders that wait for longer and will ask again soon. */
int permit_ledger::waitingBefore(const holder_state &holder, time_point now) const
{
    return static_cast<int>(std::count_if(m_holders.begin(), m_holders.end(), [&](const auto &entry) {
        const auto &other = entry.second;
        return static_cast<int>(other.permits.size()) < other.wanted && other.waitingSince < holder.waitingSince
            && now - other.heardAt < reservedFor;
    }));
}

bool permit_ledger::mayGrant(time_point now) const
{
    return m_complete && !m_tenure.isStale() && m_tenure.age(now) >= m_settings.settling;
}

void permit_ledger::onRelease(const permit_release &release)
{
    const auto found = m_holders.find({release.holder, release.incarnation});
    if (found != m_holders.end()) {
        // The sequence stays, so that a late request of the holder cannot bring its permits back.
        found->second.permits.clear();
        found->second.wanted = 0;
        found->second.running = 0;
        found->second.sequence = static_cast<std::uint64_t>(-1);
    }
    onMemberSettled(release.holder);
}

void permit_ledger::onConnectionsClosed(const instance_id &holder, std::uint64_t incarnation)
{
    std::erase_if(m_holders,
                  [&](const auto &entry) { return entry.first.first == holder && entry.first.second <= incarnation; });
    onMemberSettled(holder);
}

void permit_ledger::onMemberSettled(const instance_id &member)
{
    m_tenure.onSettled(member);
    m_complete = m_complete || m_tenure.areAllSettled();
}

void permit_ledger::setSlots(int slots)
{
    m_settings.slots = slots;
}

void permit_ledger::tick(time_point now)
{
    m_tenure.checkStale(now);
    m_complete = m_complete || m_tenure.age(now) >= silenceBound();
    std::erase_if(m_holders, [&](const auto &entry) { return now - entry.second.heardAt >= silenceBound(); });
}

}
