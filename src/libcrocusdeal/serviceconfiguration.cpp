#include "serviceconfiguration.h"

#include "hostport.h"

#include <algorithm>
#include <set>

namespace crocusdeal
{

namespace
{

std::string targetKey(std::size_t index, const char *key)
{
    return "targets[" + std::to_string(index) + "]." + key;
}

std::string addressOf(const target_address &target)
{
    return toString(host_port{target.host, target.port});
}

void checkTargets(const service_file &file, std::vector<settings_problem> &problems)
{
    const auto &targets = file.configuration.targets;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            if (targets[i].id == targets[j].id) {
                problems.push_back({file.fileName, targetKey(i, "id"), "same id as " + targetKey(j, "id")});
            }
            if (addressOf(targets[i]) == addressOf(targets[j])) {
                problems.push_back(
                    {file.fileName, targetKey(i, "address"), "same address as " + targetKey(j, "address")});
            }
        }
    }
}

void checkLimits(const service_file &file, std::vector<settings_problem> &problems)
{
    const auto &limits = file.configuration.limits;
    if (limits.slots > limits.connections) {
        problems.push_back({file.fileName,
                            "limits.slots",
                            "at most limits.connections (" + std::to_string(limits.connections)
                                + ") expected, since each running statement needs a connection; got "
                                + std::to_string(limits.slots)});
    }
}

void checkDrained(const service_file &file, std::vector<settings_problem> &problems)
{
    const auto &service = file.configuration;
    std::set<target_id> seen;
    for (std::size_t i = 0; i < service.drained.size(); ++i) {
        const auto &id = service.drained[i];
        const auto key = "drained[" + std::to_string(i) + "]";
        const auto isId = [&](const target_address &target) { return target.id == id; };
        if (std::none_of(service.targets.begin(), service.targets.end(), isId)) {
            problems.push_back({file.fileName, key, "id of one of the targets expected, got \"" + id.str() + "\""});
        } else if (!seen.insert(id).second) {
            problems.push_back({file.fileName, key, "listed twice"});
        }
    }
    if (!service.targets.empty() && seen.size() == service.targets.size()) {
        problems.push_back({file.fileName, "drained", "at least one target that is not drained expected"});
    }
}

/** Services of one group share its databases, so they must agree about them. */
void compareWithinGroup(const service_file &first, const service_file &second, std::vector<settings_problem> &problems)
{
    const auto sorted = [](auto targets) {
        std::sort(targets.begin(), targets.end(), [](const auto &a, const auto &b) { return a.id < b.id; });
        return targets;
    };
    const auto &a = first.configuration;
    const auto &b = second.configuration;
    const auto other = "service " + a.service.str() + " in " + first.fileName + " names for group " + a.group.str();
    if (sorted(a.targets) != sorted(b.targets)) {
        problems.push_back({second.fileName, "targets", "the same targets expected as " + other});
    }
    if (a.limits != b.limits) {
        problems.push_back({second.fileName,
                            "limits",
                            "the same limits expected as " + other + " (connections "
                                + std::to_string(a.limits.connections) + ", slots " + std::to_string(a.limits.slots)
                                + ")"});
    }
}

struct target_owner {
    const service_file *file;
    group_id group;
};

/** Finds ids and addresses that targets of two groups share. */
class target_index
{
public:
    void add(const service_file &file, std::vector<settings_problem> &problems)
    {
        const auto &service = file.configuration;
        for (std::size_t i = 0; i < service.targets.size(); ++i) {
            const auto &target = service.targets[i];
            claim(m_byId, target.id.str(), file, targetKey(i, "id"), problems);
            claim(m_byAddress, addressOf(target), file, targetKey(i, "address"), problems);
        }
    }

private:
    static void claim(std::map<std::string, target_owner> &owners,
                      const std::string &value,
                      const service_file &file,
                      const std::string &key,
                      std::vector<settings_problem> &problems)
    {
        const auto &group = file.configuration.group;
        const auto [found, added] = owners.try_emplace(value, target_owner{&file, group});
        if (!added && found->second.group != group) {
            const auto &owner = found->second;
            problems.push_back({file.fileName,
                                key,
                                "\"" + value + "\" already belongs to group " + owner.group.str() + " of service "
                                    + owner.file->configuration.service.str() + " in " + owner.file->fileName});
        }
    }

    std::map<std::string, target_owner> m_byId;
    std::map<std::string, target_owner> m_byAddress;
};

}

const service_configuration *fleet_configuration::find(const service_id &service) const
{
    const auto found = services.find(service);
    return found == services.end() ? nullptr : &found->second;
}

std::vector<group_configuration> fleet_configuration::groups() const
{
    std::map<group_id, group_configuration> byId;
    for (const auto &[id, service] : services) {
        auto &group = byId[service.group];
        if (group.services.empty()) {
            group.group = service.group;
            group.targets = service.targets;
        }
        group.services.push_back(id);
    }
    std::vector<group_configuration> groups;
    groups.reserve(byId.size());
    for (auto &[id, group] : byId) {
        groups.push_back(std::move(group));
    }
    return groups;
}

std::vector<settings_problem> checkService(const service_file &file)
{
    std::vector<settings_problem> problems;
    checkTargets(file, problems);
    checkLimits(file, problems);
    checkDrained(file, problems);
    return problems;
}

std::vector<settings_problem> checkServicesTogether(const std::vector<service_file> &files)
{
    std::vector<settings_problem> problems;
    std::map<service_id, const service_file *> byService;
    std::map<group_id, const service_file *> byGroup;
    target_index targets;
    for (const auto &file : files) {
        const auto &service = file.configuration;
        const auto [sameService, newService] = byService.try_emplace(service.service, &file);
        if (!newService) {
            problems.push_back(
                {file.fileName,
                 "service",
                 "\"" + service.service.str() + "\" is already defined in " + sameService->second->fileName});
            continue;
        }
        const auto [sameGroup, newGroup] = byGroup.try_emplace(service.group, &file);
        if (!newGroup) {
            compareWithinGroup(*sameGroup->second, file, problems);
        }
        targets.add(file, problems);
    }
    return problems;
}

}
