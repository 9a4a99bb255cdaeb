#include "limitcoordinator.h"

#include "rendezvous.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

/** Without an answer of the owner for so long, an instance without a grant counts as cut off: two attempts of 500 ms.
 */
constexpr duration ownerPatience{1000};
/** An owner that the instance reaches settles for 2 s and needs a census after that. */
constexpr duration rebuildPatience{3000};
/** An older count of the target does not show what others have opened; targets in use are asked each 250 ms. */
constexpr duration countLifetime{1000};
/** An instance whose ledgers give no grant for so long must not stay out of service because of one target. */
constexpr duration readyPatience{10000};
/** Each instance keeps one control connection to a target, and a promotion opens a second one for a moment. */
constexpr int promotionConnections = 1;
constexpr double baseFraction = 0.6;

std::string ledgerKey(const target_id &target)
{
    return "ledger/" + target.str();
}

}

limit_coordinator::limit_coordinator(instance_id self, std::uint64_t incarnation, hooks callbacks)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_hooks(std::move(callbacks))
    , m_members(std::make_shared<const std::vector<member_info>>())
    , m_live{m_self} // Two instances may start in the same millisecond, and no two ledgers may have the same number.
    , m_nextLedger(rendezvousWeight(std::to_string(incarnation), m_self))
{
}

limit_coordinator::entry *limit_coordinator::find(const target_id &target)
{
    const auto found = m_entries.find(target);
    return found == m_entries.end() ? nullptr : &found->second;
}

const limit_coordinator::entry *limit_coordinator::find(const target_id &target) const
{
    const auto found = m_entries.find(target);
    return found == m_entries.end() ? nullptr : &found->second;
}

connection_budget_settings limit_coordinator::budgetSettings(const target_limits &limits) const
{
    const int instances = static_cast<int>(m_live.size());
    // The control connections of an instance that was declared dead may still be open.
    const auto dead = std::count_if(m_members->begin(), m_members->end(), [this](const member_info &member) {
        return member.state == member_state::Dead && m_incarnations.contains(member.id())
            && !m_gone.contains(member.id());
    });
    connection_budget_settings settings;
    settings.limit = std::max(1, limits.connections - instances - static_cast<int>(dead) - promotionConnections);
    settings.expectedInstances = instances;
    return settings;
}

void limit_coordinator::setTargets(const std::vector<target_limits> &targets)
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    std::map<target_id, entry> next;
    for (const auto &limits : targets) {
        const auto found = m_entries.find(limits.target);
        if (found != m_entries.end()) {
            auto item = std::move(found->second);
            item.limits = limits;
            if (item.ledger) {
                item.ledger->setSlots(limits.slots);
                item.budget->setSettings(budgetSettings(limits));
            }
            next.emplace(limits.target, std::move(item));
            continue;
        }
        entry item{limits,
                   permit_holder(limits.target, m_self, m_incarnation),
                   connection_share(limits.target, m_self, m_incarnation),
                   now,
                   false,
                   0,
                   0,
                   0,
                   {},
                   never,
                   0,
                   never,
                   never,
                   nullptr,
                   nullptr,
                   shape_reporter(limits.target, m_self),
                   nullptr};
        next.emplace(limits.target, std::move(item));
    }
    m_entries.swap(next);
    updateOwners(now);
}

void limit_coordinator::setMembers(std::shared_ptr<const std::vector<member_info>> members)
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    if (members == m_members) {
        return;
    }
    m_members = std::move(members);
    std::vector<instance_id> live;
    for (const auto &member : *m_members) {
        if (member.isLive() || member.id() == m_self) {
            live.push_back(member.id());
        }
    }
    std::sort(live.begin(), live.end());
    if (live == m_live) {
        return;
    }
    m_live.swap(live);
    updateOwners(now);
    updateBudgets();
}

void limit_coordinator::updateBudgets()
{
    for (auto &[target, item] : m_entries) {
        if (!item.budget) {
            continue;
        }
        item.budget->setSettings(budgetSettings(item.limits));
        for (const auto &member : *m_members) {
            if (member.state == member_state::Dead) {
                item.budget->onUnreachable(member.id());
            }
        }
    }
}

void limit_coordinator::setListed(std::set<instance_id> listed)
{
    const std::lock_guard lock(m_mutex);
    m_listed = std::move(listed);
}

void limit_coordinator::updateOwners(time_point now)
{
    for (auto &[target, item] : m_entries) {
        updateOwner(item, now);
    }
}

