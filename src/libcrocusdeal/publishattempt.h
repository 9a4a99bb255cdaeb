#pragma once

#include "nametable.h"
#include "publishplan.h"
#include "serviceconfiguration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace crocusdeal
{

/** What is done when others have changed the configuration since it was read. */
enum class race_policy {
    Refuse, ///< Nothing; the operator is told what changed.
    RebaseDisjoint, ///< Plans again if the others changed none of the services that this change names.
    Replan, ///< Plans again in any case, for changes that leave all other settings as they find them.
};

enum class publish_outcome {
    Accepted,
    NothingToDo, ///< The published configuration already is as wanted.
    Problems, ///< The change contains mistakes; nothing was done.
    Raced, ///< Others have changed the configuration; nothing was done.
    Unknown, ///< An answer was lost and could not be resolved.
    Unavailable, ///< The platform does not answer; nothing was done.
    Refused, ///< The platform does not take the update; nothing was done.
};

inline constexpr auto publishOutcomeNames = makeNameTable<publish_outcome>("accepted",
                                                                           "nothing to do",
                                                                           "problems",
                                                                           "raced",
                                                                           "unknown",
                                                                           "platform unavailable",
                                                                           "refused by the platform");

struct publish_report {
    publish_outcome outcome = publish_outcome::Unavailable;
    std::uint64_t version = 0; ///< The version that contains the change, if Accepted or NothingToDo.
    std::vector<service_change> changes;
    std::vector<service_change> meanwhile; ///< What others changed, if Raced.
    std::vector<settings_problem> problems;
    std::string detail;
};

/** The answer of the platform to a conditional update. */
enum class update_answer {
    Stored,
    Conflict,
    Lost, ///< Sent; it may have taken effect, or may still do so.
    NotDone, ///< Nothing was done, and it may be tried again.
    Refused, ///< Nothing was done, and a repeat would be refused as well.
};

/**
 * One change of the published configuration, by conditional update, without I/O.
 *
 * The caller executes step() and reports the result, until the step is Finished. A lost answer is resolved by reading
 * back: each update carries an id in the list of recent changes, which later changes keep.
 */
class publish_attempt
{
public:
    enum class step_kind { Read, Update, Finished };

    /** Ids that a published configuration carries; a lost answer is resolved across as many later changes. */
    static constexpr std::size_t maxRecentChanges = 64;

    /** @p changeId is unique among all changes. */
    publish_attempt(change_planner planner, std::string changeId, race_policy policy);

    step_kind step() const;
    /** For the step Update: what to store, on the condition that the version is this one's. */
    const fleet_configuration &update() const;

    void onRead(const fleet_configuration &current);
    void onUpdate(update_answer answer, const std::string &detail = {});
    /** Ends the attempt when there is no time left; @p detail says why. */
    void giveUp(const std::string &detail);

    const publish_report &report() const;

private:
    void plan(const fleet_configuration &current);
    void resolve(const fleet_configuration &current);
    void onRace(const fleet_configuration &current);
    bool isDisjoint(const std::vector<service_change> &changes) const;
    void finish(publish_outcome outcome, const std::string &detail = {});

    change_planner m_planner;
    std::string m_changeId;
    race_policy m_policy;
    step_kind m_step = step_kind::Read;
    bool m_planned = false;
    bool m_maybeInEffect = false; ///< An update was sent on m_base whose answer was lost.
    fleet_configuration m_base;
    fleet_configuration m_update;
    std::set<service_id> m_touched;
    publish_report m_report;
};

}
