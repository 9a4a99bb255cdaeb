#pragma once

#include "configurationevidence.h"
#include "relaymessages.h"
#include "servingplan.h"
#include "targetpool.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace crocusdeal
{

/**
 * Until when callers' keys may be used here: keeps the evidence that the configuration in force is the newest one.
 *
 * One instance of each data centre renews it by the watch that it has anyway, with short waits. The others take it from
 * the pongs of their links, and ask the store themselves only if that does not come in time.
 */
class access_confirmation
{
public:
    /** Without @p revocationTime keys are used for as long as this instance knows them. */
    access_confirmation(front_context &context,
                        instance_id self,
                        data_centre_id dataCentre,
                        std::optional<duration> revocationTime);

    /** Has the store asked at once for the newest configuration. */
    std::function<void()> askStore;
    /** Whether the store is known not to answer this instance. */
    std::function<bool()> isStoreAway;

    void setMembers(const std::vector<fleet_member> &members);
    void setInForce(const routing_configuration &configuration);
    void recordReading(std::uint64_t version, time_point at);
    /** @p pingSentAt is when this instance sent the ping that is answered; never if it answers none. */
    void recordPong(const relay_pong &pong, time_point pingSentAt);

    /** Whether the use of keys is bound to evidence. */
    bool isBound() const;
    /** Nothing if it is not bound; in the past if there is no evidence. */
    std::optional<time_point> validUntil() const;
    bool isLapsed(time_point now) const;
    /** What a pong of this instance tells; nothing if it is not bound. */
    std::optional<reported_configuration> report(time_point now) const;
    /** How long a watch of the configuration may wait; nothing if it may take its time. */
    std::optional<duration> watchWait(time_point now) const;

    /** Renews the evidence if it is old, and tells when it lapses or is back. */
    void tick(time_point now);

private:
    void renew(time_point now);
    void tellState(time_point now);

    front_context &m_context;
    instance_id m_self;
    data_centre_id m_dataCentre;
    std::optional<duration> m_revocationTime;
    configuration_evidence m_evidence;
    evidence_times m_times;
    std::size_t m_rank = 0; ///< Among the instances of the data centre; the first one renews the evidence for all.
    std::uint64_t m_versionInForce = 0;
    std::uint64_t m_askedForVersion = 0; ///< The newest one that was asked for since another instance told of it.
    bool m_hasWorkspaces = false;
    bool m_isLapseTold = false;
    time_point m_lapsedAt = never;
    time_point m_askedAt = never;
};

}
