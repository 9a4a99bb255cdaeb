#include "router.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace crocusdeal
{

namespace
{

target_load loadOf(const load_table &load, const target_id &target)
{
    const auto found = load.find(target);
    return found == load.end() ? target_load() : found->second;
}

}

router::router(router_settings settings)
    : m_settings(std::move(settings))
{
}

bool router::usable(const target_view &target, time_point now) const
{
    return target.status && !target.leaving && now - target.heardAt <= m_settings.unheardLimit;
}

bool router::isOwn(const target_view &target) const
{
    return target.address.dataCentre == m_settings.ownDataCentre;
}

// While the history is unknown, data that includes every write acknowledged before the session started is enough: this
// is what the read index would ask for.
bool router::hasOwnWrites(const target_view &target, const route_request &request) const
{
    if (request.token) {
        return target.status->at >= *request.token;
    }
    return !m_settings.readIndexFirst || target.includesUntil > request.startedAt;
}

bool router::mayServe(const target_view &target, const route_request &request, time_point now) const
{
    if (!usable(target, now)) {
        return false;
    }
    const bool stale = request.kind == route_class::StaleRead;
    if (stale && request.maxAge && now - target.includesUntil > *request.maxAge) {
        return false;
    }
    return (stale && request.mayMissOwnWrites) || hasOwnWrites(target, request);
}

route router::toPrimary(route_reason reason, const route_request &request, const group_view &view, time_point now) const
{
    if (request.token && request.token->term > view.highestTerm) {
        return {route_kind::Park, route_reason::NewerTermElsewhere, {}, {}, never};
    }
    const auto *primary = view.primary ? view.find(*view.primary) : nullptr;
    if (primary == nullptr) {
        return {route_kind::Park, route_reason::NoPrimary, {}, {}, never};
    }
    if (view.primarySuspected || now - primary->heardAt > m_settings.unheardLimit) {
        return {route_kind::Park, route_reason::PrimarySuspected, {}, {}, never};
    }
    if (primary->leaving) {
        return {route_kind::Park, route_reason::PrimaryLeaving, {}, {}, never};
    }
    return {route_kind::ToPrimary, reason, *view.primary, {}, never};
}

route router::decide(const route_request &request, const group_view &view, const load_table &load, time_point now) const
{
    if (now >= request.deadline) {
        return {route_kind::Refuse, route_reason::DeadlineTooNear, {}, {}, never};
    }
    switch (request.kind) {
    case route_class::Write:
        return toPrimary(route_reason::Write, request, view, now);
    case route_class::Pinned:
        return toPrimary(route_reason::Pinned, request, view, now);
    case route_class::Read:
    case route_class::StaleRead:
        break;
    }
    return decideRead(request, view, load, now);
}

// The least loaded target of the own data centre, unless another data centre is shorter by more than the way there.
router::ranked router::best(const std::vector<ranked> &targets) const
{
    return *std::min_element(targets.begin(), targets.end(), [this](const ranked &a, const ranked &b) {
        const auto cost = [this](const ranked &entry) {
            const auto way = isOwn(*entry.target) ? duration{} : m_settings.crossRoundTrip;
            return std::tuple(entry.load.expectedWait + way,
                              !isOwn(*entry.target),
                              entry.load.queuedAndRunning,
                              entry.target->address.id);
        };
        return cost(a) < cost(b);
    });
}

route router::decideRead(const route_request &request,
                         const group_view &view,
                         const load_table &load,
                         time_point now) const
{
    std::vector<ranked> eligible;
    bool ownEligible = false;
    for (const auto &target : view.targets) {
        if (target.address.id != view.primary && mayServe(target, request, now)) {
            eligible.push_back({&target, loadOf(load, target.address.id)});
            ownEligible = ownEligible || isOwn(target);
        }
    }
    if (eligible.empty()) {
        const auto wait = catchingUp(request, view, load, now);
        return wait ? *wait : readFromPrimary(request, view, now);
    }
    const auto chosen = best(eligible);
    auto primary = toPrimary(route_reason::ReplicasOverloaded, request, view, now);
    if (primary.kind == route_kind::ToPrimary && mayServe(*view.find(primary.target), request, now)
        && loadOf(load, primary.target).expectedWait + m_settings.primaryMargin < chosen.load.expectedWait) {
        return primary;
    }
    auto reason = eligible.size() == 1 ? route_reason::OnlyEligible : route_reason::LeastLoaded;
    if (ownEligible && !isOwn(*chosen.target)) {
        reason = route_reason::OtherDataCentreShorter;
    }
    return {route_kind::ToReplica, reason, chosen.target->address.id, {}, never};
}

// A token at or below the primary's term is covered by the primary, whatever position it reported last. Without a
// token, and for the age, it counts until when its term is known to be the newest: a replaced primary answers, too.
route router::readFromPrimary(const route_request &request, const group_view &view, time_point now) const
{
    auto result = toPrimary(route_reason::NoReplicaEligible, request, view, now);
    if (result.kind != route_kind::ToPrimary) {
        return result;
    }
    const bool stale = request.kind == route_class::StaleRead;
    const bool needsHistory = !request.token && !(stale && request.mayMissOwnWrites) && m_settings.readIndexFirst;
    if (needsHistory && view.currentUntil <= request.startedAt) {
        return {route_kind::ReadIndexFirst, route_reason::UnknownHistory, {}, {}, request.startedAt};
    }
    if (stale && request.maxAge && now - view.currentUntil > *request.maxAge) {
        return {route_kind::ReadIndexFirst, route_reason::DataTooOld, {}, {}, now};
    }
    return result;
}

// Waiting spares the primary work, but only pays if the replica's observed replay rate closes the gap in time.
std::optional<route> router::catchingUp(const route_request &request,
                                        const group_view &view,
                                        const load_table &load,
                                        time_point now) const
{
    if (!request.token || request.kind != route_class::Read) {
        return std::nullopt;
    }
    const auto limit = std::min(m_settings.replicaWaitLimit, request.deadline - now);
    std::vector<ranked> soon;
    for (const auto &target : view.targets) {
        const bool candidate = target.address.id != view.primary && usable(target, now) && target.replayRate > 0
            && target.status->role == target_role::Replica && target.status->at.term == request.token->term
            && target.status->at < *request.token;
        if (!candidate) {
            continue;
        }
        const auto gap = static_cast<double>(request.token->offset - target.status->at.offset);
        const auto catchUp = std::ceil(gap / target.replayRate);
        if (catchUp > static_cast<double>(limit.ms)) {
            continue;
        }
        auto entry = ranked{&target, loadOf(load, target.address.id)};
        entry.load.expectedWait = std::max(entry.load.expectedWait, duration{static_cast<std::int64_t>(catchUp)});
        soon.push_back(entry);
    }
    if (soon.empty()) {
        return std::nullopt;
    }
    return route{
        route_kind::WaitForReplica, route_reason::ReplicaCatchesUp, best(soon).target->address.id, limit, never};
}

}
