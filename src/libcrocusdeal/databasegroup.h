#pragma once

#include "agesamples.h"
#include "grouppolicy.h"
#include "groupview.h"
#include "targetstate.h"

#include <cstddef>
#include <map>
#include <set>

namespace crocusdeal
{

/** Where an observation of a database comes from. */
enum class observation_source {
    Own, ///< Answered to this instance.
    Peer, ///< Reported by another instance.
};

/** What this instance knows of one group of databases. */
class database_group
{
public:
    database_group(group_id group, std::vector<target_address> targets, group_policy policy = {});

    /** Replaces the members; what is known of those that stay is kept. */
    void setTargets(std::vector<target_address> targets);
    void setDrained(std::set<target_id> drained);
    /** The target that gets no new work until a planned change is over, as if it were drained; nothing ends this. */
    void setHeld(std::optional<target_id> target);

    /**
     * Takes a status that @p target had at some time between @p askedAt and @p heardAt.
     *
     * Answers may come in any order. Returns whether the term, a role or the primary changed.
     */
    bool observe(const target_id &target,
                 const target_status &status,
                 time_point askedAt,
                 time_point heardAt,
                 observation_source source);

    /** Same for a state without upstream and connections, of which the last known ones are kept. */
    bool observe(const target_id &target,
                 const target_state &state,
                 time_point askedAt,
                 time_point heardAt,
                 observation_source source);

    /** This instance sent the primary or, without one, any member a status query. */
    void noteProbe(const target_id &target, time_point now);

    /** The host of @p target refused a connection of this instance. */
    void noteRefused(const target_id &target, time_point now);

    /** To be called at least every 250 ms; a longer gap is a pause of this instance and restarts the suspicion. */
    void tick(time_point now);

    const group_id &id() const;
    const group_policy &policy() const;
    const std::vector<target_address> &targets() const;
    const std::set<target_id> &drained() const;
    std::uint64_t highestTerm() const;
    std::size_t majority() const;

    /** The primary at the highest known term. */
    std::optional<target_id> primary() const;

    /** What is known of @p target, nothing before its first answer. */
    const target_view *find(const target_id &target) const;

    /** No term above the highest known one had a primary before this time. */
    time_point currentUntil() const;

    /**
     * Whether a candidate may act: no primary at the highest term answered for a while although it was probed, or its
     * host refuses connections, since the database process has ended.
     */
    bool primarySuspected(time_point now) const;

    /** Since when primarySuspected() holds, on the assumption that it does. */
    time_point suspectedSince() const;

    /** Whether a majority of the members answered this instance itself within the last second. */
    bool reachesMajority(time_point now) const;

    group_view_ptr view(time_point now) const;

private:
    struct member;
    bool take(member &entry,
              const target_status &status,
              time_point askedAt,
              time_point heardAt,
              observation_source source);

    struct member {
        target_view view;
        time_point probedAt = never;
        int unansweredProbes = 0;
        time_point refusedSince = never;
        int refusals = 0; ///< In a row, without an answer to a later query of anyone.
    };

    member *findMember(const target_id &target);
    void markLeaving();
    void raiseTerm(std::uint64_t term);
    void mergeStatus(member &entry, const target_status &status, time_point askedAt);
    void learnReplayRate(member &entry, const target_status &status, time_point heardAt);
    time_point lastSignOfPrimary() const;
    const member *refusingPrimary() const;
    duration patience() const;

    group_id m_group;
    group_policy m_policy;
    std::vector<target_address> m_targets;
    std::set<target_id> m_drained;
    std::optional<target_id> m_held;
    std::map<target_id, member> m_members;
    std::uint64_t m_highestTerm = 0;
    age_samples m_samples;
    time_point m_lastTick = never;
    time_point m_watchingSince = never;
    time_point m_termSeenAt = never;
};

}
