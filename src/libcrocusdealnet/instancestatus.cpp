#include "instancestatus.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocusdeal
{

namespace
{

using json = nlohmann::json;

json ageOf(time_point at, time_point now)
{
    return at == never ? json() : json((now - at).ms);
}

json toValue(const group_view &view, const target_report &report, time_point now)
{
    const auto &target = report.view;
    json value{{"target", target.address.id.str()},
               {"data_centre", target.address.dataCentre.str()},
               {"leaving", target.leaving},
               {"heard_ms_ago", ageOf(target.heardAt, now)},
               {"running", report.running},
               {"queued", report.waiting},
               {"limit", report.limit},
               {"long_places", report.longPlaces},
               {"connections",
                {{"open", report.connections.open},
                 {"idle", report.connections.idle},
                 {"waiting", report.connections.waiting},
                 {"share", report.share}}}};
    if (target.status) {
        value["role"] = std::string(targetRoleNames.name(target.status->role));
        value["term"] = target.status->term;
        value["position"] = toString(target.status->at);
        value["lag_entries"] = lagEntries(view, target);
        value["data_age_ms"] = ageOf(target.includesUntil, now);
        value["fleet_connections"] = target.status->connections;
    }
    return value;
}

json toValue(const group_id &id, const group_report &report, time_point now)
{
    json value{{"group", id.str()},
               {"term", report.view->highestTerm},
               {"primary", report.view->primary ? json(report.view->primary->str()) : json()},
               {"suspected", report.view->primarySuspected}};
    value["targets"] = json::array();
    for (const auto &target : report.targets) {
        value["targets"].push_back(toValue(*report.view, target, now));
    }
    value["services"] = json::array();
    for (const auto &[service, counts] : report.services) {
        value["services"].push_back({{"service", service.str()},
                                     {"reads_allowed_on_replicas", counts.readsAllowedOnReplicas},
                                     {"reads_on_replicas", counts.readsOnReplicas},
                                     {"refused", counts.refused},
                                     {"held", counts.waiting}});
    }
    return value;
}

void updateTarget(metric_registry &metrics, const group_id &group, const group_view &view, const target_report &report)
{
    const metric_labels labels{{"group", group.str()}, {"target", report.view.address.id.str()}};
    const auto set = [&](const char *name, const char *help, std::int64_t value) {
        metrics.gauge(name, help, labels).set(value);
    };
    set("crocusdeal_target_connections", "Open connections to the target", report.connections.open);
    set("crocusdeal_target_connection_share", "Connections this instance may open", report.share);
    set("crocusdeal_target_queue", "Requests waiting for a place", static_cast<std::int64_t>(report.waiting));
    set("crocusdeal_target_running", "Statements running", static_cast<std::int64_t>(report.running));
    set("crocusdeal_target_limit", "Statements that may run at once", report.limit);
    set("crocusdeal_target_lag_entries",
        "Log entries behind the furthest position known",
        static_cast<std::int64_t>(lagEntries(view, report.view)));
}

}

std::uint64_t lagEntries(const group_view &view, const target_view &target)
{
    if (!target.status) {
        return 0;
    }
    position furthest;
    for (const auto &other : view.targets) {
        if (other.status) {
            furthest = std::max(furthest, other.status->at);
        }
    }
    const auto at = target.status->at;
    return furthest.offset > at.offset ? furthest.offset - at.offset : 0;
}

std::string toJson(const instance_report &report, time_point now)
{
    json value{{"instance", report.instance.str()},
               {"data_centre", report.dataCentre.str()},
               {"configuration_version", report.configurationVersion},
               {"ready", report.ready},
               {"draining", report.draining},
               {"sessions", report.sessions}};
    value["members"] = json::array();
    for (const auto &member : *report.members) {
        value["members"].push_back({{"instance", member.id().str()},
                                    {"data_centre", member.dataCentre().str()},
                                    {"state", std::string(memberStateNames.name(member.state))},
                                    {"configuration_version", member.configurationVersion}});
    }
    value["groups"] = json::array();
    for (const auto &[id, group] : report.groups) {
        value["groups"].push_back(toValue(id, group, now));
    }
    return value.dump();
}

void updateGauges(metric_registry &metrics, const instance_report &report, time_point)
{
    const auto set = [&](const char *name, const char *help, std::int64_t value) {
        metrics.gauge(name, help).set(value);
    };
    set("crocusdeal_sessions", "Open caller sessions", static_cast<std::int64_t>(report.sessions));
    set("crocusdeal_configuration_version",
        "Version of the configuration in force",
        static_cast<std::int64_t>(report.configurationVersion));
    set("crocusdeal_live_members", "Instances known to be live", static_cast<std::int64_t>(report.control.liveMembers));
    for (const auto &traffic : report.control.datagrams) {
        const metric_labels labels{{"kind", std::string(traffic.kind)}};
        metrics.gauge("crocusdeal_control_sent_bytes", "Control datagram bytes sent", labels)
            .set(static_cast<std::int64_t>(traffic.sentBytes));
        metrics.gauge("crocusdeal_control_received_bytes", "Control datagram bytes received", labels)
            .set(static_cast<std::int64_t>(traffic.receivedBytes));
    }
    for (const auto &[id, group] : report.groups) {
        metrics.gauge("crocusdeal_group_term", "Highest term known", {{"group", id.str()}})
            .set(static_cast<std::int64_t>(group.view->highestTerm));
        metrics.gauge("crocusdeal_group_has_primary", "1 if a primary is known", {{"group", id.str()}})
            .set(group.view->primary ? 1 : 0);
        for (const auto &target : group.targets) {
            updateTarget(metrics, id, *group.view, target);
        }
        for (const auto &[service, counts] : group.services) {
            const metric_labels labels{{"service", service.str()}};
            metrics.gauge("crocusdeal_reads_allowed_on_replicas", "Reads that replicas may serve", labels)
                .set(static_cast<std::int64_t>(counts.readsAllowedOnReplicas));
            metrics.gauge("crocusdeal_reads_on_replicas", "Reads that replicas served", labels)
                .set(static_cast<std::int64_t>(counts.readsOnReplicas));
            metrics.gauge("crocusdeal_reads_preempted", "Reads cancelled at their target to run again", labels)
                .set(static_cast<std::int64_t>(counts.preempted));
            metrics.gauge("crocusdeal_requests_refused", "Requests refused as not run", labels)
                .set(static_cast<std::int64_t>(counts.refused));
        }
    }
}

}
