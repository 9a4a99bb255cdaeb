#pragma once

#include "fleetfeed.h"
#include "frontsession.h"
#include "frontsettings.h"
#include "httpmessage.h"
#include "isolation.h"
#include "leaderkeeper.h"
#include "metadatastore.h"
#include "relayhub.h"
#include "servicegroup.h"
#include "storefeed.h"
#include "targetdirectory.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace crocusdeal
{

/** The daemon: callers on one side, the targets of all services on the other. */
class front : public std::enable_shared_from_this<front>
{
public:
    front(front_context &context, front_settings settings, metadata_store &store, promotion_authority &authority);

    /** Empty if it has started, else why not. */
    std::string start();
    /** Ends gracefully; @p done is called when nothing is left, at the latest when the grace is over. */
    void shutdown(std::function<void()> done);
    bool isReady() const;
    /** Ends everything at once; connections and their owners let go of each other in the next turn of the loop. */
    void close();

private:
    std::string listenForCallers();
    std::string listenForInstances();
    void acceptNext();
    void addSession(asio::ip::tcp::socket socket);
    /** Runs a statement of a caller, here or at an instance that serves its service. */
    std::shared_ptr<running_statement> run(const statement_order &order,
                                           const session_values &values,
                                           outcome_handler done);
    /** As run(), at targets to which this instance holds the connections. */
    std::shared_ptr<running_statement> runHere(const statement_order &order,
                                               const session_values &values,
                                               outcome_handler done);
    bool isPlannedHere(const service_id &service);
    /** Begins to serve the services that others relay to this instance, before their first statement. */
    void keepPlannedServices();
    void applyConfiguration(const routing_configuration &configuration);
    void applyTargets(const target_news &news, time_point changedAfter);
    void applyDuties(const duty_list_news &news, time_point askedAt);
    void tellDuty(const service_id &service, leader_keeper &keeper) const;
    void refreshGroups();
    /** Begins to serve the service if it does not yet; null if it is not configured. */
    std::shared_ptr<service_group> groupOf(const service_id &service);
    std::shared_ptr<service_group> beginToServe(const service_id &service, const service_policy &policy);
    /** Lets go of services that no caller has used for long, with their connections. */
    void retireUnusedServices(time_point now);
    bool isAnswering(const data_centre_id &dataCentre) const;
    /** Asks at the addresses of targets whose entries are gone, while their data centres can be reached. */
    void checkMissingTargets();
    /** Asks some targets of the data centre, so that isAnswering() can tell. */
    void askIn(const data_centre_id &dataCentre);
    void housekeep();
    /** How long this process did not run until just now, for its machine was suspended or had no processor. */
    duration recentStall(time_point now) const;
    void watchSilence(time_point now);
    std::vector<target_reachability> reachOfTargets(time_point now) const;
    void watchIsolation(time_point now);
    /** Together for all that is missed at about the same time, without waiting for the next housekeeping. */
    void watchIsolationSoon();
    void closeIdleSessions();
    void endTransactions();
    void finishShutdown(const char *why);
    http_response answerReadiness(const std::string &path) const;
    http_response answerMetrics(const std::string &path) const;
    void updateMetrics();

    front_context &m_context;
    front_settings m_settings;
    metadata_store &m_store;
    promotion_authority &m_authority;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<http_server> m_readiness;
    std::shared_ptr<http_server> m_metrics;
    std::shared_ptr<store_feed> m_feed;
    std::shared_ptr<relay_hub> m_relays; ///< Null if this instance serves its callers alone.
    std::shared_ptr<fleet_feed> m_fleet;
    std::shared_ptr<const routing_configuration> m_configuration;
    target_directory m_directory;
    bool m_areTargetsKnown = false;
    bool m_areDutiesKnown = false;
    std::map<service_id, promotion_lease_record> m_duties;
    time_point m_dutiesAskedAt = never;
    std::map<service_id, std::shared_ptr<service_group>> m_groups;
    std::map<service_id, std::shared_ptr<leader_keeper>> m_keepers;
    std::set<std::shared_ptr<front_session>> m_sessions;
    std::function<void()> m_whenShutDown;
    time_point m_shutdownAt = never;
    time_point m_lastSessionEndedAt = never;
    time_point m_startedAt = never;
    time_point m_leftOutToldAt = never;
    time_point m_housekeptAt = never;
    time_point m_pausesCheckedAt = never;
    time_point m_missingCheckedAt = never;
    bool m_isIsolationCheckPlanned = false;
    time_point m_isolatedSince = never; ///< Most targets of most services do not answer here.
};

}
