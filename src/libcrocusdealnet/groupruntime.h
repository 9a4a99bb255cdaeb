#pragma once

#include "connectionpool.h"
#include "groupmonitor.h"
#include "limitcoordinator.h"
#include "retrybudget.h"
#include "serviceconfiguration.h"
#include "servicerouter.h"

#include <asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace crocusdeal
{

/** What a group needs of the instance. */
struct group_environment {
    asio::io_context &io;
    instance_id self;
    data_centre_id dataCentre;
    std::string user;
    std::function<int(const group_id &)> candidateRank;
    std::function<bool(const group_id &, const target_id &)> isProber;
    std::function<void(const group_id &, const target_id &, const target_status &)> onOwnFact; ///< A change, at once.
    std::function<void(const group_id &, std::uint64_t term, const target_id &primary)> onHint;
    std::function<void(const group_id &)> onSuspected; ///< Peers may know more of the primary.
    std::shared_ptr<limit_coordinator> limits;
};

/** One target as this instance sees it, for status reports. */
struct target_report {
    target_view view;
    connection_pool_counts connections;
    int share = 0; ///< Connections that this instance may have open.
    int longPlaces = 0; ///< Long statements that it may run.
    std::size_t waiting = 0;
    std::size_t running = 0;
    int limit = 0;
};

/** One group as this instance sees it, for status reports. */
struct group_report {
    group_view_ptr view;
    std::vector<target_report> targets;
    std::map<service_id, service_router_counts> services;
};

/**
 * One database group with everything that serves it on this instance: monitor, pools, gates and the routers of its
 * services. Thread-safe.
 */
class group_runtime : public std::enable_shared_from_this<group_runtime>
{
public:
    group_runtime(group_environment &environment, const group_configuration &group, confirm_mode confirm);

    void start();
    /** Refuses what waits and closes all idle connections. */
    void stop();
    /** Takes over new targets, limits and services; @p services are those of this group. */
    void update(const group_configuration &group, const std::vector<service_configuration> &services);
    void setLiveInstances(int count);

    /** Null if the group does not have the service. */
    std::shared_ptr<const service_hooks> find(const service_id &service) const;
    group_monitor &monitor();
    const group_id &id() const;
    group_report report() const;
    /** Closes connections that were not used for a while. */
    void closeIdleConnections();
    /** States the demand for connections and permits; to be called each 100 ms. */
    void updateDemand();
    /** What other instances measured of these statement shapes. */
    void adoptShapes(const std::vector<shared_shape> &shapes);
    /** The allowance or the long places of a target changed. */
    void onLimitsChanged(const target_id &target);

private:
    struct service_entry {
        service_configuration configuration;
        std::shared_ptr<service_router> router;
        std::shared_ptr<const service_hooks> hooks;
    };

    std::shared_ptr<group_monitor> makeMonitor(const group_configuration &group, confirm_mode confirm);
    gate_map updateGates(const group_configuration &group, const service_limits &limits);
    void applyCapacity();
    std::shared_ptr<target_gate> makeGate(const target_address &address, const service_limits &limits);
    connection_pool_hooks makePoolHooks(const target_id &key) const;
    service_entry makeService(const service_configuration &configuration);
    std::shared_ptr<const service_hooks> makeHooks(const service_configuration &configuration,
                                                   const std::shared_ptr<service_router> &router);
    bool mayRetry();
    void countRequest();
    void observe(const target_id &target, std::string_view state, time_point askedAt);
    void noteUse();
    /** Called for a target with an unanswered statement. */
    bool isAlive(const target_id &target);
    void onViewChanged(const group_view_ptr &view);

    group_environment &m_environment;
    const group_id m_id;
    std::shared_ptr<group_monitor> m_monitor;
    std::shared_ptr<gate_table> m_gates = std::make_shared<gate_table>();
    std::shared_ptr<shared_costs> m_costs;
    std::atomic<std::int64_t> m_usedAt;
    std::atomic<std::int64_t> m_usedSince; ///< Without a pause above the limit.
    std::atomic<bool> m_suspected{false};
    std::map<target_id, double> m_demand; ///< Only used by updateDemand().

    std::mutex m_retryMutex; ///< Guards m_retries; taken without other locks.
    retry_budget m_retries;

    mutable std::mutex m_mutex;
    std::map<service_id, service_entry> m_services;
    service_limits m_limits;
    int m_liveInstances = 1;
};

/** The name of a target among those of all groups. */
target_id fleetTargetId(const group_id &group, const target_id &target);

}
