#pragma once

#include "hostport.h"
#include "identifiers.h"
#include "workspaceid.h"

#include <cstdint>
#include <vector>

namespace crocusdeal
{

/** An instance of the fleet, as it has announced itself. */
struct fleet_member {
    instance_id id;
    data_centre_id dataCentre;
    host_port relayAddress; ///< Where other instances hand it statements.
    std::uint64_t incarnation = 0; ///< Differs with each start.

    friend bool operator==(const fleet_member &, const fleet_member &) = default;
};

/**
 * How many instances of each data centre hold connections to the targets of a service; the others relay to them.
 *
 * Answers the load of a fleet that has more instances than a target accepts connections: the connections, status
 * requests and promotions of a target do not grow with the fleet. @p instances and @p dataCentres are those of the
 * whole fleet, @p maxConnections is the limit of one target. The result is @p instances if all of them may serve.
 */
int servingInstances(int maxConnections, int instances, int dataCentres);

/**
 * As servingInstances(), where a connection serves one workspace.
 *
 * Answers the load of more workspaces than a target has connections: fewer instances serve, so that each has a
 * connection for many workspaces, and each workspace's statements meet at one of them.
 */
int servingInstancesByWorkspace(int maxConnections, int instances, int dataCentres);

/**
 * The instances of one data centre in the order in which @p relay hands them statements of @p service.
 *
 * The first @p serving of them by rendezvous hashing serve; each relay begins with another of these, and goes on with
 * those that serve in their place.
 */
std::vector<instance_id> relayOrder(const service_id &service,
                                    const std::vector<instance_id> &members,
                                    int serving,
                                    const instance_id &relay);

/** As relayOrder(), with the same order at all relays: by the workspace among those that serve. */
std::vector<instance_id> relayOrderOfWorkspace(const service_id &service,
                                               const workspace_id &workspace,
                                               const std::vector<instance_id> &members,
                                               int serving);

/** Whether @p instance is one of the first @p serving for @p service. */
bool isServing(const service_id &service,
               const std::vector<instance_id> &members,
               int serving,
               const instance_id &instance);

}
