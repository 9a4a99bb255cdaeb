#include "commandline.h"
#include "instancequery.h"
#include "operatorplatform.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <limits>
#include <map>

namespace crocusdeal
{

namespace
{

constexpr duration statusLimit{1000};

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

nlohmann::json toValue(const instance_status &status)
{
    return {{"instance", status.entry.id.str()},
            {"data_centre", status.entry.dataCentre.str()},
            {"state", std::string(instanceStateNames.name(status.entry.state))},
            {"failure", status.version.failure},
            {"status", status.text.empty() ? nlohmann::json() : nlohmann::json::parse(status.text)}};
}

void printJson(std::uint64_t published, const std::vector<instance_status> &statuses)
{
    auto instances = nlohmann::json::array();
    for (const auto &status : statuses) {
        instances.push_back(toValue(status));
    }
    std::cout << nlohmann::json{{"published_version", published}, {"instances", std::move(instances)}}.dump() << '\n';
}

/** One target as all instances that answered see it together. */
struct target_summary {
    nlohmann::json newest; ///< From the instance that heard from it last.
    std::int64_t heardMsAgo = std::numeric_limits<std::int64_t>::max();
    std::int64_t connections = 0;
    std::int64_t running = 0;
    std::int64_t queued = 0;
};

struct group_summary {
    std::uint64_t term = 0;
    std::string primary;
    std::map<std::string, target_summary> targets;
};

void addTarget(target_summary &summary, const nlohmann::json &target)
{
    const auto heard = target.value("heard_ms_ago", nlohmann::json());
    const auto age = heard.is_number() ? heard.get<std::int64_t>() : std::numeric_limits<std::int64_t>::max();
    if (summary.newest.is_null() || age < summary.heardMsAgo) {
        summary.newest = target;
        summary.heardMsAgo = age;
    }
    summary.connections += target.value("connections", nlohmann::json::object()).value("open", std::int64_t{0});
    summary.running += target.value("running", std::int64_t{0});
    summary.queued += target.value("queued", std::int64_t{0});
}

std::map<std::string, group_summary> summarize(const std::vector<instance_status> &statuses)
{
    std::map<std::string, group_summary> groups;
    for (const auto &status : statuses) {
        const auto value = nlohmann::json::parse(status.text, nullptr, false);
        if (!value.is_object() || !value.contains("groups")) {
            continue;
        }
        for (const auto &group : value["groups"]) {
            auto &summary = groups[group.value("group", std::string())];
            const auto term = group.value("term", std::uint64_t{0});
            if (term >= summary.term) {
                summary.term = term;
                summary.primary = group["primary"].is_string() ? group["primary"].get<std::string>() : "none";
            }
            for (const auto &target : group["targets"]) {
                addTarget(summary.targets[target.value("target", std::string())], target);
            }
        }
    }
    return groups;
}

void printGroups(const std::vector<instance_status> &statuses)
{
    constexpr std::size_t idWidth = 24;
    constexpr std::size_t columnWidth = 10;
    for (const auto &[id, group] : summarize(statuses)) {
        std::cout << "\ngroup " << id << ", term " << group.term << ", primary " << group.primary << '\n'
                  << padded("target", idWidth);
        for (const char *title : {"role", "position", "lag", "open", "running"}) {
            std::cout << padded(title, columnWidth);
        }
        std::cout << "queued\n";
        for (const auto &[target, summary] : group.targets) {
            const auto role = summary.newest.value("role", std::string("unknown"));
            const bool leaving = summary.newest.value("leaving", false);
            std::cout << padded(target + (leaving ? " (drained)" : ""), idWidth) << padded(role, columnWidth)
                      << padded(summary.newest.value("position", std::string("-")), columnWidth)
                      << padded(std::to_string(summary.newest.value("lag_entries", std::uint64_t{0})), columnWidth)
                      << padded(std::to_string(summary.connections), columnWidth)
                      << padded(std::to_string(summary.running), columnWidth) << summary.queued << '\n';
        }
    }
}

void printTable(std::uint64_t published, const std::vector<instance_status> &statuses)
{
    constexpr std::size_t idWidth = 24;
    constexpr std::size_t columnWidth = 16;
    std::cout << "published version: " << published << '\n'
              << padded("instance", idWidth) << padded("data centre", columnWidth) << padded("state", columnWidth)
              << "version\n";
    for (const auto &status : statuses) {
        const auto state = std::string(instanceStateNames.name(status.entry.state));
        const auto version = status.version.version ? std::to_string(*status.version.version) : status.version.failure;
        std::cout << padded(status.entry.id.str(), idWidth) << padded(status.entry.dataCentre.str(), columnWidth)
                  << padded(state, columnWidth) << version << '\n';
    }
    printGroups(statuses);
}

/** Asks one instance alone, for when the platform does not answer. */
exit_code showOne(const host_port &address)
{
    const auto response = adminGet(address, "/status", {}, statusLimit);
    if (response.status != 200) {
        printError(toString(address) + ": "
                   + (response.status == 0 ? response.failure : "status " + std::to_string(response.status)));
        return exit_code::Unavailable;
    }
    std::cout << response.body << '\n';
    return exit_code::Done;
}

exit_code showAll(const command_line &line)
{
    operator_platform platform(line.platform());
    const auto limit = line.milliseconds("timeout-ms");
    const auto instances = platform.instances(limit);
    const auto published = platform.readConfiguration(limit);
    if (!instances.value || (!published.configuration && published.problems.empty())) {
        const auto &failure = instances.value ? published.failure : instances.failure;
        printError("the platform does not answer: " + toString(failure) + "; --admin asks one instance alone");
        return exit_code::Unavailable;
    }
    const auto statuses = queryStatus(*instances.value, statusLimit);
    const auto version = published.configuration ? published.configuration->version : 0;
    line.flag("json") ? printJson(version, statuses) : printTable(version, statuses);
    std::vector<instance_version> versions;
    versions.reserve(statuses.size());
    for (const auto &status : statuses) {
        versions.push_back(status.version);
    }
    return published.configuration && notInForce(versions, version).empty() ? exit_code::Done : exit_code::Refused;
}

}

exit_code runStatus(const argument_list &arguments)
{
    command_line line("status [OPTIONS]",
                      "Shows all instances of the platform's list with the configuration version that each has in\n"
                      "force. The exit code is 1 if one does not answer or is behind the published version.");
    line.addPlatform();
    line.addText("admin", "HOST:PORT of one instance's admin interface to ask instead of all");
    line.addFlag("json", "print the status of each instance as JSON");
    if (const auto code = line.parse(arguments, 0, 0)) {
        return *code;
    }
    return withUsage([&] {
        const auto admin = line.address("admin");
        return admin ? showOne(*admin) : showAll(line);
    });
}

}
