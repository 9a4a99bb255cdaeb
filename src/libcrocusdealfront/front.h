#pragma once

#include "accessconfirmation.h"
#include "fleetfeed.h"
#include "frontsession.h"
#include "frontsettings.h"
#include "httpmessage.h"
#include "instancesurvey.h"
#include "keyrevocations.h"
#include "leasereader.h"
#include "metadatastore.h"
#include "operationbudget.h"
#include "relayhub.h"
#include "servedservices.h"
#include "shutdownplan.h"
#include "storefeed.h"
#include "targetreader.h"

#include <functional>
#include <memory>
#include <optional>
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
    /** Until when work with keys may run; nothing if it is not bound to evidence of the configuration. */
    std::optional<time_point> accessValidUntil() const;
    /** Ends everything at once; connections and their owners let go of each other in the next turn of the loop. */
    void close();

private:
    std::string listenForCallers();
    std::string listenForInstances();
    void beginReadingLeases();
    void beginReadingTargets();
    void addSession(asio::ip::tcp::socket socket);
    /** Runs a statement of a caller, here or at an instance that serves its service. */
    std::shared_ptr<running_statement> run(const statement_order &order,
                                           const session_values &values,
                                           outcome_handler done);
    /** As run(), at targets to which this instance holds the connections. */
    std::shared_ptr<running_statement> runHere(const statement_order &order,
                                               const session_values &values,
                                               outcome_handler done);
    void askInstances(const service_id &service, std::function<void(const instance_survey::answers &)> done);
    /** Begins to serve the services that others relay to this instance, before their first statement. */
    void keepPlannedServices();
    void applyConfiguration(const routing_configuration &configuration);
    /** Ends what callers may do no more since @p before. */
    void takeAwayKeys(const std::shared_ptr<const routing_configuration> &before);
    /** Has callers with keys connect elsewhere while no key can be confirmed here. */
    void closeUnconfirmedSessions(time_point now);
    void housekeep();
    /** How long this process did not run until just now, for its machine was suspended or had no processor. */
    duration recentStall(time_point now) const;
    void watchIsolation(time_point now);
    /** Together for all that is missed at about the same time, without waiting for the next housekeeping. */
    void watchIsolationSoon();
    /** Ends the sessions of callers, each as soon as nothing of it is cut; again and again until the process ends. */
    void endSessions();
    /** Whether a statement of any route may begin while the instance is leaving. */
    bool mayBeginAnything(time_point now) const;
    /** Sends new callers elsewhere once nothing can be begun for them. */
    void stopListening();
    /** Answers all that is under way, as the process ends soon. */
    void expireWork();
    void finishShutdown(const char *why);
    http_response answerReadiness(const std::string &path) const;
    http_response answerMetrics(const std::string &path) const;
    void updateMetrics();

    front_context &m_context;
    front_settings m_settings;
    metadata_store &m_store;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<http_server> m_readiness;
    std::shared_ptr<http_server> m_metrics;
    std::shared_ptr<store_feed> m_feed;
    std::shared_ptr<lease_reader> m_leases;
    std::shared_ptr<target_reader> m_targets; ///< Null if this instance is the only one.
    std::shared_ptr<relay_hub> m_relays; ///< Null if this instance serves its callers alone.
    std::shared_ptr<fleet_feed> m_fleet;
    std::shared_ptr<instance_survey> m_survey; ///< Null if this instance is the only one.
    std::shared_ptr<operation_budget> m_budget;
    std::shared_ptr<const routing_configuration> m_configuration;
    key_revocations m_revocations;
    access_confirmation m_access;
    served_services m_services;
    std::set<std::shared_ptr<front_session>> m_sessions;
    std::function<void()> m_whenShutDown;
    time_point m_shutdownAt = never;
    std::optional<shutdown_plan> m_shutdown; ///< While it is leaving.
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
