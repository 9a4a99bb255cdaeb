#pragma once

#include "frontsettings.h"
#include "isolation.h"
#include "metadatastore.h"
#include "primarykeeper.h"
#include "relaymessages.h"
#include "servicegroup.h"
#include "targetdirectory.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace crocusdeal
{

/** The services to whose targets this instance holds connections, and what it knows of all targets. */
class served_services
{
public:
    served_services(front_context &context,
                    const front_settings &settings,
                    metadata_store &store,
                    promotion_authority &authority);
    ~served_services();
    served_services(const served_services &) = delete;
    served_services &operator=(const served_services &) = delete;

    /** Reads the list of targets afresh, into applyTargets(); tells whether it could. */
    std::function<void(std::function<void(bool)>)> refreshTargets;
    /** Reads the records of the promotion leases afresh, here or through another instance, into applyLeases(). */
    std::function<void(std::function<void()>)> refreshLeases;
    /** Whether the store is known not to answer this instance. */
    std::function<bool()> isStoreAway;
    /** A target has not answered a status. */
    std::function<void()> onMissed;
    /** Asks the other instances what they know of a service; one that does not answer has no value. */
    std::function<void(const service_id &, std::function<void(const std::vector<std::optional<instance_knowledge>> &)>)>
        askInstances;
    /** How many instances of the fleet serve the service, if connections belong to workspaces. */
    std::function<std::optional<int>(const service_id &)> servingByWorkspace;
    /** Whether other instances relay statements of the service to this one, or are about to. */
    std::function<bool(const service_id &)> isPlannedHere;

    void setConfiguration(std::shared_ptr<const routing_configuration> configuration);
    /** The members of the fleet have changed, and with them who serves. */
    void refreshPolicies();
    /** @p changedAfter is when the store last answered without this update. */
    void applyTargets(const target_update &update, time_point changedAfter);
    /** Takes over what another instance knows of the targets of @p services, while the store is away. */
    void applyPeerTargets(const std::vector<service_id> &services,
                          const target_answer &answer,
                          time_point changedAfter);
    /** The targets of @p services that are listed, for another instance. */
    target_answer listedTargets(const std::vector<service_id> &services) const;
    /** The services that are served here. */
    std::vector<service_id> services() const;
    void applyLeases(const promotion_lease_list_update &update, store_reading reading, time_point askedAt);
    bool areTargetsKnown() const;

    /** Begins to serve the service if it does not yet; null if it is not configured. */
    std::shared_ptr<service_group> groupOf(const service_id &service);
    /** Begins to serve the services that others relay to this instance, before their first statement. */
    void beginPlanned();
    /** Lets go of services that no caller has used for long, with their connections. */
    void retireUnused(time_point now);

    /** Closes connections that are not needed and hands out work that waits. */
    void pump(time_point now);
    /** Forgets the entries of targets that have drained, and of those that are gone for good. */
    void eraseExpired(time_point now);
    /** Has the primary looked for where statements or writes are not answered. */
    void watchSilence(time_point now);
    /** Asks at the addresses of targets whose entries are gone, while their data centres can be reached. */
    void checkMissingTargets();
    void checkPauses();
    /** Reads the promotion leases if targets have been listed since they were read last. */
    void refreshLeasesWhereNeeded();
    /** As refreshLeasesWhereNeeded(), after what is under way, but not more often than is of use. */
    void refreshLeasesSoon();
    /** Tells what this instance knows of a service, once its primary has been asked. */
    void describe(const service_id &service, std::function<void(const instance_knowledge &)> done);
    /** What other instances should know of the load of targets; the most telling part of it. */
    std::vector<reported_load> loads() const;
    void recordLoads(const instance_id &from, const std::vector<reported_load> &loads);
    void stopKeepers();
    void close();

    std::size_t count() const;
    /** Services of which this instance reaches few targets. */
    std::size_t countCutOff(time_point now) const;
    std::vector<target_reachability> reachOfTargets(time_point now) const;
    std::size_t queuedStatements() const;
    int targetConnections() const;

private:
    std::shared_ptr<service_group> beginToServe(const service_id &service, const service_policy &policy);
    std::shared_ptr<primary_keeper> makeKeeper(const std::shared_ptr<service_group> &group);
    void recordEntry(const target_entry &entry, const target_update &update, const directory_update_time &at);
    /** Logs for how long a target may get new work as the primary that began to leave with this update. */
    void recordIfLeaving(const target_entry &entry, const directory_update_time &at) const;
    void reportLease(const service_id &service, primary_keeper &keeper) const;
    void reportWitnesses(const service_id &service, service_group &group) const;
    void refreshGroups();
    bool isAnswering(const data_centre_id &dataCentre) const;
    /** Asks some targets of the data centre, so that isAnswering() can tell. */
    void askIn(const data_centre_id &dataCentre);

    front_context &m_context;
    const front_settings &m_settings;
    metadata_store &m_store;
    promotion_authority &m_authority;
    std::shared_ptr<const routing_configuration> m_configuration;
    target_directory m_directory;
    std::uint64_t m_targetsRevision = 0; ///< Of the store, when they were heard last.
    bool m_areTargetsKnown = false;
    bool m_areLeasesKnown = false;
    std::map<service_id, promotion_lease_record> m_leases;
    time_point m_leasesAskedAt = never;
    time_point m_leasesCurrentSince = never; ///< When they were asked for last, as they were then.
    std::uint64_t m_leasesRevision = 0; ///< Of the store, when they were read last.
    bool m_isLeaseRefreshPending = false;
    deadline_queue::handle m_leaseRefresh = 0; ///< The next one, if it is to wait.
    std::map<service_id, time_point> m_unrecordedCommands; ///< Other instances may have sent, without the store.
    std::map<service_id, position> m_commits; ///< Acknowledged for services that are not served any more.
    std::map<service_id, std::shared_ptr<service_group>> m_groups;
    std::map<service_id, std::shared_ptr<primary_keeper>> m_keepers;
};

}
