#pragma once

#include "batchinfo.h"
#include "pgframe.h"
#include "requestbatch.h"

#include <optional>

namespace crocusdeal
{

/** The error for a request that the proxy does not run, whatever the target; nothing for all others. */
std::optional<pg_error> unsupportedRequestError(const batch_info &info,
                                                const request_batch &batch,
                                                bool hasRequestKey,
                                                bool hasLease);

}
