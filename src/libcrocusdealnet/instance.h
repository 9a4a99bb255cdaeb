#pragma once

#include "callerlistener.h"
#include "controlplane.h"
#include "daemonsettings.h"
#include "groupruntime.h"
#include "instancestatus.h"
#include "metrics.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace crocusdeal
{

class platform_client;
class object_watcher;
class admin_server;
class admin_responder;

/**
 * One instance of the proxy: everything that runs in the daemon.
 *
 * Lock order: m_mutex, then those of a group. No lock is held while a hook or a handler runs.
 */
class instance : public std::enable_shared_from_this<instance>
{
public:
    instance(asio::io_context &io, daemon_settings settings);
    ~instance();

    /** Binds all addresses and starts; the reason if that fails. */
    std::optional<std::string> start();
    /** Ends sessions when their requests end, at the latest after the shutdown limit; then calls @p done. */
    void shutdown(std::function<void()> done);

private:
    using group_map = std::map<group_id, std::shared_ptr<group_runtime>>;

    std::optional<std::string> loadTls();
    void startControlPlane();
    void startPlatform();
    std::optional<std::string> startAdmin();
    void scheduleTick();
    void startLimits();
    void tickLimits();
    void setLimitTargets(const fleet_configuration &configuration);
    void tick();
    void watchPlatform();
    void refreshInstances();

    void onMembersChanged();
    void onConfiguration(std::uint64_t version, const std::string &text);
    void apply(const fleet_configuration &configuration);
    void onFact(const database_fact &fact, time_point notBefore);
    std::vector<database_fact> localFacts() const;
    void offerFact(const group_id &group, const target_id &target, const target_status &status);
    void publishHint(const group_id &group, std::uint64_t term, const target_id &primary);
    std::shared_ptr<const service_hooks> findService(const std::string &database, pg_error &refusal) const;

    group_map groups() const;
    std::shared_ptr<group_runtime> findGroup(const group_id &id) const;
    bool isReady() const;
    instance_report report() const;
    void closeSessions(std::function<void()> done, time_point limit);
    void stopAll();

    asio::io_context &m_io;
    const daemon_settings m_settings;
    const std::shared_ptr<session_registry> m_registry;
    statement_cache m_statements;
    asio::thread_pool m_blocking{1};
    metric_registry m_metrics;
    session_environment m_sessions;
    startup_environment m_startup;
    group_environment m_groupEnvironment;
    asio::steady_timer m_timer;
    asio::steady_timer m_limitTimer;
    asio::steady_timer m_shutdownTimer;

    std::shared_ptr<control_plane> m_control;
    std::unique_ptr<platform_client> m_platform;
    std::unique_ptr<object_watcher> m_watcher;
    std::shared_ptr<caller_listener> m_listener;
    std::unique_ptr<admin_responder> m_responder;
    std::unique_ptr<admin_server> m_admin;

    mutable std::mutex m_mutex;
    group_map m_groups;
    std::map<service_id, group_id> m_services;
    std::uint64_t m_configurationVersion = 0;
    bool m_draining = false;
    time_point m_nextRefresh = never;
};

}
