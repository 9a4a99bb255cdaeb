#pragma once

#include "clock.h"
#include "grouptypes.h"

#include <memory>
#include <optional>
#include <vector>

namespace crocusdeal
{

/** What is known of one target of a group. */
struct target_view {
    target_address address;
    std::optional<target_status> status;
    time_point askedAt = never; ///< When the newest answered query was sent.
    time_point heardAt = never; ///< By this instance or by a peer.
    bool leaving = false; ///< Drained, or primary before a planned change: gets no new work.
    time_point includesUntil = never; ///< Its data includes every write acknowledged before this time.
    std::uint64_t upstreamTerm = 0; ///< The term at which status->following was reported.
    double replayRate = 0; ///< Observed log entries a millisecond; 0 while unknown.
    time_point ownHeardAt = never; ///< By this instance.
};

/** An immutable snapshot of a group for routing. */
struct group_view {
    group_id group;
    std::uint64_t highestTerm = 0;
    std::optional<target_id> primary; ///< At the highest term; nothing while no primary is known there.
    bool primarySuspected = false;
    time_point takenAt = never;
    time_point currentUntil = never; ///< No term above the highest one had a primary before this time.
    std::vector<target_view> targets;

    const target_view *find(const target_id &id) const
    {
        for (const auto &target : targets) {
            if (target.address.id == id) {
                return &target;
            }
        }
        return nullptr;
    }
};

using group_view_ptr = std::shared_ptr<const group_view>;

}
