#pragma once

#include "routingconfiguration.h"

#include <optional>

namespace crocusdeal
{

/** Why a caller may not use a route. */
enum class access_refusal {
    NoKey,
    UnknownKey, ///< Also one that was taken away.
};

inline constexpr auto accessRefusalNames = makeNameTable<access_refusal>("no_key", "unknown_key");

struct access_decision {
    std::optional<access_refusal> refusal;
    workspace_id workspace; ///< Empty on public routes, and where callers are not told apart.
};

/** Whether a caller with this key may use the route under this configuration, and on behalf of which workspace. */
access_decision decideAccess(const routing_configuration &configuration,
                             const database_route &route,
                             const std::optional<access_key_digest> &key);

/** On whose behalf a statement runs, and since which configuration that is allowed. */
struct caller_access {
    workspace_id workspace; ///< Empty if callers are not told apart on the route.
    std::uint64_t decidedBy = 0; ///< Version of the configuration.
    std::optional<time_point> validUntil; ///< Not to be sent to a target later; the key may be gone by then.

    bool isValid(time_point now) const
    {
        return !validUntil || now < *validUntil;
    }
};

}
