#include "servingplan.h"

#include "rendezvous.h"

#include <algorithm>

namespace crocusdeal
{

namespace
{

// With fewer each, an instance opens and closes connections all the time.
constexpr int leastConnectionsEach = 2;
// A serving instance takes the work of several others, also at a crest and in the place of one that has failed.
constexpr int connectionsOfServing = 8;

int servingWith(int leastEach, int maxConnections, int instances, int dataCentres)
{
    if (instances * leastEach <= maxConnections) {
        return instances;
    }
    return std::max(1, maxConnections / (connectionsOfServing * std::max(1, dataCentres)));
}

}

int servingInstances(int maxConnections, int instances, int dataCentres)
{
    return servingWith(leastConnectionsEach, maxConnections, instances, dataCentres);
}

int servingInstancesByWorkspace(int maxConnections, int instances, int dataCentres)
{
    return servingWith(connectionsOfServing, maxConnections, instances, dataCentres);
}

std::vector<instance_id> relayOrderOfWorkspace(const service_id &service,
                                               const workspace_id &workspace,
                                               const std::vector<instance_id> &members,
                                               int serving)
{
    auto order = rendezvousOrder(service.str(), members);
    const auto count = std::min(order.size(), static_cast<std::size_t>(serving));
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    const auto first = rendezvousOrder(service.str() + '/' + workspace.str(), {order.begin(), end});
    std::copy(first.begin(), first.end(), order.begin());
    return order;
}

std::vector<instance_id> relayOrder(const service_id &service,
                                    const std::vector<instance_id> &members,
                                    int serving,
                                    const instance_id &relay)
{
    auto order = rendezvousOrder(service.str(), members);
    const auto count = std::min(order.size(), static_cast<std::size_t>(serving));
    if (count == 0) {
        return order;
    }
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    const auto own = std::find(order.begin(), end, relay);
    const auto spread = static_cast<std::ptrdiff_t>(rendezvousWeight(service.str(), relay) % count);
    std::rotate(order.begin(), own != end ? own : order.begin() + spread, end);
    return order;
}

bool isServing(const service_id &service,
               const std::vector<instance_id> &members,
               int serving,
               const instance_id &instance)
{
    const auto order = rendezvousOrder(service.str(), members);
    const auto count = std::min(order.size(), static_cast<std::size_t>(serving));
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    return std::find(order.begin(), end, instance) != end;
}

}
