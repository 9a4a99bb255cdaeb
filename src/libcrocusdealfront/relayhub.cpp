#include "relayhub.h"

#include "listener.h"
#include "rendezvous.h"
#include "systemclock.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration linkRetry{400};
// Instances that lose power together start together, and one listens a moment before the other.
constexpr duration youngTime{2000};
constexpr duration youngLinkRetry{60};
constexpr std::size_t mostHelpers = 4;
constexpr std::size_t enoughStoreLinks = 2;
constexpr duration helperInterval{1000}; // The store may be away from all; then nobody needs to hurry.
constexpr duration budgetLinkTime{30000}; // For which a link on demand is kept after its last use.
constexpr std::size_t standbys = 2; // Instances with a link that serve in the place of those that have failed.

}

relay_hub::relay_hub(front_context &context, relay_surroundings surroundings)
    : m_context(context)
    , m_surroundings(std::move(surroundings))
    , m_acceptor(context.io)
    , m_createdAt(systemNow())
{
    m_members.emplace(m_surroundings.self.id, m_surroundings.self);
    m_surroundings.isMember = [this](const instance_id &id) {
        const bool isKnown = m_known.contains(id);
        if (!isKnown && onUnknownInstance) {
            onUnknownInstance();
        }
        return isKnown;
    };
}

std::string relay_hub::listen(const host_port &address)
{
    auto problem = openListener(m_acceptor, address);
    if (problem.empty()) {
        acceptConnections(m_acceptor, [self = shared_from_this()](asio::ip::tcp::socket socket) {
            self->addSession(std::move(socket));
        });
    }
    return problem;
}

void relay_hub::addSession(asio::ip::tcp::socket socket)
{
    const auto session =
        std::make_shared<relay_session>(m_context, std::make_shared<byte_stream>(std::move(socket)), m_surroundings);
    session->onEnded = [self = shared_from_this(), weak = std::weak_ptr(session)] {
        if (const auto ended = weak.lock()) {
            self->m_sessions.erase(ended);
        }
    };
    m_sessions.insert(session);
    session->start();
}

void relay_hub::setMembers(const std::vector<fleet_member> &members)
{
    const auto &self = m_surroundings.self;
    std::map<instance_id, fleet_member> here{{self.id, self}};
    std::set<data_centre_id> dataCentres{self.dataCentre};
    m_known.clear();
    m_others.clear();
    for (const auto &member : members) {
        m_known.insert(member.id);
        dataCentres.insert(member.dataCentre);
        if (member.id != self.id) {
            m_others.emplace(member.id, member);
        }
        if (member.dataCentre == self.dataCentre && member.id != self.id) {
            here.emplace(member.id, member);
        }
    }
    m_known.insert(self.id);
    m_areMembersKnown = true;
    const auto sessions = m_sessions;
    for (const auto &session : sessions) {
        session->membersChanged();
    }
    const int count = static_cast<int>(dataCentres.size());
    if (here == m_members && count == m_dataCentres) {
        return;
    }
    m_members = std::move(here);
    m_dataCentres = count;
    m_plans.clear();
    m_context.log.info("fleet_known")
        .field("instances", static_cast<std::int64_t>(m_known.size()))
        .field("here", static_cast<std::int64_t>(m_members.size()))
        .field("data_centres", m_dataCentres);
    openLinks(systemNow());
}

void relay_hub::setPolicies(const std::map<service_id, service_policy> &policies, bool isByWorkspace)
{
    m_policies = policies;
    m_isByWorkspace = isByWorkspace;
    m_plans.clear();
}

relay_hub::service_plan &relay_hub::planOf(const service_id &service)
{
    const auto known = m_plans.find(service);
    if (known != m_plans.end()) {
        return known->second;
    }
    auto &plan = m_plans[service];
    const auto policy = m_policies.find(service);
    const int instances = static_cast<int>(std::max(m_known.size(), m_members.size()));
    const int connections =
        policy == m_policies.end() ? service_policy{}.maxConnections : policy->second.maxConnections;
    const int serving = m_isByWorkspace ? servingInstancesByWorkspace(connections, instances, m_dataCentres)
                                        : servingInstances(connections, instances, m_dataCentres);
    plan.serving = serving;
    plan.isServedByAll = serving == instances;
    if (plan.isServedByAll) {
        plan.isServedHere = true;
        return plan;
    }
    const auto members = membersHere();
    const auto &self = m_surroundings.self.id;
    plan.isServedHere = isServing(service, members, serving, self);
    plan.order = relayOrder(service, members, serving, self);
    plan.order.resize(std::min(plan.order.size(), static_cast<std::size_t>(serving) + standbys));
    return plan;
}

