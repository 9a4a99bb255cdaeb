#pragma once

#include "identifiers.h"
#include "nametable.h"

#include <cstdint>
#include <memory>
#include <string>

namespace crocusdeal
{

/** Liveness of a member as the local instance knows it. */
enum class member_state : std::uint8_t {
    Alive,
    Suspect, ///< Did not answer; still counted as live until the suspicion times out.
    Leaving, ///< Announced its shutdown, or the platform lists it as leaving.
    Dead,
};

inline constexpr auto memberStateNames = makeNameTable<member_state>("alive", "suspect", "leaving", "dead");

/** What does not change while an instance runs. Addresses have the form "host:port". */
struct member_description {
    instance_id id;
    data_centre_id dataCentre;
    std::string callerAddress;
    std::string controlAddress;
    std::string adminAddress;

    friend bool operator==(const member_description &, const member_description &) = default;
};

/** A member of the fleet. Descriptions are shared because tables, queues and snapshots hold the same ones. */
struct member_info {
    std::shared_ptr<const member_description> description;
    std::uint32_t incarnation = 0;
    member_state state = member_state::Alive;
    std::uint64_t configurationVersion = 0;
    std::uint8_t health = 0; ///< Local health score of the member; 0 is healthy (Lifeguard).

    const instance_id &id() const
    {
        return description->id;
    }
    const data_centre_id &dataCentre() const
    {
        return description->dataCentre;
    }
    /** Whether the member takes part in decisions such as rendezvous order. */
    bool isLive() const
    {
        return state == member_state::Alive || state == member_state::Suspect;
    }
};

/** An entry of the platform's list of instances, which lags behind the actual state. */
struct listed_instance {
    member_description description;
    bool leaving = false;
};

}