void limit_coordinator::updateOwner(entry &item, time_point now)
{
    std::vector<instance_id> candidates;
    for (const auto &member : *m_members) {
        const bool isLive = member.isLive() || member.id() == m_self;
        if (isLive && member.dataCentre() == item.limits.dataCentre) {
            candidates.push_back(member.id());
        }
    }
    if (candidates.empty()) {
        candidates = m_live;
    }
    const auto key = ledgerKey(item.limits.target);
    const auto owner =
        *std::max_element(candidates.begin(), candidates.end(), [&key](const instance_id &a, const instance_id &b) {
            return std::pair(rendezvousWeight(key, a), a) < std::pair(rendezvousWeight(key, b), b);
        });
    if (owner == item.owner) {
        return;
    }
    item.owner = owner;
    item.ownerSince = now;
    item.permits.setOwner(owner);
    item.share.setOwner(owner);
    item.shapes.setOwner(owner);
    if (owner == m_self) {
        takeOver(item, now);
    } else {
        item.ledger.reset();
        item.budget.reset();
        item.shapeLedger.reset();
    }
}

void limit_coordinator::takeOver(entry &item, time_point now)
{
    m_hooks.log(item.limits.target.str() + ": this instance owns the ledgers");
    const auto ledger = ++m_nextLedger;
    permit_ledger_settings settings;
    settings.slots = item.limits.slots;
    item.ledger = std::make_unique<permit_ledger>(item.limits.target, m_self, ledger, m_live, settings, now);
    item.budget = std::make_unique<connection_budget>(
        item.limits.target, m_self, ledger, m_live, budgetSettings(item.limits), now);
    item.shapeLedger = std::make_unique<shape_ledger>(ledger);
}

void limit_coordinator::poll(entry &item, time_point now, outbox &out)
{
    if (item.ledger) {
        item.ledger->tick(now);
        if (item.ledger->isStale() || item.budget->isStale()) {
            takeOver(item, now);
        }
        for (auto &grant : item.budget->poll(now)) {
            out[grant.holder].shareGrants.push_back(std::move(grant));
        }
    }
    if (auto request = item.permits.poll(now)) {
        out[item.owner].permitRequests.push_back(std::move(*request));
    }
    auto report = item.share.poll(now);
    // The share report goes about once a second, and permit requests up to ten times; the first is often enough.
    for (auto &shapes : item.shapes.poll(report.has_value(), now)) {
        out[item.owner].shapeReports.push_back(std::move(shapes));
    }
    if (report) {
        out[item.owner].shareReports.push_back(std::move(*report));
    }
}

void limit_coordinator::reportGone(time_point now)
{
    const auto before = m_gone.size();
    for (const auto &member : *m_members) {
        const auto &id = member.id();
        if (member.state != member_state::Dead || m_listed.empty() || m_listed.contains(id)) {
            m_gone.erase(id);
            continue;
        }
        const auto incarnation = m_incarnations.find(id);
        if (incarnation == m_incarnations.end() || !m_gone.insert(id).second) {
            continue;
        }
        for (auto &[target, item] : m_entries) {
            if (item.budget) {
                item.budget->onGone(id, incarnation->second, now);
            }
        }
    }
    if (m_gone.size() != before) {
        updateBudgets();
    }
}

void limit_coordinator::tick()
{
    const auto now = m_hooks.now();
    outbox out;
    {
        const std::lock_guard lock(m_mutex);
        reportGone(now);
        for (auto &[target, item] : m_entries) {
            poll(item, now, out);
        }
    }
    deliver(out);
    std::vector<target_id> changed;
    {
        const std::lock_guard lock(m_mutex);
        changed = collectChanges(now);
    }
    notify(changed);
}

void limit_coordinator::deliver(const outbox &out)
{
    for (const auto &[to, messages] : out) {
        if (to == m_self) {
            deliverLocally(messages);
            continue;
        }
        m_hooks.send(to,
                     encodeLimitMessages(messages),
                     [weak = weak_from_this(), owner = to](const std::optional<std::string> &bytes) {
                         const auto self = weak.lock();
                         const auto answer = bytes ? decodeLimitMessages(*bytes) : std::nullopt;
                         if (self && answer) {
                             self->onAnswered(owner);
                             self->deliverLocally(*answer);
                         }
                     });
    }
}

void limit_coordinator::onAnswered(const instance_id &from)
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    m_answeredAt[from] = now;
}

void limit_coordinator::deliverLocally(limit_messages messages)
{
    const auto now = m_hooks.now();
    std::vector<target_id> changed;
    {
        const std::lock_guard lock(m_mutex);
        while (!messages.empty()) {
            limit_messages answer;
            receive(messages, answer, now);
            messages = std::move(answer);
        }
        changed = collectChanges(now);
    }
    notify(changed);
}