std::vector<instance_id> relay_hub::membersHere() const
{
    std::vector<instance_id> members;
    for (const auto &[id, member] : m_members) {
        members.push_back(id);
    }
    return members;
}

const std::vector<instance_id> &relay_hub::orderOf(const service_id &service, const workspace_id &workspace)
{
    auto &plan = planOf(service);
    if (!m_isByWorkspace || workspace.empty()) {
        return plan.order;
    }
    auto &order = plan.orderOfWorkspaces[workspace];
    if (order.empty()) {
        order = relayOrderOfWorkspace(service, workspace, membersHere(), plan.serving);
        order.resize(plan.order.size());
    }
    return order;
}

int relay_hub::servingCount(const service_id &service)
{
    const auto &plan = planOf(service);
    return plan.isServedByAll ? plan.serving : plan.serving * m_dataCentres;
}

bool relay_hub::isUnplanned() const
{
    return !m_areMembersKnown && isYoung(systemNow());
}

bool relay_hub::servesHere(const service_id &service)
{
    return !isUnplanned() && planOf(service).isServedHere;
}

bool relay_hub::isRelayedTo(const service_id &service)
{
    const auto &plan = planOf(service);
    return plan.isServedHere && !plan.isServedByAll;
}

std::shared_ptr<relay_link> relay_hub::next(const service_id &service,
                                            const workspace_id &workspace,
                                            const std::set<instance_id> &avoid)
{
    if (isUnplanned()) {
        return nullptr;
    }
    const auto &plan = planOf(service);
    if (plan.isServedByAll || (plan.isServedHere && !m_isByWorkspace)) {
        return nullptr;
    }
    for (const auto &id : orderOf(service, workspace)) {
        if (id == m_surroundings.self.id) {
            return nullptr; // This instance is the next to serve in the place of those that have failed.
        }
        const auto found = m_links.find(id);
        if (found != m_links.end() && found->second->isUsable() && !avoid.contains(id)) {
            return found->second;
        }
    }
    return nullptr;
}

bool relay_hub::isYoung(time_point now) const
{
    return now - m_createdAt < youngTime;
}

bool relay_hub::isSettling(const service_id &service, const workspace_id &workspace)
{
    if (isUnplanned()) {
        return true;
    }
    return isYoung(systemNow()) && !planOf(service).isServedHere && !next(service, workspace, {});
}

bool relay_hub::areServersIsolated()
{
    std::size_t relayed = 0;
    std::size_t isolated = 0;
    for (const auto &[service, policy] : m_policies) {
        const auto link = planOf(service).isServedHere ? nullptr : next(service, {}, {});
        relayed += link ? 1 : 0;
        isolated += link && link->isPeerIsolated() ? 1 : 0;
    }
    return relayed > 0 && isolated * 2 > relayed;
}

void relay_hub::setBudgetHolders(std::set<instance_id> holders)
{
    m_budgetHolders = std::move(holders);
}

std::shared_ptr<relay_link> relay_hub::budgetLink(const instance_id &id)
{
    const auto now = systemNow();
    m_budgetsAskedAt[id] = now;
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
        return found->second->isAnswering() ? found->second : nullptr;
    }
    const auto *member = memberOf(id);
    if (member != nullptr && !m_isClosed && id != m_surroundings.self.id) {
        openLink(*member);
    }
    return nullptr;
}

std::set<instance_id> relay_hub::linksForBudgets(time_point now)
{
    std::erase_if(m_budgetsAskedAt, [&](const auto &asked) { return now - asked.second >= budgetLinkTime; });
    auto wanted = m_budgetHolders;
    for (const auto &[id, askedAt] : m_budgetsAskedAt) {
        wanted.insert(id);
    }
    return wanted;
}

void relay_hub::openLinks(time_point now)
{
    std::set<instance_id> wanted;
    for (const auto &[service, policy] : m_policies) {
        const auto &plan = planOf(service);
        if (!plan.isServedHere || m_isByWorkspace) {
            wanted.insert(plan.order.begin(), plan.order.end());
        }
    }
    if (m_isStoreSought) {
        chooseHelpers(now);
        wanted.insert(m_helpers.begin(), m_helpers.end());
    }
    const auto relayed = wanted;
    wanted.merge(linksForBudgets(now));
    wanted.erase(m_surroundings.self.id);
    const auto retry = isYoung(now) ? youngLinkRetry : linkRetry;
    const auto links = m_links;
    for (const auto &[id, link] : links) {
        const auto *member = memberOf(id);
        // Another incarnation at the same address has ended the link itself.
        const bool isMoved = member != nullptr && member->relayAddress != link->peer().relayAddress;
        link->setPingedSeldom(!relayed.contains(id));
        // An instance that leaves is no member any more, and finishes what it has begun.
        const bool isUnneeded = !wanted.contains(id) && !link->isInUse();
        if (!link->isEnded() && (isMoved || isUnneeded)) {
            link->close("not needed");
        }
        const bool isGone = member == nullptr && link->isEnded();
        if (isMoved || isGone || (link->isEnded() && now - link->endedAt() >= retry)) {
            m_links.erase(id);
        }
    }
    for (const auto &id : wanted) {
        const auto *member = memberOf(id);
        if (member != nullptr && !m_links.contains(id)) {
            openLink(*member);
        }
    }
}

