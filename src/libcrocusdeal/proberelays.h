#pragma once

#include "clock.h"
#include "identifiers.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

/** Probes that this instance sends on behalf of others (SWIM's ping-req). */
class probe_relays
{
public:
    struct relay {
        instance_id requester;
        std::string requesterAddress;
        std::uint32_t sequence = 0; ///< Of the requester.
        instance_id subject;
        time_point deadline;
    };

    void start(std::uint32_t ownSequence, relay started);
    /** Takes the relay that an Ack of @p subject answers. */
    std::optional<relay> answered(std::uint32_t ownSequence, const instance_id &subject);
    /** Takes the relays whose subject did not answer in time. */
    std::vector<relay> expired(time_point now);
    void clear();

private:
    std::unordered_map<std::uint32_t, relay> m_relays;
};

}
