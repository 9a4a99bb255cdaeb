#pragma once

#include "identifiers.h"
#include "nametable.h"
#include "serviceconfiguration.h"
#include "settingsproblem.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusdeal
{

enum class change_kind { Added, Changed, Removed };

inline constexpr auto changeKindNames = makeNameTable<change_kind>("added", "changed", "removed");

/** How one service differs between two configurations. */
struct service_change {
    service_id service;
    change_kind kind = change_kind::Changed;
    std::vector<std::string> details; ///< "KEY: OLD -> NEW", for a changed service.
};

/** The services in which @p to differs from @p from, by name. */
std::vector<service_change> difference(const fleet_configuration &from, const fleet_configuration &to);

/** What a change would make of a published configuration. */
struct planned_change {
    fleet_configuration result; ///< With the version that it was planned on.
    std::set<service_id> touched; ///< The services that the operator named, also those that stay as they are.
    std::vector<settings_problem> problems; ///< The change is refused if there are any.
};

/** Plans a change on a published configuration; called again if others have changed it meanwhile. */
using change_planner = std::function<planned_change(const fleet_configuration &published)>;

/**
 * Replaces the services named by @p files and removes @p removed; the other services stay.
 *
 * A file without the key `drained` keeps the published list, so that a publish does not revert a drain.
 */
change_planner planPublish(std::vector<service_file> files, std::vector<service_id> removed);

/** Adds @p target to the drained list of every service that uses it, or takes it off. */
change_planner planDrain(target_id target, bool drained);

/** What one instance of the platform's list says of its configuration. */
struct instance_version {
    instance_id instance;
    bool isLeaving = false;
    std::optional<std::uint64_t> version; ///< Nothing if the instance did not answer.
    std::string failure; ///< Why it did not.
};

/** The instances that do not have @p version in force; one that is leaving and does not answer is none of them. */
std::vector<instance_version> notInForce(const std::vector<instance_version> &instances, std::uint64_t version);

}