void relay_hub::openLink(const fleet_member &member)
{
    const auto link = std::make_shared<relay_link>(m_context, m_surroundings.self, member);
    link->onPong = [this](const relay_pong &pong, time_point pingSentAt) {
        if (onPong) {
            onPong(pong, pingSentAt);
        }
    };
    link->onLoads = [weak = weak_from_this(), from = member.id](const std::vector<reported_load> &loads) {
        if (const auto self = weak.lock()) {
            self->m_surroundings.heardLoads(from, loads);
        }
    };
    m_links.emplace(member.id, link);
    link->open();
}

const fleet_member *relay_hub::memberOf(const instance_id &id) const
{
    const auto found = m_others.find(id);
    return found == m_others.end() ? nullptr : &found->second;
}

void relay_hub::seekStore(bool isWanted)
{
    if (isWanted == m_isStoreSought) {
        return;
    }
    m_isStoreSought = isWanted;
    m_helpers.clear(); // Links that are not needed any more end with the next tick.
    m_helpersChosenAt = never;
    if (isWanted && !m_isClosed) {
        openLinks(systemNow());
    }
}

std::vector<std::shared_ptr<relay_link>> relay_hub::storeLinks() const
{
    std::vector<std::shared_ptr<relay_link>> usable;
    for (const auto &[id, link] : m_links) {
        if (link->isUsable() && !link->isPeerStoreAway()) {
            usable.push_back(link);
        }
    }
    std::stable_partition(usable.begin(), usable.end(), [this](const auto &link) {
        return link->peer().dataCentre == m_surroundings.self.dataCentre;
    });
    return usable;
}

std::vector<instance_id> relay_hub::helperOrder() const
{
    std::vector<instance_id> others;
    for (const auto &[id, member] : m_others) {
        others.push_back(id);
    }
    auto order = rendezvousOrder(m_surroundings.self.id.str(), std::move(others));
    std::stable_partition(order.begin(), order.end(), [this](const instance_id &id) {
        return m_others.at(id).dataCentre == m_surroundings.self.dataCentre;
    });
    return order;
}

void relay_hub::chooseHelpers(time_point now)
{
    if (now - m_helpersChosenAt < helperInterval) {
        return;
    }
    m_helpersChosenAt = now;
    std::erase_if(m_helpers, [this](const instance_id &id) {
        const auto found = m_links.find(id);
        return found == m_links.end() || !found->second->isUsable() || found->second->isPeerStoreAway();
    });
    const auto order = helperOrder();
    const bool hasEnough = storeLinks().size() >= enoughStoreLinks;
    for (std::size_t i = 0; i < order.size() && m_helpers.size() < mostHelpers && !hasEnough; ++i) {
        m_helpers.insert(order[m_nextHelper++ % order.size()]);
    }
}

void relay_hub::tick(time_point now, duration ownStall)
{
    if (m_isClosed) {
        return;
    }
    const auto links = m_links;
    for (const auto &[id, link] : links) {
        link->tick(now, ownStall);
    }
    openLinks(now);
}

void relay_hub::announceState()
{
    const auto sessions = m_sessions;
    for (const auto &session : sessions) {
        session->announceState();
    }
}

void relay_hub::endTransactions()
{
    const auto sessions = m_sessions;
    for (const auto &session : sessions) {
        session->endTransactions();
    }
}

void relay_hub::expire()
{
    const auto sessions = m_sessions;
    for (const auto &session : sessions) {
        session->expire();
    }
}

bool relay_hub::hasWork() const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(), [](const auto &session) { return session->hasWork(); });
}

void relay_hub::close()
{
    m_isClosed = true;
    std::error_code ignored; // Nothing depends on how a listener closes.
    m_acceptor.close(ignored);
    for (const auto &[id, link] : std::exchange(m_links, {})) {
        link->close("closed");
    }
    const auto sessions = m_sessions;
    for (const auto &session : sessions) {
        session->close("closed");
    }
}

}
