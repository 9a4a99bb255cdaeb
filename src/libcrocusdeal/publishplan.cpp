#include "publishplan.h"

#include "hostport.h"

#include <algorithm>
#include <map>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr const char *publishedName = "config/services";

using flat_settings = std::map<std::string, std::string>;

/** All settings of a service as texts by key path; targets go by id, since their order means nothing. */
flat_settings flatten(const service_configuration &service)
{
    flat_settings flat{{"group", service.group.str()},
                       {"limits.connections", std::to_string(service.limits.connections)},
                       {"limits.slots", std::to_string(service.limits.slots)},
                       {"writes.confirm", std::string(confirmModeNames.name(service.writes.confirm))},
                       {"reads.max_staleness_ms", std::to_string(service.reads.maxStaleness.ms)},
                       {"queue.deadline_ms", std::to_string(service.queue.deadline.ms)},
                       {"queue.long_statement_ms", std::to_string(service.queue.longStatement.ms)}};
    for (const auto &target : service.targets) {
        const auto key = "targets[" + target.id.str() + "]";
        flat[key] = toString(host_port{target.host, target.port}) + " in " + target.dataCentre.str();
    }
    for (const auto &[table, age] : service.reads.staleTables) {
        flat["reads.stale_tables." + table] = std::to_string(age.ms);
    }
    for (const auto &target : service.drained) {
        flat["drained[" + target.str() + "]"] = "yes";
    }
    return flat;
}

std::vector<std::string> detailsOf(const service_configuration &from, const service_configuration &to)
{
    const auto before = flatten(from);
    const auto after = flatten(to);
    auto keys = before;
    keys.insert(after.begin(), after.end());
    const auto valueIn = [](const flat_settings &settings, const std::string &key) {
        const auto found = settings.find(key);
        return found == settings.end() ? std::string("none") : found->second;
    };
    std::vector<std::string> details;
    for (const auto &[key, value] : keys) {
        const auto old = valueIn(before, key);
        const auto now = valueIn(after, key);
        if (old != now) {
            details.push_back(std::string(key).append(": ").append(old).append(" -> ").append(now));
        }
    }
    return details;
}

/** Takes over the published list of drained targets, as far as the targets are still there. */
void keepDrained(const service_configuration *published, service_configuration &service)
{
    service.drained.clear();
    if (published == nullptr) {
        return;
    }
    for (const auto &id : published->drained) {
        const auto isId = [&id](const target_address &target) { return target.id == id; };
        if (std::any_of(service.targets.begin(), service.targets.end(), isId)) {
            service.drained.push_back(id);
        }
    }
}

void append(std::vector<settings_problem> &to, const std::vector<settings_problem> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

/** Checks the merged services; those of the operator come last, so that the problems name the operator's files. */
std::vector<settings_problem> checkMerged(const fleet_configuration &merged, const std::vector<service_file> &files)
{
    std::set<service_id> own;
    for (const auto &file : files) {
        own.insert(file.configuration.service);
    }
    std::vector<service_file> all;
    for (const auto &[id, service] : merged.services) {
        if (own.count(id) == 0) {
            all.push_back({publishedName, service, true});
        }
    }
    std::vector<settings_problem> problems;
    for (const auto &file : files) {
        all.push_back({file.fileName, *merged.find(file.configuration.service), true});
        append(problems, checkService(all.back()));
    }
    append(problems, checkServicesTogether(all));
    return problems;
}

planned_change publishOnto(const fleet_configuration &published,
                           const std::vector<service_file> &files,
                           const std::vector<service_id> &removed)
{
    planned_change plan{published, {}, checkServicesTogether(files)};
    if (!plan.problems.empty()) {
        return plan;
    }
    auto &services = plan.result.services;
    for (const auto &file : files) {
        auto service = file.configuration;
        if (!file.statesDrained) {
            keepDrained(published.find(service.service), service);
        }
        plan.touched.insert(service.service);
        services[service.service] = std::move(service);
    }
    for (const auto &id : removed) {
        if (plan.touched.count(id) > 0) {
            plan.problems.push_back({publishedName, id.str(), "named both by a file and by --remove"});
        } else if (services.erase(id) == 0) {
            plan.problems.push_back({publishedName, id.str(), "no such service to remove"});
        }
    }
    if (plan.problems.empty()) {
        plan.problems = checkMerged(plan.result, files);
    }
    plan.touched.insert(removed.begin(), removed.end());
    return plan;
}

planned_change drainOnto(const fleet_configuration &published, const target_id &target, bool drained)
{
    planned_change plan{published, {}, {}};
    for (auto &[id, service] : plan.result.services) {
        const auto isTarget = [&target](const target_address &address) { return address.id == target; };
        if (std::none_of(service.targets.begin(), service.targets.end(), isTarget)) {
            continue;
        }
        plan.touched.insert(id);
        auto &list = service.drained;
        list.erase(std::remove(list.begin(), list.end(), target), list.end());
        if (drained) {
            list.push_back(target);
        }
        append(plan.problems, checkService({publishedName, service, true}));
    }
    if (plan.touched.empty()) {
        plan.problems.push_back({publishedName, target.str(), "no service has such a target"});
    }
    return plan;
}

}

std::vector<service_change> difference(const fleet_configuration &from, const fleet_configuration &to)
{
    std::vector<service_change> changes;
    auto all = from.services;
    all.insert(to.services.begin(), to.services.end());
    for (const auto &[id, service] : all) {
        const auto *before = from.find(id);
        const auto *after = to.find(id);
        if (before == nullptr) {
            changes.push_back({id, change_kind::Added, {}});
        } else if (after == nullptr) {
            changes.push_back({id, change_kind::Removed, {}});
        } else if (auto details = detailsOf(*before, *after); !details.empty()) {
            changes.push_back({id, change_kind::Changed, std::move(details)});
        }
    }
    return changes;
}

change_planner planPublish(std::vector<service_file> files, std::vector<service_id> removed)
{
    return [files = std::move(files), removed = std::move(removed)](const fleet_configuration &published) {
        return publishOnto(published, files, removed);
    };
}

change_planner planDrain(target_id target, bool drained)
{
    return [target = std::move(target), drained](const fleet_configuration &published) {
        return drainOnto(published, target, drained);
    };
}

std::vector<instance_version> notInForce(const std::vector<instance_version> &instances, std::uint64_t version)
{
    std::vector<instance_version> behind;
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(behind), [version](const auto &instance) {
        return instance.version ? *instance.version < version : !instance.isLeaving;
    });
    return behind;
}

}
