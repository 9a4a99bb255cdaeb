#pragma once

#include "clock.h"
#include "configurationspread.h"
#include "factstore.h"
#include "memberinfo.h"
#include "targetownership.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace asio
{
class io_context;
}

namespace crocusdeal
{

enum class control_log_level {
    Debug,
    Info,
    Warning,
    Error,
};

struct control_plane_settings {
    member_description self;
    /** Bound for UDP and TCP. If empty, the control address of self is bound; its port 0 takes a free one. */
    std::string listenAddress;
    std::vector<std::string> seeds; ///< Control addresses of peers.
    std::uint64_t randomSeed = 0;
};

/** Called on the control plane's strand, never under a lock. */
struct control_plane_hooks {
    std::function<time_point()> now;
    std::function<void(control_log_level, const std::string &line)> log;
    /** The members whose state or description changed; members() has all. */
    std::function<void(const std::vector<member_info> &)> onMembersChanged;
    std::function<void(std::uint64_t version, std::shared_ptr<const std::string> text)> onConfiguration;
    /** Own observations of databases with their ages; asked four times a second. */
    std::function<std::vector<database_fact>()> localFacts;
    /** A peer's fact that is news; @p notBefore is `never` if its age is unknown. */
    std::function<void(const database_fact &, time_point notBefore)> onFact;
    /** A request of a peer; @p reply may be called from any thread, once. */
    std::function<void(const instance_id &from, std::string bytes, std::function<void(std::string)> reply)> onRequest;
    /** No peer answers for a newer configuration: the platform's object should be read. */
    std::function<void()> onPlatformNeeded;
};

/** Control traffic since the start; bytes are payload bytes without IP, UDP and TCP headers. */
struct control_health {
    struct traffic {
        std::string_view kind;
        std::uint64_t sent = 0;
        std::uint64_t sentBytes = 0;
        std::uint64_t received = 0;
        std::uint64_t receivedBytes = 0;
    };
    std::vector<traffic> datagrams;
    std::vector<traffic> frames;
    std::uint64_t malformed = 0;
    std::uint64_t sendErrors = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t timeouts = 0;
    int healthScore = 0;
    std::size_t liveMembers = 0;
    configuration_counters configuration;
};

/**
 * Membership, configuration and facts between instances over UDP and TCP, on an own strand of the context.
 *
 * All functions may be called from any thread. The context must outlive the object, whose sockets belong to it.
 */
class control_plane
{
public:
    using members_snapshot = std::shared_ptr<const std::vector<member_info>>;

    static std::shared_ptr<control_plane> create(asio::io_context &context,
                                                 control_plane_settings settings,
                                                 control_plane_hooks hooks);

    control_plane(const control_plane &) = delete;
    control_plane &operator=(const control_plane &) = delete;
    ~control_plane();

    /** Binds the control address and starts; the error text if it cannot be bound. Call once, before the others. */
    std::optional<std::string> start();
    /** Closes all sockets; no hook runs after the strand has processed it. */
    void stop();
    /** Announces that this instance is shutting down; it stays reachable until stop(). */
    void leave();

    /** All members including this instance, at most a second old. */
    members_snapshot members() const;
    /** The bound control address. */
    std::string controlAddress() const;

    void setPlatformInstances(std::vector<listed_instance> instances);
    /** The configured groups, and those whose routine facts are wanted besides the own candidacies. */
    void setGroups(std::vector<group_targets> groups, std::vector<group_id> wanted);
    /** Takes a value read from the platform; ignored unless it is newer. */
    void offerConfiguration(std::uint64_t version, std::string text);
    /** Takes an own observation at once, so that a change of primary spreads without waiting for localFacts. */
    void offerFact(database_fact fact);
    /** Asks the probers of @p group for their facts at once, for example when its primary is suspected. */
    void queryGroup(group_id group);

    /** Whether this instance holds the platform watch of its data centre. */
    bool shouldWatchPlatform() const;
    std::uint64_t configurationVersion() const;
    /** Whether a configuration as new as that of every peer reached is in force. */
    bool isReady() const;
    /** Instances that probe @p target, in order; empty for an unknown one. */
    std::vector<instance_id> probers(const group_id &group, const target_id &target) const;
    bool isProber(const group_id &group, const target_id &target) const;
    /** Rank among the candidates for a promotion of @p group; -1 beyond the ranks kept. */
    int candidateRank(const group_id &group) const;

    /** Sends @p bytes to @p instance over TCP; @p done gets nothing on failure or after @p timeout, on the strand. */
    void request(instance_id instance,
                 std::string bytes,
                 duration timeout,
                 std::function<void(std::optional<std::string>)> done);

    /** Counters as of the last second. */
    control_health health() const;

private:
    class implementation;

    explicit control_plane(std::shared_ptr<implementation> core);

    std::shared_ptr<implementation> m_implementation;
};

}
