#pragma once

#include "clock.h"
#include "nametable.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace crocusdeal
{

/** Troubles that a run can cause. The first ones make the instances change the primary. */
enum class fault_kind {
    PrimaryCut, ///< The primary is cut off from some instances.
    PrimaryCrash, ///< It comes back with its log.
    PrimaryDark, ///< It neither answers nor feeds its replicas.
    PrimaryRelease, ///< It drains, ends, and another target takes over its log.
    EntryLost, ///< It crashes while the entry of a replica that receives is missing, and an instance has not seen it.
    ReplicaCrash, ///< It starts again with an empty log.
    ReplicaJoin, ///< A new one receives from its start on, and is listed later.
    ReplicaRelease, ///< As PrimaryRelease.
    ReplicaDeaf, ///< It receives nothing.
    ReplicaCut, ///< It is cut off from some instances.
    LateOrder, ///< Promotion calls get no answer and are carried out late.
    SlowOrder, ///< Promotion calls are accepted and take effect late.
    InstanceFreeze,
    InstanceKill, ///< It starts again.
    StoreAway, ///< For some instances.
    ReplicaCrashAtOrder, ///< As an order goes out, another replica than the ordered one starts again.
};

inline constexpr auto faultKindNames = makeNameTable<fault_kind>("primary-cut",
                                                                 "primary-crash",
                                                                 "primary-dark",
                                                                 "primary-release",
                                                                 "entry-lost",
                                                                 "replica-crash",
                                                                 "replica-join",
                                                                 "replica-release",
                                                                 "replica-deaf",
                                                                 "replica-cut",
                                                                 "late-order",
                                                                 "slow-order",
                                                                 "instance-freeze",
                                                                 "instance-kill",
                                                                 "store-away",
                                                                 "replica-crash-at-order");
inline constexpr int faultKindCount = 16;

struct planned_fault {
    fault_kind kind = fault_kind::PrimaryCut;
    duration at; ///< After the start of the load.
    duration length;
    std::uint32_t choice = 0; ///< Selects whom it strikes, among those that are there at that time.
};

/**
 * Draws the faults of one run. Every few seconds the primary gets into trouble, and one to three other faults strike
 * shortly before or after, so that they meet the change of the primary. Only kinds of @p allowed are drawn.
 */
std::vector<planned_fault> drawFaults(std::uint32_t seed, duration length, const std::set<fault_kind> &allowed);

/** The faults in words, one a line. */
std::string describe(const std::vector<planned_fault> &faults);

}
