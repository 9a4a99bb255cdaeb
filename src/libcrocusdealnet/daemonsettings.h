#pragma once

#include "hostport.h"
#include "identifiers.h"
#include "loglevel.h"
#include "settingsproblem.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** Files in PEM form for callers' encrypted connections. */
struct tls_settings {
    std::string certificate;
    std::string key;
};

/** Addresses that the instance states to others, where they differ from those it listens on. */
struct advertised_addresses {
    host_port caller;
    host_port control;
    host_port admin;
};

/** The settings of one instance (4.4). */
struct daemon_settings {
    instance_id instance;
    data_centre_id dataCentre;
    host_port callerAddress;
    host_port controlAddress; ///< UDP and TCP.
    host_port adminAddress;
    host_port platformAddress;
    advertised_addresses advertised; ///< The listening addresses where the file states no others.
    std::vector<host_port> peers;
    int workers = 0; ///< 0: one for each core.
    log_level logLevel = log_level::Info;
    std::optional<tls_settings> tls;
    std::string user = "crocusdeal"; ///< Name at the targets.
};

/** Reads a daemon settings file (JSON with comments); all problems are gathered in one run. */
settings_result<daemon_settings> parseDaemonSettings(std::string_view text, const std::string &fileName);

}
