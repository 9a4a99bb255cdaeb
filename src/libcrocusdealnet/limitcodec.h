#pragma once

#include "permitmessages.h"
#include "sharedshapes.h"
#include "sharemessages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusdeal
{

/** The messages on limits that one instance has for another, for all targets together. */
struct limit_messages {
    std::vector<permit_request> permitRequests;
    std::vector<permit_grant> permitGrants;
    std::vector<permit_release> permitReleases;
    std::vector<share_report> shareReports;
    std::vector<share_grant> shareGrants;
    std::vector<share_release> shareReleases;
    std::vector<shape_report> shapeReports;
    std::vector<shape_update> shapeUpdates;

    bool empty() const;
};

/** Encodes by cereal's portable binary archive with a version byte in front. */
std::string encodeLimitMessages(const limit_messages &messages);
/** Nothing if @p bytes are malformed or of another version. */
std::optional<limit_messages> decodeLimitMessages(std::string_view bytes);

}
