#pragma once

#include "clock.h"
#include "hostport.h"
#include "identifiers.h"
#include "loglevel.h"
#include "ratelimit.h"
#include "settingsproblem.h"

#include <optional>
#include <string>
#include <string_view>

namespace crocusdeal
{

/** Settings of crocusdealfront, the daemon that runs on the users' platform. */
struct front_settings {
    instance_id instance;
    data_centre_id dataCentre;
    host_port callerAddress;
    host_port readinessAddress;
    std::string readinessPath;
    host_port storeAddress;
    host_port authorityAddress; ///< Of the service that carries out changes of a primary.
    std::optional<host_port> metricsAddress;
    /** Where other instances hand over statements; without it this instance serves its callers alone. */
    std::optional<host_port> relayAddress;
    duration drainTime{7000}; ///< How long a target keeps serving after it has reported that it is draining.
    duration gracePeriod{6000}; ///< Time from SIGTERM to the exit of the process.
    duration configurationApplyTimeout{3000}; ///< Time within which all instances must apply a change.
    duration targetHeartbeat{1200}; ///< A target that has not written its entry for three of these is not listed.
    /**
     * Within this time of a change of the configuration nothing may be run with a key that it took away, also by an
     * instance that is cut off from the store; without it a cut-off instance goes on with the keys that it knows.
     */
    std::optional<duration> keyRevocationTime;
    rate_limit_bound rateLimitBound; ///< What the limits of workspaces are measured by.
    duration serviceIdleTimeout{30000}; ///< A service that no caller has used for this long is released.
    log_level logLevel = log_level::Info;
};

/** Parses settings in JSON; comments are allowed. */
settings_result<front_settings> parseFrontSettings(std::string_view text, const std::string &fileName);

}
