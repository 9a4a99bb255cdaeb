#pragma once

#include "commands.h"
#include "instancequery.h"

namespace crocusdeal
{

/** Prints the body that an instance answered; Refused unless its status says success. */
exit_code printAnswer(const admin_response &response);

/** Prints that @p address did not answer and that the next instance is asked. */
void printNextAsked(const host_port &address, const admin_response &response);

}
