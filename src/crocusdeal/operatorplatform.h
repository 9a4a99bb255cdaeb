#pragma once

#include "configurationjson.h"
#include "platformclient.h"
#include "publishattempt.h"

#include <string>
#include <vector>

namespace crocusdeal
{

/** The published configuration, or why there is none. */
struct published_configuration {
    std::optional<fleet_configuration> configuration;
    std::vector<settings_problem> problems; ///< If the platform's object cannot be understood.
    platform_failure failure; ///< If the platform did not answer.
};

/** Blocking calls to the platform for the operators' commands. */
class operator_platform
{
public:
    explicit operator_platform(host_port address);

    /** Reads config/services; without one the configuration is empty and its version 0. */
    published_configuration readConfiguration(duration limit);
    platform_result<std::vector<instance_entry>> instances(duration limit);
    put_result update(const fleet_configuration &configuration, duration limit);

private:
    platform_client m_client;
};

}
