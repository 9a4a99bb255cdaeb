#include "adminaddresses.h"

#include "operatorplatform.h"
#include "rendezvous.h"

#include <map>

namespace crocusdeal
{

void addInstanceOptions(command_line &line)
{
    line.addPlatform();
    line.addText("admin", "HOST:PORT of an instance's admin interface; the platform is not needed then");
    line.addText("instance", "id of the instance to ask");
}

std::vector<host_port> adminAddresses(const command_line &line, const std::string &key)
{
    if (const auto admin = line.address("admin")) {
        return {*admin};
    }
    operator_platform platform(line.platform());
    const auto instances = platform.instances(line.milliseconds("timeout-ms"));
    if (!instances.value) {
        printError("the platform does not answer: " + toString(instances.failure) + "; --admin names an instance");
        return {};
    }
    const auto wanted = line.text("instance");
    std::map<instance_id, host_port> byId;
    std::vector<instance_id> ids;
    for (const auto &entry : *instances.value) {
        const bool isWanted = wanted ? entry.id.str() == *wanted : entry.state == instance_state::Live;
        if (isWanted && entry.adminAddress) {
            byId.emplace(entry.id, *entry.adminAddress);
            ids.push_back(entry.id);
        }
    }
    std::vector<host_port> addresses;
    for (const auto &id : rendezvousOrder(key, ids)) {
        addresses.push_back(byId.at(id));
    }
    if (addresses.empty()) {
        printError("the platform lists no such instance with an admin address");
    }
    return addresses;
}

}
