#include "daemonsettings.h"

#include "jsonreader.h"

#include <nlohmann/json.hpp>

#include <array>
#include <set>

namespace crocusdeal
{

namespace
{

constexpr integer_range workerRange{0, 256};

using presence = object_reader::presence;

bool isWildcard(const host_port &address)
{
    return address.host == "0.0.0.0" || address.host == "::";
}

/** The address that others use; one that only stands for "all interfaces" is of no use to them. */
host_port readAdvertised(object_reader *reader,
                         const std::string &key,
                         const host_port &listening,
                         problem_list &problems)
{
    const auto stated = reader == nullptr ? std::nullopt : reader->address(key, presence::Optional);
    auto address = stated.value_or(listening);
    if (isWildcard(address)) {
        problems.add("advertised." + key, "address that other machines can reach expected, got " + toString(address));
    }
    return address;
}

void readAdvertised(object_reader &top, daemon_settings &settings, problem_list &problems)
{
    std::optional<object_reader> reader;
    if (const auto *value = top.object("advertised", presence::Optional)) {
        reader.emplace(*value, "advertised", problems);
    }
    auto *given = reader ? &*reader : nullptr;
    settings.advertised.caller = readAdvertised(given, "caller_address", settings.callerAddress, problems);
    settings.advertised.control = readAdvertised(given, "control_address", settings.controlAddress, problems);
    settings.advertised.admin = readAdvertised(given, "admin_address", settings.adminAddress, problems);
    if (reader) {
        reader->finish();
    }
}

std::vector<host_port> readPeers(object_reader &top, problem_list &problems)
{
    std::vector<host_port> peers;
    std::set<host_port> seen;
    const auto *values = top.array("peers", presence::Optional);
    for (std::size_t i = 0; values != nullptr && i < values->size(); ++i) {
        const auto path = "peers[" + std::to_string(i) + "]";
        const auto &value = (*values)[i];
        const auto peer = value.is_string() ? parseHostPort(value.get<std::string>()) : std::nullopt;
        if (!peer) {
            problems.add(path, "address of the form \"host:port\" expected, got " + value.dump());
        } else if (!seen.insert(*peer).second) {
            problems.add(path, "address \"" + toString(*peer) + "\" is listed twice");
        } else {
            peers.push_back(*peer);
        }
    }
    return peers;
}

std::optional<tls_settings> readTls(object_reader &top, problem_list &problems)
{
    const auto *value = top.object("tls", presence::Optional);
    if (value == nullptr) {
        return std::nullopt;
    }
    object_reader reader(*value, "tls", problems);
    tls_settings tls;
    tls.certificate = reader.string("certificate", presence::Required).value_or("");
    tls.key = reader.string("key", presence::Required).value_or("");
    reader.finish();
    return tls;
}

/** The caller and the admin address are both TCP, and so is a part of the control address. */
void checkDistinct(const daemon_settings &settings, problem_list &problems)
{
    const std::array<std::pair<const char *, host_port>, 3> listening{{{"caller_address", settings.callerAddress},
                                                                       {"control_address", settings.controlAddress},
                                                                       {"admin_address", settings.adminAddress}}};
    for (std::size_t i = 0; i < listening.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            if (listening[i].second == listening[j].second && listening[i].second.port != 0) {
                problems.add(listening[i].first, std::string("same address as ") + listening[j].first);
            }
        }
    }
}

daemon_settings readSettings(const nlohmann::json &value, problem_list &problems)
{
    daemon_settings settings;
    object_reader top(value, "", problems);
    settings.instance = instance_id(top.name("instance", presence::Required).value_or(""));
    settings.dataCentre = data_centre_id(top.name("data_centre", presence::Required).value_or(""));
    settings.callerAddress = top.address("caller_address", presence::Required).value_or(host_port{});
    settings.controlAddress = top.address("control_address", presence::Required).value_or(host_port{});
    settings.adminAddress = top.address("admin_address", presence::Required).value_or(host_port{});
    settings.platformAddress = top.address("platform_address", presence::Required).value_or(host_port{});
    readAdvertised(top, settings, problems);
    settings.peers = readPeers(top, problems);
    settings.workers = static_cast<int>(top.integer("workers", presence::Optional, workerRange).value_or(0));
    const auto level = top.choice("log_level", presence::Optional, {"trace", "debug", "info", "warn", "error"});
    settings.logLevel = level ? static_cast<log_level>(*level) : settings.logLevel;
    settings.tls = readTls(top, problems);
    settings.user = top.name("user", presence::Optional).value_or(settings.user);
    top.finish();
    checkDistinct(settings, problems);
    return settings;
}

}

settings_result<daemon_settings> parseDaemonSettings(std::string_view text, const std::string &fileName)
{
    problem_list problems{fileName, unknown_keys::Refuse, {}};
    const auto value = parseJson(text, problems);
    if (value && !value->is_object()) {
        problems.add("", "object expected");
    }
    if (!value || !value->is_object()) {
        return {std::nullopt, std::move(problems.problems)};
    }
    auto settings = readSettings(*value, problems);
    if (!problems.problems.empty()) {
        return {std::nullopt, std::move(problems.problems)};
    }
    return {std::move(settings), {}};
}

}
