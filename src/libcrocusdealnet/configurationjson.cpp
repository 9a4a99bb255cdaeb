#include "configurationjson.h"

#include "hostport.h"
#include "jsonreader.h"

#include <nlohmann/json.hpp>

namespace crocusdeal
{

namespace
{

constexpr integer_range connectionRange{1, 100'000};
constexpr integer_range slotRange{1, 10'000};
constexpr integer_range stalenessRange{0, 86'400'000};
/** A deadline above 10 min holds a caller's connection longer than any of its own limits would. */
constexpr integer_range queueRange{1, 600'000};
constexpr std::size_t maxTargets = 64;

using presence = object_reader::presence;

target_address readTarget(const nlohmann::json &value, const std::string &path, problem_list &problems)
{
    object_reader reader(value, path, problems);
    target_address target;
    target.id = target_id(reader.name("id", presence::Required).value_or(""));
    const auto address = reader.address("address", presence::Required).value_or(host_port{});
    target.host = address.host;
    target.port = address.port;
    target.dataCentre = data_centre_id(reader.name("data_centre", presence::Required).value_or(""));
    reader.finish();
    return target;
}

std::vector<target_address> readTargets(object_reader &service, problem_list &problems)
{
    std::vector<target_address> targets;
    const auto *values = service.array("targets", presence::Required);
    if (values == nullptr) {
        return targets;
    }
    if (values->empty() || values->size() > maxTargets) {
        problems.add(service.pathOf("targets"), "1 to " + std::to_string(maxTargets) + " targets expected");
        return targets;
    }
    for (std::size_t i = 0; i < values->size(); ++i) {
        const auto path = service.pathOf("targets") + '[' + std::to_string(i) + ']';
        if (!(*values)[i].is_object()) {
            problems.add(path, "object expected");
            continue;
        }
        targets.push_back(readTarget((*values)[i], path, problems));
    }
    return targets;
}

service_limits readLimits(object_reader &service, problem_list &problems)
{
    service_limits limits;
    if (const auto *value = service.object("limits", presence::Required)) {
        object_reader reader(*value, service.pathOf("limits"), problems);
        limits.connections =
            static_cast<int>(reader.integer("connections", presence::Required, connectionRange).value_or(0));
        limits.slots = static_cast<int>(reader.integer("slots", presence::Required, slotRange).value_or(0));
        reader.finish();
    }
    return limits;
}

write_settings readWrites(object_reader &service, problem_list &problems)
{
    write_settings writes;
    if (const auto *value = service.object("writes", presence::Optional)) {
        object_reader reader(*value, service.pathOf("writes"), problems);
        const auto confirm = reader.choice("confirm", presence::Optional, {"replica", "primary"});
        writes.confirm = static_cast<confirm_mode>(confirm.value_or(0));
        reader.finish();
    }
    return writes;
}

read_settings readReads(object_reader &service, problem_list &problems)
{
    read_settings reads;
    const auto *value = service.object("reads", presence::Optional);
    if (value == nullptr) {
        return reads;
    }
    object_reader reader(*value, service.pathOf("reads"), problems);
    reads.maxStaleness.ms = reader.integer("max_staleness_ms", presence::Optional, stalenessRange).value_or(0);
    if (const auto *tables = reader.object("stale_tables", presence::Optional)) {
        object_reader tableReader(*tables, reader.pathOf("stale_tables"), problems);
        for (const auto &item : tables->items()) {
            const auto age = tableReader.integer(item.key(), presence::Required, stalenessRange);
            reads.staleTables[item.key()] = duration{age.value_or(0)};
        }
    }
    reader.finish();
    return reads;
}

queue_settings readQueue(object_reader &service, problem_list &problems)
{
    queue_settings queue;
    if (const auto *value = service.object("queue", presence::Optional)) {
        object_reader reader(*value, service.pathOf("queue"), problems);
        const auto deadline = reader.integer("deadline_ms", presence::Optional, queueRange);
        const auto longStatement = reader.integer("long_statement_ms", presence::Optional, queueRange);
        queue.deadline.ms = deadline.value_or(queue.deadline.ms);
        queue.longStatement.ms = longStatement.value_or(queue.longStatement.ms);
        reader.finish();
    }
    return queue;
}

service_file readService(const nlohmann::json &value, const std::string &path, problem_list &problems)
{
    service_file file;
    file.fileName = problems.file;
    auto &service = file.configuration;
    object_reader reader(value, path, problems);
    service.service = service_id(reader.name("service", presence::Required).value_or(""));
    service.group = group_id(reader.name("group", presence::Required).value_or(""));
    service.targets = readTargets(reader, problems);
    service.limits = readLimits(reader, problems);
    service.writes = readWrites(reader, problems);
    service.reads = readReads(reader, problems);
    service.queue = readQueue(reader, problems);
    for (auto &id : reader.names("drained", presence::Optional)) {
        service.drained.emplace_back(std::move(id));
    }
    file.statesDrained = value.contains("drained");
    reader.finish();
    return file;
}

void append(std::vector<settings_problem> &to, const std::vector<settings_problem> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

template<typename T>
settings_result<T> resultOf(T value, problem_list &problems)
{
    if (!problems.problems.empty()) {
        return {std::nullopt, std::move(problems.problems)};
    }
    return {std::move(value), {}};
}

std::vector<service_file> readPublishedServices(const nlohmann::json &services, problem_list &problems)
{
    std::vector<service_file> files;
    for (std::size_t i = 0; i < services.size(); ++i) {
        const auto path = "services[" + std::to_string(i) + "]";
        if (!services[i].is_object()) {
            problems.add(path, "object expected");
            continue;
        }
        files.push_back(readService(services[i], path, problems));
        for (auto problem : checkService(files.back())) {
            problem.key = path + '.' + problem.key;
            problems.problems.push_back(std::move(problem));
        }
    }
    return files;
}

nlohmann::json toValue(const service_configuration &service)
{
    auto targets = nlohmann::json::array();
    for (const auto &target : service.targets) {
        targets.push_back({{"id", target.id.str()},
                           {"address", toString(host_port{target.host, target.port})},
                           {"data_centre", target.dataCentre.str()}});
    }
    auto staleTables = nlohmann::json::object();
    for (const auto &[table, age] : service.reads.staleTables) {
        staleTables[table] = age.ms;
    }
    auto drained = nlohmann::json::array();
    for (const auto &target : service.drained) {
        drained.push_back(target.str());
    }
    return {
        {"service", service.service.str()},
        {"group", service.group.str()},
        {"targets", std::move(targets)},
        {"limits", {{"connections", service.limits.connections}, {"slots", service.limits.slots}}},
        {"writes", {{"confirm", std::string(confirmModeNames.name(service.writes.confirm))}}},
        {"reads", {{"max_staleness_ms", service.reads.maxStaleness.ms}, {"stale_tables", std::move(staleTables)}}},
        {"queue", {{"deadline_ms", service.queue.deadline.ms}, {"long_statement_ms", service.queue.longStatement.ms}}},
        {"drained", std::move(drained)}};
}

}

settings_result<service_file> parseServiceFile(std::string_view text, const std::string &fileName)
{
    problem_list problems{fileName, unknown_keys::Refuse, {}};
    const auto value = parseJson(text, problems);
    if (value && !value->is_object()) {
        problems.add("", "object expected");
    }
    if (!value || !value->is_object()) {
        return {std::nullopt, std::move(problems.problems)};
    }
    auto file = readService(*value, "", problems);
    // Half-read values would only repeat the problems found already.
    if (problems.problems.empty()) {
        append(problems.problems, checkService(file));
    }
    return resultOf(std::move(file), problems);
}

settings_result<fleet_configuration> parseFleetConfiguration(std::string_view text,
                                                             std::uint64_t version,
                                                             configuration_reader reader)
{
    const bool isDaemon = reader == configuration_reader::Daemon;
    problem_list problems{"config/services", isDaemon ? unknown_keys::Ignore : unknown_keys::Refuse, {}};
    const auto value = parseJson(text, problems);
    if (value && !value->is_object()) {
        problems.add("", "object expected");
    }
    if (!value || !value->is_object()) {
        return {std::nullopt, std::move(problems.problems)};
    }
    fleet_configuration configuration;
    configuration.version = version;
    object_reader top(*value, "", problems);
    std::vector<service_file> files;
    if (const auto *services = top.array("services", presence::Required)) {
        files = readPublishedServices(*services, problems);
    }
    configuration.recentChanges = top.names("recent_changes", presence::Optional);
    top.finish();
    if (problems.problems.empty()) {
        append(problems.problems, checkServicesTogether(files));
    }
    for (auto &file : files) {
        configuration.services.emplace(file.configuration.service, std::move(file.configuration));
    }
    return resultOf(std::move(configuration), problems);
}

std::string toJson(const service_configuration &service)
{
    constexpr int indent = 2;
    return toValue(service).dump(indent);
}

std::string toJson(const fleet_configuration &configuration)
{
    auto services = nlohmann::json::array();
    for (const auto &[id, service] : configuration.services) {
        services.push_back(toValue(service));
    }
    const nlohmann::json value{{"services", std::move(services)}, {"recent_changes", configuration.recentChanges}};
    return value.dump();
}

}