std::string limit_coordinator::onMessages(const instance_id &, std::string_view bytes)
{
    const auto messages = decodeLimitMessages(bytes);
    if (!messages) {
        return {};
    }
    const auto now = m_hooks.now();
    limit_messages answer;
    std::vector<target_id> changed;
    {
        const std::lock_guard lock(m_mutex);
        receive(*messages, answer, now);
        changed = collectChanges(now);
    }
    notify(changed);
    return encodeLimitMessages(answer);
}

void limit_coordinator::receiveShapes(const limit_messages &messages, limit_messages &answer, time_point now)
{
    for (const auto &report : messages.shapeReports) {
        if (auto *item = find(report.target); item != nullptr && item->shapeLedger) {
            answer.shapeUpdates.push_back(item->shapeLedger->onReport(report, now));
        }
    }
    for (const auto &update : messages.shapeUpdates) {
        auto *item = find(update.target);
        if (item == nullptr) {
            continue;
        }
        const auto shapes = item->shapes.onUpdate(update);
        if (!shapes.empty()) {
            auto &learnt = m_learnt[update.target];
            learnt.insert(learnt.end(), shapes.begin(), shapes.end());
        }
    }
}

void limit_coordinator::receive(const limit_messages &messages, limit_messages &answer, time_point now)
{
    receiveShapes(messages, answer, now);
    for (const auto &request : messages.permitRequests) {
        auto *item = find(request.target);
        if (item == nullptr || !item->ledger) {
            continue;
        }
        if (auto grant = item->ledger->onRequest(request, now)) {
            answer.permitGrants.push_back(std::move(*grant));
        }
    }
    for (const auto &report : messages.shareReports) {
        m_incarnations[report.holder] = std::max(m_incarnations[report.holder], report.incarnation);
        auto *item = find(report.target);
        if (item == nullptr || !item->budget) {
            continue;
        }
        if (auto grant = item->budget->onReport(report, now)) {
            answer.shareGrants.push_back(std::move(*grant));
        }
    }
    for (const auto &release : messages.permitReleases) {
        if (auto *item = find(release.target); item != nullptr && item->ledger) {
            item->ledger->onRelease(release);
        }
    }
    for (const auto &release : messages.shareReleases) {
        if (auto *item = find(release.target); item != nullptr && item->budget) {
            item->budget->onRelease(release);
        }
    }
    for (const auto &grant : messages.permitGrants) {
        if (auto *item = find(grant.target); item != nullptr && grant.holder == m_self) {
            item->permits.onGrant(grant);
        }
    }
    for (const auto &grant : messages.shareGrants) {
        if (auto *item = find(grant.target); item != nullptr && grant.holder == m_self) {
            item->share.onGrant(grant);
            // A new owner answers before it grants; until then the instance is still without a share.
            item->heardOwner = item->heardOwner || item->share.allowance() > 0;
        }
    }
}

std::vector<target_id> limit_coordinator::collectChanges(time_point now)
{
    std::vector<target_id> changed;
    for (auto &[target, item] : m_entries) {
        const int share = usableShare(item, now);
        const int places = item.permits.places(now);
        const int surplus = surplusOf(item, now);
        if (share == item.lastAllowance && places == item.lastPlaces && surplus == item.lastExcess) {
            continue;
        }
        item.lastAllowance = share;
        item.lastPlaces = places;
        item.lastExcess = surplus;
        changed.push_back(target);
        m_hooks.log(target.str() + " may have " + std::to_string(share) + " connections and " + std::to_string(places)
                    + " long statements here, owner " + item.owner.str()
                    + (surplus > 0 ? ", closes " + std::to_string(surplus) : ""));
    }
    return changed;
}

void limit_coordinator::notify(const std::vector<target_id> &changed)
{
    std::map<target_id, std::vector<shared_shape>> learnt;
    {
        const std::lock_guard lock(m_mutex);
        learnt.swap(m_learnt);
    }
    for (const auto &[target, shapes] : learnt) {
        if (m_hooks.onShapes) {
            m_hooks.onShapes(target, shapes);
        }
    }
    for (const auto &target : changed) {
        m_hooks.onChanged(target);
    }
}

int limit_coordinator::fallbackShare(const entry &item) const
{
    const auto settings = budgetSettings(item.limits);
    return std::max(1, static_cast<int>(settings.limit * baseFraction / settings.expectedInstances));
}

bool limit_coordinator::isCutOff(const entry &item, time_point now) const
{
    if (item.owner == m_self) {
        // As a new owner it waits for the reports of members that it cannot reach.
        return now - item.ownerSince >= rebuildPatience;
    }
    const auto answered = m_answeredAt.find(item.owner);
    const auto since = answered == m_answeredAt.end() ? item.ownerSince : std::max(answered->second, item.ownerSince);
    return now - since >= ownerPatience + connection_share::reportInterval();
}

