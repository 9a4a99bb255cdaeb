#pragma once

#include "clock.h"
#include "platformclient.h"
#include "publishplan.h"

#include <string>
#include <vector>

namespace crocusdeal
{

/** The answer of an instance's admin interface; status 0 if there is none. */
struct admin_response {
    int status = 0;
    std::string body;
    bool isSent = false; ///< False if the instance certainly has not received the request.
    std::string failure;
};

using query_parameters = std::vector<std::pair<std::string, std::string>>;

admin_response adminGet(const host_port &address,
                        const std::string &path,
                        const query_parameters &query,
                        duration limit);
admin_response adminPost(const host_port &address,
                         const std::string &path,
                         const query_parameters &query,
                         duration limit);

/** An instance with the text of its /status. */
struct instance_status {
    instance_entry entry;
    instance_version version;
    std::string text; ///< JSON; empty if the instance did not answer.
};

/** Asks all instances for their /status, several at once. */
std::vector<instance_status> queryStatus(const std::vector<instance_entry> &instances, duration limit);

}
