#pragma once

#include "relayedstatement.h"
#include "relaylink.h"
#include "relaysession.h"
#include "routingconfiguration.h"
#include "servingplan.h"

#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusdeal
{

/** The connections to and from the other instances of this data centre, and who serves which service. */
class relay_hub : public std::enable_shared_from_this<relay_hub>
{
public:
    relay_hub(front_context &context, relay_surroundings surroundings);

    /** Another instance that is not known here has come; asks for a fresh list of the members. */
    std::function<void()> onUnknownInstance;
    /** As relay_link::onPong, of any link. */
    std::function<void(const relay_pong &, time_point pingSentAt)> onPong;

    /** Empty if it listens, else why not. */
    std::string listen(const host_port &address);
    void setMembers(const std::vector<fleet_member> &members);
    /** @p isByWorkspace: whether connections to targets belong to workspaces. */
    void setPolicies(const std::map<service_id, service_policy> &policies, bool isByWorkspace);

    /** Whether this instance is to hold connections to the targets of the service, as things are planned. */
    bool servesHere(const service_id &service);
    /** Whether other instances hand statements of the service to this one. */
    bool isRelayedTo(const service_id &service);
    /** The link to the instance that gets the next statement; null if that is this one. */
    std::shared_ptr<relay_link> next(const service_id &service,
                                     const workspace_id &workspace,
                                     const std::set<instance_id> &avoid);
    /** Instances of the fleet that serve the service. */
    int servingCount(const service_id &service);
    /** Whether this instance has just started and is still opening its links to those that serve. */
    bool isSettling(const service_id &service, const workspace_id &workspace);
    /** Whether the instances that serve most services for this one have said that they reach too few targets. */
    bool areServersIsolated();

    /** Whether links to instances that reach the store are wanted, beside those for the work. */
    void seekStore(bool isWanted);
    /** Links to instances that have not said that the store is away; those of this data centre first. */
    std::vector<std::shared_ptr<relay_link>> storeLinks() const;
    /** Keeps links to these instances as well, of any data centre. */
    void setBudgetHolders(std::set<instance_id> holders);
    /** The link to ask an instance of any data centre for budgets; null while there is none, which opens one. */
    std::shared_ptr<relay_link> budgetLink(const instance_id &id);

    void tick(time_point now, duration ownStall);
    /** Tells the other instances at once whether this one leaves or reaches too few targets. */
    void announceState();
    void endTransactions();
    /** Answers what runs here for other instances now, as far as its outcome is known. */
    void expire();
    /** Whether statements of other instances run here. */
    bool hasWork() const;
    void close();

private:
    struct service_plan {
        std::vector<instance_id> order; ///< In which statements are handed over.
        std::map<workspace_id, std::vector<instance_id>> orderOfWorkspaces; ///< Worked out when first needed.
        int serving = 0; ///< In this data centre.
        bool isServedHere = false;
        bool isServedByAll = false;
    };

    void addSession(asio::ip::tcp::socket socket);
    service_plan &planOf(const service_id &service);
    const std::vector<instance_id> &orderOf(const service_id &service, const workspace_id &workspace);
    std::vector<instance_id> membersHere() const;
    /** Opens links to the instances that may get statements of this one. */
    void openLinks(time_point now);
    void openLink(const fleet_member &member);
    /** Chooses who else is to be asked about the store, in place of those that do not reach it either. */
    void chooseHelpers(time_point now);
    /** All other instances; those of this data centre first, else in an order of this instance's own. */
    std::vector<instance_id> helperOrder() const;
    /** Null if no other instance of this name is known. */
    const fleet_member *memberOf(const instance_id &id) const;
    std::set<instance_id> linksForBudgets(time_point now);
    bool isYoung(time_point now) const;
    /** Whether the members are about to be known, so that nothing can be planned yet. */
    bool isUnplanned() const;

    front_context &m_context;
    relay_surroundings m_surroundings;
    asio::ip::tcp::acceptor m_acceptor;
    std::map<instance_id, fleet_member> m_members; ///< Of this data centre, with this instance.
    std::set<instance_id> m_budgetHolders; ///< To keep links to.
    std::map<instance_id, time_point> m_budgetsAskedAt; ///< Of links on demand.
    std::set<instance_id> m_known; ///< Of all data centres.
    std::map<instance_id, fleet_member> m_others; ///< Of all data centres, without this instance.
    std::set<instance_id> m_helpers; ///< Those with a link for the sake of the store.
    std::size_t m_nextHelper = 0; ///< In helperOrder().
    time_point m_helpersChosenAt = never;
    bool m_isStoreSought = false;
    int m_dataCentres = 1;
    std::map<service_id, service_policy> m_policies;
    std::map<service_id, service_plan> m_plans; ///< Worked out when first needed.
    std::map<instance_id, std::shared_ptr<relay_link>> m_links;
    std::set<std::shared_ptr<relay_session>> m_sessions;
    time_point m_createdAt;
    bool m_isByWorkspace = false;
    bool m_areMembersKnown = false;
    bool m_isClosed = false;
};

}