// A share of 0 that the owner granted does not keep an instance without connections once the owner is cut off.
bool limit_coordinator::isGranted(const entry &item, time_point now) const
{
    return item.heardOwner || (item.share.hasGrant() && !isCutOff(item, now));
}

// One connection for each count of the target that includes the previous one, so that the limit holds with connections
// that no live instance reports. The connection kept free for a promotion covers an instance that acts on the same
// count.
bool limit_coordinator::mayOpenByCount(const entry &item, time_point now) const
{
    return isCutOff(item, now) && item.share.open() < fallbackShare(item) && item.countedAt > item.establishedAt
        && now - item.countedAt <= countLifetime && item.counted + 1 + promotionConnections <= item.limits.connections;
}

int limit_coordinator::usableShare(const entry &item, time_point now) const
{
    if (isGranted(item, now)) {
        return item.share.allowance();
    }
    return item.share.open() + (mayOpenByCount(item, now) ? 1 : 0);
}

int limit_coordinator::surplusOf(const entry &item, time_point now) const
{
    // The owner counts what was opened without it from the first report on, and takes back what is too much.
    return isGranted(item, now) ? item.share.excess() : 0;
}

bool limit_coordinator::isReady() const
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    return std::all_of(m_entries.begin(), m_entries.end(), [&](const auto &known) {
        const auto &item = known.second;
        return item.heardOwner || item.share.hasGrant() || isCutOff(item, now) || now - item.since >= readyPatience;
    });
}

bool limit_coordinator::beginOpening(const target_id &target)
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    auto *item = find(target);
    if (item == nullptr) {
        return false;
    }
    const bool byCount = !isGranted(*item, now) && mayOpenByCount(*item, now);
    if (!byCount && !item->share.mayOpen(now)) {
        return false;
    }
    if (byCount) {
        item->countedAt = never; // The next one needs a new count.
    }
    item->share.onOpening();
    return true;
}

void limit_coordinator::onEstablished(const target_id &target)
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    if (auto *item = find(target)) {
        item->share.onEstablished(now);
        item->establishedAt = now;
    }
}

void limit_coordinator::onOpenFailed(const target_id &target, bool refused)
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    if (auto *item = find(target)) {
        item->share.onOpenFailed(refused, now);
    }
}

void limit_coordinator::onClosed(const target_id &target)
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    if (auto *item = find(target)) {
        item->share.onClosed(now);
    }
}

void limit_coordinator::setDemand(const target_id &target, int connections, int longStatements, int longRunning)
{
    const std::lock_guard lock(m_mutex);
    if (auto *item = find(target)) {
        item->share.setWanted(connections);
        item->permits.setWanted(longStatements);
        item->permits.setRunning(longRunning);
    }
}

void limit_coordinator::setShapes(const target_id &target, std::vector<shared_shape> shapes)
{
    const std::lock_guard lock(m_mutex);
    if (auto *item = find(target)) {
        item->shapes.setMeasured(std::move(shapes));
    }
}

void limit_coordinator::setLongDemand(const target_id &target, int longStatements)
{
    const auto now = m_hooks.now();
    outbox out;
    {
        const std::lock_guard lock(m_mutex);
        auto *item = find(target);
        if (item == nullptr) {
            return;
        }
        item->permits.setWanted(longStatements);
        if (auto request = item->permits.poll(now)) {
            out[item->owner].permitRequests.push_back(std::move(*request));
        }
    }
    deliver(out);
}

bool limit_coordinator::isPermitDenied(const target_id &target) const
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    const auto *item = find(target);
    return item != nullptr && item->permits.isDenied(now);
}

void limit_coordinator::onLongFinished(const target_id &target)
{
    const std::lock_guard lock(m_mutex);
    if (auto *item = find(target)) {
        item->permits.onStatementFinished();
    }
}

void limit_coordinator::setControlConnections(const target_id &target, int count)
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    if (auto *item = find(target)) {
        item->share.setControlConnections(count, now);
    }
}

void limit_coordinator::onTargetStatus(const target_id &target, int connections, time_point askedAt)
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    auto *item = find(target);
    if (item == nullptr) {
        return;
    }
    item->counted = connections;
    item->countedAt = askedAt;
    if (item->budget) {
        item->budget->onTargetStatus(connections, askedAt, now);
    }
}

int limit_coordinator::allowance(const target_id &target) const
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    const auto *item = find(target);
    return item == nullptr ? 0 : usableShare(*item, now);
}

int limit_coordinator::excess(const target_id &target) const
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    const auto *item = find(target);
    return item == nullptr ? 0 : surplusOf(*item, now);
}

int limit_coordinator::longPlaces(const target_id &target) const
{
    const auto now = m_hooks.now();
    const std::lock_guard lock(m_mutex);
    const auto *item = find(target);
    return item == nullptr ? 0 : item->permits.places(now);
}

}
