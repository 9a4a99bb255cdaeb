#pragma once

#include "clock.h"
#include "confirmmode.h"
#include "grouptypes.h"
#include "identifiers.h"
#include "settingsproblem.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocusdeal
{

/** What one database of the group stands, over all instances. */
struct service_limits {
    int connections = 0;
    int slots = 0; ///< Statements run concurrently.

    friend bool operator==(const service_limits &, const service_limits &) = default;
};

struct write_settings {
    confirm_mode confirm = confirm_mode::Replica;

    friend bool operator==(const write_settings &, const write_settings &) = default;
};

struct read_settings {
    duration maxStaleness; ///< 0: reads must be current.
    std::map<std::string, duration> staleTables; ///< Permitted age of reads of single tables.

    friend bool operator==(const read_settings &, const read_settings &) = default;
};

struct queue_settings {
    duration deadline{2000};
    duration longStatement{200};

    friend bool operator==(const queue_settings &, const queue_settings &) = default;
};

/** The settings of one service (4.4). */
struct service_configuration {
    service_id service;
    group_id group;
    std::vector<target_address> targets;
    service_limits limits;
    write_settings writes;
    read_settings reads;
    queue_settings queue;
    std::vector<target_id> drained; ///< Targets that get no new work.

    friend bool operator==(const service_configuration &, const service_configuration &) = default;
};

/** A service file as read. */
struct service_file {
    std::string fileName;
    service_configuration configuration;
    bool statesDrained = false; ///< Without the key `drained`, a publish keeps the list in force.
};

/** A database group as the services name it. */
struct group_configuration {
    group_id group;
    std::vector<target_address> targets;
    std::vector<service_id> services;
};

/** The published configuration of all services. */
struct fleet_configuration {
    std::uint64_t version = 0; ///< Version of the platform object; 0 if none was published.
    std::map<service_id, service_configuration> services;
    /** Ids of the last changes, the newest last; they tell a publisher whose answer was lost if it succeeded. */
    std::vector<std::string> recentChanges;

    /** Null if there is no such service. */
    const service_configuration *find(const service_id &service) const;
    /** All groups with the services that use them, by id. */
    std::vector<group_configuration> groups() const;

    friend bool operator==(const fleet_configuration &, const fleet_configuration &) = default;
};

/** Duplicates and contradictions within one service. */
std::vector<settings_problem> checkService(const service_file &file);

/** Contradictions between services; the problems name the later of the two files. */
std::vector<settings_problem> checkServicesTogether(const std::vector<service_file> &files);

}
