#pragma once

#include "commandline.h"
#include "hostport.h"

#include <string>
#include <vector>

namespace crocusdeal
{

/** Adds --platform, --admin and --instance. */
void addInstanceOptions(command_line &line);

/**
 * The admin addresses to try in turn: the one of --admin or --instance, or else those of all live instances in
 * rendezvous order for @p key. Empty, after an error message, if the platform does not answer or knows none.
 */
std::vector<host_port> adminAddresses(const command_line &line, const std::string &key);

}
