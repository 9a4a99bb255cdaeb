#pragma once

#include "groupview.h"
#include "nametable.h"
#include "position.h"

#include <map>
#include <optional>

namespace crocusdeal
{

/** What a statement needs of its target. */
enum class route_class {
    Read, ///< May run on a replica that has the session's writes.
    StaleRead, ///< A read with a stated age.
    Write,
    Pinned, ///< Needs the session's own connection, on the primary.
};

inline constexpr auto routeClassNames = makeNameTable<route_class>("read", "stale-read", "write", "pinned");

enum class route_kind {
    ToReplica,
    ToPrimary,
    WaitForReplica, ///< Ask the target to wait for the token; route again when it answered or the time is over.
    ReadIndexFirst, ///< Ask the read index from indexFrom on, then route again.
    Park, ///< Route again when the view changes; no valid primary is known.
    Refuse, ///< Nothing can serve the statement before its deadline.
};

inline constexpr auto routeKindNames =
    makeNameTable<route_kind>("to-replica", "to-primary", "wait-for-replica", "read-index-first", "park", "refuse");

enum class route_reason {
    Write,
    Pinned,
    LeastLoaded,
    OtherDataCentreShorter, ///< The queue of the own data centre is longer by more than the round trip.
    OnlyEligible,
    NoReplicaEligible, ///< The primary serves the read.
    ReplicasOverloaded, ///< The primary serves the read, since it is free much sooner.
    ReplicaCatchesUp,
    UnknownHistory,
    NoPrimary,
    PrimarySuspected,
    PrimaryLeaving, ///< A planned change follows.
    DataTooOld, ///< For a stale read; also if the primary's term was not confirmed recently.
    NewerTermElsewhere, ///< The token is of a newer term than any known here.
    DeadlineTooNear,
};

inline constexpr auto routeReasonNames = makeNameTable<route_reason>("write",
                                                                     "pinned",
                                                                     "least-loaded",
                                                                     "other-data-centre-shorter",
                                                                     "only-eligible",
                                                                     "no-replica-eligible",
                                                                     "replicas-overloaded",
                                                                     "replica-catches-up",
                                                                     "unknown-history",
                                                                     "no-primary",
                                                                     "primary-suspected",
                                                                     "primary-leaving",
                                                                     "data-too-old",
                                                                     "newer-term-elsewhere",
                                                                     "deadline-too-near");

/** The work of one target. */
struct target_load {
    int queuedAndRunning = 0;
    duration expectedWait{}; ///< Until a statement sent there now gets a slot.
};

struct router_settings {
    data_centre_id ownDataCentre;
    duration crossRoundTrip{3}; ///< Between data centres.
    duration replicaWaitLimit{20}; ///< The longest wait for a replica to reach the token.
    duration primaryMargin{50}; ///< The primary serves reads if it is free so much sooner than every replica.
    duration unheardLimit{1000}; ///< A target not heard from for longer gets no work.
    bool readIndexFirst = true; ///< Off in model tests only: an unknown history counts as an empty one.
};

struct route_request {
    route_class kind = route_class::Read;
    std::optional<position> token; ///< Nothing while the session's history is unknown.
    time_point startedAt = never; ///< Of the session; counts while its history is unknown.
    std::optional<duration> maxAge; ///< For stale reads.
    bool mayMissOwnWrites = false; ///< A stale read to which only the age matters.
    time_point deadline{};
};

struct route {
    route_kind kind = route_kind::Refuse;
    route_reason reason = route_reason::NoPrimary;
    target_id target; ///< For ToReplica, ToPrimary and WaitForReplica.
    duration waitLimit{}; ///< For WaitForReplica.
    time_point indexFrom = never; ///< For ReadIndexFirst.
};

using load_table = std::map<target_id, target_load>;

/** Chooses the target of one statement. */
class router
{
public:
    explicit router(router_settings settings);

    route decide(const route_request &request, const group_view &view, const load_table &load, time_point now) const;

private:
    struct ranked {
        const target_view *target = nullptr;
        target_load load;
    };

    route readFromPrimary(const route_request &request, const group_view &view, time_point now) const;
    route toPrimary(route_reason reason, const route_request &request, const group_view &view, time_point now) const;
    route decideRead(const route_request &request,
                     const group_view &view,
                     const load_table &load,
                     time_point now) const;
    std::optional<route> catchingUp(const route_request &request,
                                    const group_view &view,
                                    const load_table &load,
                                    time_point now) const;
    bool usable(const target_view &target, time_point now) const;
    bool hasOwnWrites(const target_view &target, const route_request &request) const;
    bool mayServe(const target_view &target, const route_request &request, time_point now) const;
    bool isOwn(const target_view &target) const;
    ranked best(const std::vector<ranked> &targets) const;

    router_settings m_settings;
};

}
