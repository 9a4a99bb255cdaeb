#include "accessconfirmation.h"

#include "rendezvous.h"
#include "systemclock.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

const std::string renewalKey = "configuration";
constexpr duration renewalInterval{500};

}

access_confirmation::access_confirmation(front_context &context,
                                         instance_id self,
                                         data_centre_id dataCentre,
                                         std::optional<duration> revocationTime)
    : m_context(context)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_revocationTime(revocationTime)
    , m_times(evidenceTimes(revocationTime.value_or(duration{}), 0))
{
}

void access_confirmation::setMembers(const std::vector<fleet_member> &members)
{
    std::vector<instance_id> here{m_self};
    for (const auto &member : members) {
        if (member.dataCentre == m_dataCentre && member.id != m_self) {
            here.push_back(member.id);
        }
    }
    const auto order = rendezvousOrder(renewalKey, std::move(here));
    m_rank = static_cast<std::size_t>(std::find(order.begin(), order.end(), m_self) - order.begin());
    m_times = evidenceTimes(m_revocationTime.value_or(duration{}), m_rank);
}

void access_confirmation::setInForce(const routing_configuration &configuration)
{
    m_versionInForce = configuration.version;
    m_hasWorkspaces = configuration.workspaces.has_value();
    m_evidence.setInForce(configuration.version);
}

void access_confirmation::recordReading(std::uint64_t version, time_point at)
{
    m_evidence.recordReading(version, at);
}

void access_confirmation::recordPong(const relay_pong &pong, time_point pingSentAt)
{
    if (!pong.configuration || pingSentAt == never) {
        return;
    }
    m_evidence.recordReport(*pong.configuration, pingSentAt);
    const auto newest = m_evidence.newestKnown();
    if (isBound() && newest > std::max(m_versionInForce, m_askedForVersion)) {
        m_askedForVersion = newest;
        askStore();
    }
}

bool access_confirmation::isBound() const
{
    return m_revocationTime && m_hasWorkspaces;
}

std::optional<time_point> access_confirmation::validUntil() const
{
    return isBound() ? std::optional(m_evidence.currentAt() + m_times.validFor) : std::nullopt;
}

bool access_confirmation::isLapsed(time_point now) const
{
    const auto until = validUntil();
    return until && now >= *until;
}

std::optional<reported_configuration> access_confirmation::report(time_point now) const
{
    return isBound() ? m_evidence.report(now) : std::nullopt;
}

std::optional<duration> access_confirmation::watchWait(time_point now) const
{
    if (!isBound()) {
        return std::nullopt;
    }
    const bool isToldByOthers = now - m_evidence.reportedAt() < m_times.staleAfter;
    return m_rank == 0 || !isToldByOthers ? std::optional(m_times.watchWait) : std::nullopt;
}

void access_confirmation::tick(time_point now)
{
    if (isBound() && now - m_evidence.currentAt() >= m_times.staleAfter) {
        renew(now);
    }
    tellState(now);
}

void access_confirmation::renew(time_point now)
{
    // An answer may prove nothing, as with a configuration that cannot be read.
    if (now - m_askedAt >= renewalInterval) {
        m_askedAt = now;
        askStore();
    }
}

void access_confirmation::tellState(time_point now)
{
    const auto currentAt = m_evidence.currentAt();
    const auto age = currentAt == never ? duration{-1} : now - currentAt;
    m_context.metrics.setConfigurationAge(isBound() ? age : duration{});
    if (isLapsed(now) == m_isLapseTold) {
        return;
    }
    m_isLapseTold = !m_isLapseTold;
    if (!m_isLapseTold) {
        m_context.log.warn("access_confirmed")
            .field("version", static_cast<std::int64_t>(m_versionInForce))
            .field("age_ms", age.ms)
            .field("by", m_evidence.reportedAt() == currentAt ? "another_instance" : "store")
            .field("lapsed_ms", (now - m_lapsedAt).ms);
        return;
    }
    m_lapsedAt = now;
    const bool isNewerKnown = m_evidence.newestKnown() > m_versionInForce;
    m_context.log.warn("access_unconfirmed")
        .field("version", static_cast<std::int64_t>(m_versionInForce))
        .field("newest", static_cast<std::int64_t>(m_evidence.newestKnown()))
        .field("age_ms", age.ms)
        .field("why",
               isNewerKnown        ? "the newer version is not read"
                   : isStoreAway() ? "the store is away, and no instance tells"
                                   : "no answer of the store is current");
}

}
