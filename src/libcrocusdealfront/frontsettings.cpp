#include "frontsettings.h"

#include "jsonreader.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace crocusdeal
{

namespace
{

using presence = object_reader::presence;

constexpr integer_range millisecondRange{100, 600000};
constexpr number_range secondRange{1, 600};
constexpr double msPerSecond = 1000;
constexpr number_range overageRange{0, 10};
constexpr number_range slackRange{0, 1e6};

/** A time in seconds, perhaps a fraction of one; counted in whole milliseconds. */
std::optional<duration> readSeconds(object_reader &reader, const std::string &key)
{
    const auto seconds = reader.number(key, presence::Optional, secondRange);
    return seconds ? std::optional(duration{std::llround(*seconds * msPerSecond)}) : std::nullopt;
}

void readReadiness(object_reader &top, front_settings &settings, problem_list &problems)
{
    const auto *value = top.object("readiness", presence::Required);
    if (value == nullptr) {
        return;
    }
    object_reader reader(*value, "readiness", problems);
    settings.readinessAddress = reader.address("address", presence::Required).value_or(host_port{});
    settings.readinessPath = reader.string("path", presence::Required).value_or("");
    if (settings.readinessPath.empty() || settings.readinessPath.front() != '/') {
        problems.add("readiness.path", "path that begins with \"/\" expected, got \"" + settings.readinessPath + "\"");
    }
    reader.finish();
}

void readRateLimitBound(object_reader &top, front_settings &settings, problem_list &problems)
{
    const auto *value = top.object("rate_limit", presence::Optional);
    if (value == nullptr) {
        return;
    }
    object_reader reader(*value, "rate_limit", problems);
    auto &bound = settings.rateLimitBound;
    bound.window = readSeconds(reader, "window_s").value_or(bound.window);
    bound.overage = reader.number("overage", presence::Optional, overageRange).value_or(bound.overage);
    bound.slack = reader.number("slack", presence::Optional, slackRange).value_or(bound.slack);
    reader.finish();
}

front_settings readSettings(const nlohmann::json &value, problem_list &problems)
{
    front_settings settings;
    object_reader top(value, "", problems);
    settings.instance = instance_id(top.name("instance", presence::Required).value_or(""));
    settings.dataCentre = data_centre_id(top.name("data_centre", presence::Required).value_or(""));
    settings.callerAddress = top.address("caller_address", presence::Required).value_or(host_port{});
    readReadiness(top, settings, problems);
    settings.storeAddress = top.address("store_address", presence::Required).value_or(host_port{});
    settings.authorityAddress = top.address("authority_address", presence::Required).value_or(host_port{});
    settings.metricsAddress = top.address("metrics_address", presence::Optional);
    settings.relayAddress = top.address("relay_address", presence::Optional);
    const auto drain = top.integer("drain_ms", presence::Optional, millisecondRange);
    settings.drainTime = duration{drain.value_or(settings.drainTime.ms)};
    settings.gracePeriod = readSeconds(top, "grace_s").value_or(settings.gracePeriod);
    const auto apply = top.integer("configuration_apply_ms", presence::Optional, millisecondRange);
    settings.configurationApplyTimeout = duration{apply.value_or(settings.configurationApplyTimeout.ms)};
    const auto heartbeat = top.integer("target_heartbeat_ms", presence::Optional, millisecondRange);
    settings.targetHeartbeat = duration{heartbeat.value_or(settings.targetHeartbeat.ms)};
    if (const auto revocation = top.integer("key_revocation_ms", presence::Optional, millisecondRange)) {
        settings.keyRevocationTime = duration{*revocation};
    }
    readRateLimitBound(top, settings, problems);
    const auto keep = top.integer("service_keep_ms", presence::Optional, millisecondRange);
    settings.serviceIdleTimeout = duration{keep.value_or(settings.serviceIdleTimeout.ms)};
    const auto level = top.choice("log_level", presence::Optional, {"trace", "debug", "info", "warn", "error"});
    settings.logLevel = level ? static_cast<log_level>(*level) : settings.logLevel;
    top.finish();
    return settings;
}

}

settings_result<front_settings> parseFrontSettings(std::string_view text, const std::string &fileName)
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
