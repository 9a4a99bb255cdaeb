#include "keyaccess.h"

namespace crocusdeal
{

access_decision decideAccess(const routing_configuration &configuration,
                             const database_route &route,
                             const std::optional<access_key_digest> &key)
{
    if (!configuration.workspaces || route.isPublic) {
        return {};
    }
    if (!key) {
        return {access_refusal::NoKey, {}};
    }
    const auto *workspace = configuration.workspaces->ofKey(*key);
    return workspace == nullptr ? access_decision{access_refusal::UnknownKey, {}}
                                : access_decision{std::nullopt, workspace->name};
}

}
