#pragma once

#include "serviceconfiguration.h"
#include "settingsproblem.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusdeal
{

/** Kind and name of the platform object that holds the published configuration. */
inline constexpr std::string_view configurationKind = "config";
inline constexpr std::string_view configurationName = "services";

/** Who reads the published configuration. */
enum class configuration_reader {
    Daemon, ///< Passes over keys it does not know, so that it accepts what a newer command published.
    Command, ///< Refuses unknown keys, since it would drop them when it publishes.
};

/** Reads a service file (JSON with comments); all problems are gathered in one run. */
settings_result<service_file> parseServiceFile(std::string_view text, const std::string &fileName);

/** Reads the value of the platform object config/services at @p version. */
settings_result<fleet_configuration> parseFleetConfiguration(
    std::string_view text,
    std::uint64_t version,
    configuration_reader reader = configuration_reader::Daemon);

/** The JSON text of one service, in the form of a service file; defaults are written out. */
std::string toJson(const service_configuration &service);

/** The value of config/services; the version is not part of it. */
std::string toJson(const fleet_configuration &configuration);

}
