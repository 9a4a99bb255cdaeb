#pragma once

#include "clock.h"

namespace crocusdeal
{

/** How many operations a workspace may begin, over all instances together. */
struct rate_limit {
    double perSecond = 0;
    double burst = 0; ///< Operations that may come at once after a rest.

    friend bool operator==(const rate_limit &, const rate_limit &) = default;
};

/**
 * What a limit is measured by: in no span of @c window may the targets get more of a workspace than
 * (perSecond x window + burst) x (1 + overage) + slack.
 */
struct rate_limit_bound {
    duration window{5000};
    double overage = 0; ///< Share of the limit.
    double slack = 0; ///< Operations.
};

}
