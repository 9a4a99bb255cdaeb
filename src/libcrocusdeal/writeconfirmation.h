#pragma once

#include "confirmmode.h"
#include "controlaction.h"
#include "databasegroup.h"

#include <map>
#include <vector>

namespace crocusdeal
{

enum class confirm_result {
    Confirmed, ///< The write may be acknowledged.
    NewerTerm, ///< Outcome unknown: another primary may have taken over without the write.
    DeadlinePassed, ///< Outcome unknown: not confirmed in time.
};

inline constexpr auto confirmResultNames = makeNameTable<confirm_result>("confirmed", "newer-term", "deadline-passed");

struct confirmation {
    waiter_id waiter = 0;
    confirm_result result = confirm_result::Confirmed;
};

struct confirmation_step {
    std::vector<ask_status> statusAsks;
    std::vector<ask_wait> waitAsks;
    std::vector<confirmation> results;
};

/** Holds committed writes back until it is certain that a later primary has them. */
class write_confirmation
{
public:
    explicit write_confirmation(confirm_mode mode = confirm_mode::Replica);

    void setMode(confirm_mode mode);

    /** The write at @p at, whose commit the primary of its term answered. */
    void add(waiter_id id, position at, time_point deadline);
    bool empty() const;

    /** To be called after a waiter was added or an observation was made, and on every tick. */
    confirmation_step update(const database_group &group, time_point now);

private:
    struct waiter {
        position at;
        time_point deadline;
        time_point recheckFrom = never; ///< When the primary was asked again because its answer was too old.
    };
    enum class waiter_state {
        NeedsReplicas,
        NeedsPrimary,
        Done,
    };

    bool isHeld(const database_group &group, position at) const;
    bool primaryIsCurrent(const database_group &group, waiter &entry, time_point now) const;
    waiter_state check(const database_group &group, waiter &entry, time_point now, confirm_result &result) const;

    confirm_mode m_mode;
    std::map<waiter_id, waiter> m_waiters;
};

}
