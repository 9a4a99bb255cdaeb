#pragma once

#include "relayedstatement.h"
#include "relaylink.h"
#include "relaysession.h"
#include "routingconfiguration.h"
#include "servingplan.h"

#include <asio/ip/tcp.hpp>

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

    /** Empty if it listens, else why not. */
    std::string listen(const host_port &address);
    void setMembers(const std::vector<fleet_member> &members);
    void setPolicies(const std::map<service_id, service_policy> &policies);

    /** Whether this instance is to hold connections to the targets of the service, as things are planned. */
    bool servesHere(const service_id &service);
    /** Whether other instances hand statements of the service to this one. */
    bool isRelayedTo(const service_id &service);
    /** The link to the instance that gets the next statement; null if that is this one. */
    std::shared_ptr<relay_link> next(const service_id &service, const std::set<instance_id> &avoid);
    /** Whether this instance has just started and is still opening its links to those that serve. */
    bool isSettling(const service_id &service);
    /** Whether the instances that serve most services for this one have said that they reach too few targets. */
    bool areServersIsolated();

    /** Keeps links to these instances as well, of any data centre. */
    void setBudgetHolders(std::set<instance_id> holders);
    /** The link to ask an instance of any data centre for budgets; null while there is none, which opens one. */
    std::shared_ptr<relay_link> budgetLink(const instance_id &id);

    void tick(time_point now, duration ownStall);
    /** Tells the other instances at once whether this one leaves or reaches too few targets. */
    void announceState();
    void endTransactions();
    /** Whether statements of other instances run here. */
    bool hasWork() const;
    void close();

private:
    struct service_plan {
        std::vector<instance_id> order; ///< In which statements are handed over.
        bool isServedHere = false;
        bool isServedByAll = false;
    };

    void addSession(asio::ip::tcp::socket socket);
    const service_plan &planOf(const service_id &service);
    /** Opens links to the instances that may get statements of this one. */
    void openLinks(time_point now);
    void openLink(const fleet_member &member);
    /** Null if no instance of this name is known. */
    const fleet_member *memberOf(const instance_id &id) const;
    std::set<instance_id> linksForBudgets(time_point now);
    bool isYoung(time_point now) const;
    /** Whether the members are about to be known, so that nothing can be planned yet. */
    bool isUnplanned() const;

    front_context &m_context;
    relay_surroundings m_surroundings;
    asio::ip::tcp::acceptor m_acceptor;
    std::map<instance_id, fleet_member> m_members; ///< Of this data centre, with this instance.
    std::map<instance_id, fleet_member> m_elsewhere; ///< Of the other data centres.
    std::set<instance_id> m_budgetHolders; ///< To keep links to.
    std::map<instance_id, time_point> m_budgetsAskedAt; ///< Of links on demand.
    std::set<instance_id> m_known; ///< Of all data centres.
    int m_dataCentres = 1;
    std::map<service_id, service_policy> m_policies;
    std::map<service_id, service_plan> m_plans; ///< Worked out when first needed.
    std::map<instance_id, std::shared_ptr<relay_link>> m_links;
    std::set<std::shared_ptr<relay_session>> m_sessions;
    time_point m_createdAt;
    bool m_areMembersKnown = false;
    bool m_isClosed = false;
};

}
