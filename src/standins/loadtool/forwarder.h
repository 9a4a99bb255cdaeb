#pragma once

#include <string>

namespace crocusdeal
{

/** Forwards bytes between clients of @p listen and @p upstream, both host:port, until the process ends. */
void runForwarder(const std::string &listen, const std::string &upstream);

}
