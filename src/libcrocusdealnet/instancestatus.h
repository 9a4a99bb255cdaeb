#pragma once

#include "controlplane.h"
#include "groupruntime.h"
#include "metrics.h"

#include <cstdint>
#include <map>
#include <string>

namespace crocusdeal
{

/** What an instance reports of itself. */
struct instance_report {
    instance_id instance;
    data_centre_id dataCentre;
    std::uint64_t configurationVersion = 0;
    bool ready = false;
    bool draining = false;
    std::size_t sessions = 0;
    control_plane::members_snapshot members;
    control_health control;
    std::map<group_id, group_report> groups;
};

/** The JSON text of GET /status. */
std::string toJson(const instance_report &report, time_point now);

/** Sets the gauges that are read from the state rather than counted. */
void updateGauges(metric_registry &metrics, const instance_report &report, time_point now);

/** How far @p target is behind the furthest position known of its group, in log entries of the same term. */
std::uint64_t lagEntries(const group_view &view, const target_view &target);

}
