#pragma once

#include "clock.h"
#include "hostport.h"
#include "identifiers.h"
#include "loglevel.h"
#include "settingsproblem.h"

#include <optional>
#include <string>
#include <string_view>

namespace crocusdeal
{

/** Settings of the daemon on the users' platform. */
struct front_settings {
    instance_id instance;
    data_centre_id dataCentre;
    host_port callerAddress;
    host_port readinessAddress;
    std::string readinessPath;
    host_port storeAddress;
    host_port authorityAddress; ///< Who carries out changes of a primary.
    std::optional<host_port> metricsAddress;
    duration drainTime{7000}; ///< A target serves for this long after it has reported that it drains.
    duration grace{6000}; ///< From SIGTERM to the end.
    duration configurationApply{3000}; ///< A change has to be in force everywhere by then.
    duration serviceKeep{30000}; ///< A service that no caller has used for so long is let go of.
    log_level logLevel = log_level::Info;
};

/** Reads JSON with comments. */
settings_result<front_settings> parseFrontSettings(std::string_view text, const std::string &fileName);

}
