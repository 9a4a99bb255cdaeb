#pragma once

#include "clock.h"
#include "identifiers.h"
#include "nametable.h"
#include "position.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crocusdeal
{

/** What another instance knows of one service. */
struct instance_knowledge {
    bool isStoreAway = false;
    std::optional<duration> primaryAnsweredAgo; ///< Nothing if it has not heard of a primary.
    position committed; ///< The highest commit that it has acknowledged to callers.
    std::map<target_id, std::uint64_t> incarnations; ///< Of the targets of the service; empty if it does not serve it.
};

enum class standalone_verdict {
    Allowed,
    InstanceSilent, ///< An instance that may serve the service does not answer.
    StoreReachedElsewhere, ///< Another instance reaches the store, and may act on a list that is up to date.
    PrimaryReachedElsewhere, ///< Another instance has heard of the primary since it was suspected here.
    TargetUnknown, ///< Another instance knows a target that this one does not.
};

inline constexpr auto standaloneVerdictNames = makeNameTable<standalone_verdict>("allowed",
                                                                                 "instance_silent",
                                                                                 "store_reached_elsewhere",
                                                                                 "primary_reached_elsewhere",
                                                                                 "target_unknown");

/**
 * Whether an instance that the store does not answer may change the primary of a service.
 *
 * It does not hear of targets that have joined. Commits reach callers through instances only, so what every other
 * instance knows takes the place of the list: @p answers has one entry for each, without a value if it did not answer.
 * @p incarnations are the targets that this instance knows, @p suspectedFor is since when it has missed the primary.
 */
standalone_verdict judgeWithoutStore(const std::vector<std::optional<instance_knowledge>> &answers,
                                     const std::map<target_id, std::uint64_t> &incarnations,
                                     duration suspectedFor);

/** The highest commit that any of the instances has acknowledged to callers. */
position highestCommit(const std::vector<std::optional<instance_knowledge>> &answers);

}
