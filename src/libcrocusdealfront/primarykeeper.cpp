#include "primarykeeper.h"

#include "systemclock.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration surveyInterval{80};
// A suspicion that lasts is a cut or a replica that is waited for; both end without a hurry to notice.
constexpr duration lastingSuspicion{5000};
constexpr duration lastingSurveyInterval{240};
constexpr duration controlLimit{250};
constexpr duration departureTime{2000}; // A draining target without an answer for so long has ended.
constexpr duration stallTime{1000}; // Longer than a write waits in a busy target.
constexpr duration retryTime{300};
constexpr duration promotionTime{2000}; // Longer than from an accepted command until its target is primary.
// An instance that has not heard of the primary since it started knows of no log that was lost before.
constexpr duration unknownLogStandby{30000};
constexpr duration nextQuestionDelay{2}; // Times are told apart by milliseconds.
constexpr duration unsafeRetryTime{1000}; // Pauses in between would keep a primary that is back from serving.
constexpr duration uninformedStandby{2500}; // The others need less for a change of the primary.
constexpr duration idleClaimDelay{1000};
constexpr duration idleClaimSpread{8000}; // Longer than a watch is late, so that few claims meet a record.
constexpr duration fenceSpread{1500}; // One of the instances fences, and the others hear of it.

/** Why the log of a target is lost that is known as @p known now, and was in @p incarnation. */
const char *reasonOfLoss(const known_target *known, std::uint64_t incarnation)
{
    if (known == nullptr) {
        return "unlisted";
    }
    return known->entry.incarnation != incarnation ? "started_again" : "left";
}

}

primary_keeper::primary_keeper(front_context &context,
                               std::shared_ptr<service_group> group,
                               const target_directory &directory,
                               metadata_store &store,
                               promotion_authority &authority,
                               std::string self,
                               data_centre_id dataCentre)
    : m_context(context)
    , m_group(std::move(group))
    , m_directory(directory)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_orders(std::make_shared<promotion_orders>(context, store, authority, m_group->id(), m_self))
{
}

void primary_keeper::start()
{
    m_group->onPrimarySuspected = [weak = weak_from_this()](const char *why) {
        if (const auto self = weak.lock()) {
            self->suspectPrimary(why);
        }
    };
    m_group->onTargetReached = [weak = weak_from_this()](const target_id &target) {
        if (const auto self = weak.lock()) {
            self->recordReached(target);
        }
    };
    m_pauseWatch = std::make_shared<pause_watch>(m_context, m_group, m_orders, [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && (self->m_attempt || self->isClaiming() || self->isFenceRecent());
    });
    recordLostLogs();
    if (m_group->primary()) {
        askPrimary();
    } else {
        suspectPrimary("start");
    }
}

void primary_keeper::askPrimary()
{
    const auto primary = *m_group->primary();
    const auto found = m_group->targets().find(primary);
    if (found == m_group->targets().end()) {
        return; // Its entry has gone, and a late answer has named it.
    }
    found->second->control(
        control_statement::Status, 0, controlLimit, [self = shared_from_this(), primary](const control_reply &reply) {
            self->handleSighting(primary, reply);
            if (!reply.isAnswered) {
                self->suspectPrimary("the primary does not answer");
            }
        });
}

bool primary_keeper::isPrimaryInPlace() const
{
    return m_group->primary() && m_suspectedSince == never;
}

void primary_keeper::askPrimaryNext()
{
    if (!isPrimaryInPlace() || m_primaryQuestion != 0) {
        return;
    }
    m_primaryQuestion = m_context.deadlines.scheduleAfter(nextQuestionDelay, [self = shared_from_this()] {
        self->m_primaryQuestion = 0;
        if (!self->m_isStopped && self->isPrimaryInPlace()) {
            self->askPrimary();
        }
    });
}

bool primary_keeper::isIdle() const
{
    return !m_attempt && !isClaiming() && !hasWork(systemNow()) && !m_orders->isOrderOpen();
}

void primary_keeper::stop()
{
    m_isStopped = true;
    m_group->onPrimarySuspected = nullptr;
    m_group->onTargetReached = nullptr;
    m_context.deadlines.cancel(m_tick);
    m_context.deadlines.cancel(m_fenceCheck);
    m_context.deadlines.cancel(m_primaryQuestion);
    if (m_attempt) {
        m_attempt->cancelWake();
    }
}

duration primary_keeper::shareOf(duration spread) const
{
    const auto share = static_cast<std::int64_t>(std::hash<std::string>()(m_self + m_group->id().str()) % 1000);
    return {share * spread.ms / 1000};
}

void primary_keeper::leaseReported(const std::optional<promotion_lease_record> &record, time_point askedAt)
{
    m_orders->observe(record, askedAt);
    if (const auto attempt = m_attempt) {
        attempt->leaseReported();
    }
    watchOpenOrder();
    if (std::exchange(m_isLeaseKnown, true)) {
        return;
    }
    if (record && record->holder != m_self) {
        return;
    }
    m_context.deadlines.scheduleAfter(idleClaimDelay + shareOf(idleClaimSpread),
                                      [self = shared_from_this()] { self->claimIdleLease(); });
}

void primary_keeper::claimIdleLease()
{
    const bool isTaken = !m_orders->isFree() || m_orders->token() || m_orders->isOrderLeftOpen();
    if (m_isStopped || isClaiming() || m_attempt || isTaken) {
        return;
    }
    m_orders->claimInAdvance();
}

void primary_keeper::watchOpenOrder()
{
    m_context.deadlines.cancel(m_fenceCheck);
    if (m_isStopped || !m_orders->isOrderLeftOpen()) {
        m_isFenceDue = false;
        return;
    }
    const auto at = m_orders->leaseEndsAt() + shareOf(fenceSpread);
    m_fenceCheck = m_context.deadlines.schedule(at, [self = shared_from_this()] {
        self->m_fenceCheck = 0;
        self->m_isFenceDue = self->m_orders->isOrderLeftOpen();
        self->scheduleTick({});
    });
}

void primary_keeper::resume(const target_id &target, const char *why)
{
    const auto found = m_group->targets().find(target);
    if (found != m_group->targets().end()) {
        m_context.log.info("pause_lifted")
            .field("service", m_group->id().str())
            .field("target", target.str())
            .field("why", why);
        found->second->control(control_statement::Resume, 0, controlLimit, [](const control_reply &) {});
    }
}

void primary_keeper::resumePaused()
{
    if (m_orders->openTarget()) {
        return; // Its lead ends the pauses.
    }
    // A command that was carried out just before the fence still takes effect. While its target alone receives, that
    // one holds whatever is acknowledged until then.
    if (m_lastOrdered) {
        resume(*m_lastOrdered, "fence");
    }
    m_context.deadlines.scheduleAfter(promotionTime, [self = shared_from_this()] {
        if (!self->m_isStopped && !self->m_attempt) { // An attempt ends the pauses that it finds.
            self->m_isResumeDue = true;
        }
        self->settleOrders();
    });
}

std::optional<target_id> primary_keeper::orderedTarget() const
{
    const auto named = m_orders->openTarget();
    if (!named) {
        return m_sightings.onlyUnpausedReplica();
    }
    const auto found = m_group->targets().find(*named);
    const auto now = systemNow();
    const bool isUsable =
        found != m_group->targets().end() && !found->second->isFailing(now) && !found->second->isSilent(now);
    return isUsable ? named : std::nullopt;
}

void primary_keeper::orderEnded()
{
    if (m_isStopped || m_attempt || m_orders->isOrderOpen()) {
        return;
    }
    m_context.log.info("orders_ended")
        .field("service", m_group->id().str())
        .field("lease", m_orders->describe(systemNow()));
    m_isResumeDue = true;
    settleOrders();
}

void primary_keeper::resumeAll()
{
    for (const auto &[id, pool] : m_group->targets()) {
        if (id != m_group->primary()) {
            resume(id, "order_ended");
        }
    }
}

void primary_keeper::endOrdersOfGone()
{
    // One that was never listed here may live: its entry may have lapsed before.
    for (const auto &[id, known] : m_directory.targets()) {
        if (known.entry.service == m_group->id()) {
            m_listedOnce.insert(id);
        }
    }
    const auto isGone = [this](const target_id &id) {
        return m_listedOnce.contains(id) && m_directory.find(id) == nullptr;
    };
    if (m_orders->endOrdersOfGone(isGone)) {
        orderEnded();
    }
}

bool primary_keeper::isClaiming() const
{
    return m_isRefreshing || m_orders->isBusy();
}

void primary_keeper::directoryChanged()
{
    m_sightings.keepOnly([&](const target_id &id) { return m_group->targets().contains(id); });
    recordLostLogs();
    endOrdersOfGone();
    if (m_attempt) {
        m_attempt->membersChanged(presentMembers());
    }
    const auto now = systemNow();
    if (isPrimaryDraining()) {
        if (m_drainingSince == never) {
            m_drainingSince = now;
        }
        scheduleTick({});
    } else {
        m_drainingSince = never;
    }
    for (const auto &[id, pool] : m_group->targets()) {
        if (pool->entry().claimsPrimary && m_group->primary() != id) {
            // The entry may be older than what this instance knows; the survey decides.
            suspectPrimary("another target claims to be primary");
        }
    }
}

void primary_keeper::suspectPrimary(const char *)
{
    if (m_isStopped) {
        return;
    }
    if (m_suspectedSince == never) {
        m_suspectedSince = systemNow();
        // A change that is being claimed begins from what was seen when it was decided.
        if (!isClaiming()) {
            m_sightings.discardReplies();
        }
    }
    if (m_tick == 0) {
        scheduleTick({});
    }
}

bool primary_keeper::isCutOff(time_point now) const
{
    return m_suspectedSince != never && m_sightings.areMostTargetsUnreachable(now);
}

void primary_keeper::scheduleTick(duration delay)
{
    if (m_isStopped) {
        return;
    }
    m_context.deadlines.cancel(m_tick);
    m_tick = m_context.deadlines.scheduleAfter(delay, [self = shared_from_this()] {
        self->m_tick = 0;
        self->tick();
    });
}

bool primary_keeper::hasWork(time_point) const
{
    return m_suspectedSince != never || m_drainingSince != never || m_orders->hasOwnOrderOpen() || m_isFenceDue;
}

void primary_keeper::tick()
{
    const auto now = systemNow();
    // While a claim waits for the store, another instance may change the primary.
    if (m_isStopped || m_attempt || !hasWork(now)) {
        return;
    }
    surveyAll();
    const bool isLasting = m_suspectedSince != never && now - m_suspectedSince > lastingSuspicion;
    scheduleTick(isLasting ? lastingSurveyInterval : surveyInterval);
}

void primary_keeper::surveyAll()
{
    const auto pools = m_group->targets(); // The answers may change the group.
    for (const auto &[id, pool] : pools) {
        if (!m_sightings.beginQuery(id)) {
            continue;
        }
        pool->control(control_statement::Status,
                      0,
                      controlLimit,
                      [self = shared_from_this(), id = id](const control_reply &reply) {
                          self->handleSighting(id, reply);
                          self->judge();
                      });
    }
}

void primary_keeper::handleSighting(const target_id &target, const control_reply &reply)
{
    if (!m_group->targets().contains(target)) {
        return;
    }
    m_sightings.recordReply(target, reply.isAnswered, reply.report, systemNow());
    if (!reply.isAnswered) {
        onMissed();
    }
    if (!reply.report) {
        return;
    }
    recordSeenLog(target, *reply.report, reply.askedAt);
    if (reply.report->isPrimary) {
        if (m_lastPrimary != target || m_primaryTerm < reply.report->term) {
            tellLead(target, *reply.report);
        }
        m_lastPrimary = target;
        m_primaryTerm = reply.report->term;
        m_group->recordPrimary(target, std::nullopt, reply.askedAt);
        m_group->acknowledged().recordPrimary(target, reply.report->term, reply.report->received, reply.askedAt);
        if (m_orders->targetLeads(target, reply.askedAt)) {
            orderEnded();
        }
    } else if (m_group->primary() == target) {
        m_group->recordNotPrimary(target, "it answers as replica");
    }
}

void primary_keeper::tellLead(const target_id &target, const replication_report &report) const
{
    m_context.log.info("primary_seen")
        .field("service", m_group->id().str())
        .field("leader", target.str())
        .field("term", static_cast<std::int64_t>(report.term))
        .field("log", toString(report.received))
        .field("lease", m_orders->describe(systemNow()));
}

void primary_keeper::judge()
{
    const auto now = systemNow();
    if (m_isStopped || m_attempt || isClaiming() || !hasWork(now)) {
        return;
    }
    const bool hasPrimary = m_sightings.hasPrimary();
    m_context.log.debug("primary_judged")
        .field("service", m_group->id().str())
        .field("has_primary", hasPrimary ? 1 : 0)
        .field("trouble_ms", (now - m_suspectedSince).ms)
        .field("may_claim", m_orders->mayClaim(now, m_suspectedSince) ? 1 : 0)
        .field("seen", m_sightings.describe(now));
    const auto seen = situation(now);
    tellHeldBack(seen);
    if (!seen.hasPrimary && seen.isPrimaryLost && !seen.isLogKnown) {
        confirmLogs(now);
    }
    switch (nextPrimaryStep(seen)) {
    case primary_step::PlannedChange:
        begin(promotion_reason::PrimaryDraining);
        return;
    case primary_step::FenceOpenOrder:
        fenceOpenOrder(*m_group->primary());
        return;
    case primary_step::ReplaceStalled:
        begin(promotion_reason::PrimaryStalled);
        return;
    case primary_step::ReplaceLost:
        begin(promotion_reason::PrimaryLost);
        return;
    case primary_step::None:
        break;
    }
    if (hasPrimary && !isPrimaryStalled(now)) {
        m_suspectedSince = never;
    }
    if (hasWork(now) && m_tick == 0) {
        scheduleTick(surveyInterval);
    }
}

void primary_keeper::tellHeldBack(const primary_situation &seen)
{
    const bool isHeldBack = !seen.hasPrimary && seen.isPrimaryLost && !seen.isLogKnown;
    if (isHeldBack == std::exchange(m_isHeldBack, isHeldBack) || !isHeldBack) {
        return;
    }
    m_context.log.warn("promotion_held_back")
        .field("service", m_group->id().str())
        .field("why", "a log is lost or in doubt, and the primary has not answered since")
        .field("in_doubt", static_cast<std::int64_t>(m_group->acknowledged().logsInDoubt().size()))
        .field("required", toString(m_group->acknowledged().required()));
}

primary_situation primary_keeper::situation(time_point now) const
{
    primary_situation result;
    result.hasPrimary = m_sightings.hasPrimary();
    result.isPrimaryDraining = isPrimaryDraining();
    result.isPrimaryStalled = isPrimaryStalled(now);
    result.isPrimaryLost = m_sightings.isPrimaryLost(now, m_suspectedSince);
    result.isLogKnown = isLogKnown();
    // Pauses that this instance has left are of an attempt whose retry is due; it holds the lease.
    result.isOthersChange = !m_orders->isHeldHere() && m_sightings.isPrimaryChangeInProgress(now);
    result.isSurveyComplete = m_sightings.isSurveyComplete();
    result.isOrderOpen = m_orders->isOrderOpen();
    result.isOrderedTargetKnown = orderedTarget().has_value();
    const auto named = m_orders->openTarget();
    result.isOrderedTargetNamed = named && named != m_group->primary();
    result.isFenceOfUse = m_orders->isFenceOfUse();
    result.mayBePromoting = isFenceRecent();
    // Another instance that has claimed since may order as well; its orders fence the open one.
    result.mayFence = m_group->primary() && m_orders->mayClaim(now, m_suspectedSince);
    result.isRetryDue = now >= m_retryAt;
    return result;
}

bool primary_keeper::mayActWithoutStore() const
{
    if (!m_orders->token() || !m_lastPrimary || m_primaryTerm == 0) {
        return false;
    }
    // Others may have acted with targets that this instance has not heard of; a newer term would show it.
    return m_sightings.areOthersUnchanged(*m_lastPrimary, m_primaryTerm);
}

bool primary_keeper::isKnownGone(const target_id &target) const
{
    const auto *known = m_directory.find(target);
    const auto found = m_group->targets().find(target);
    if (known == nullptr || found == m_group->targets().end()) {
        return true;
    }
    if (!known->removedAt) {
        return false;
    }
    const auto &pool = *found->second;
    if (pool.isReplaced()) {
        return true;
    }
    // One that crashed comes back with its log. A cut may hide, or answer for, everything behind it, so that an address
    // without an answer tells only where others are reached.
    const auto since = pool.unreachableSince();
    const bool isAway = pool.isNobodyListening() || (since != never && systemNow() - since >= departureTime);
    return known->drainingSince && isAway && isAnswering(known->entry.dataCentre);
}

void primary_keeper::checkPauses()
{
    const bool isChanging = m_attempt || hasWork(systemNow());
    if (m_isStopped || isChanging || !m_group->primary() || m_group->policy().syncReplicas == 0) {
        return;
    }
    m_pauseWatch->check();
}

bool primary_keeper::isPrimaryStalled(time_point now) const
{
    const auto &primary = m_group->primary();
    const auto found = primary ? m_group->targets().find(*primary) : m_group->targets().end();
    if (found == m_group->targets().end() || m_group->policy().syncReplicas == 0) {
        return false;
    }
    const auto since = m_group->oldestOpenWrite();
    return since != never && now - since >= stallTime && m_group->lastWriteAckedAt() < since;
}

bool primary_keeper::isPrimaryDraining() const
{
    const auto &primary = m_group->primary();
    const auto *known = primary ? m_directory.find(*primary) : nullptr;
    return known != nullptr && known->drainingSince.has_value();
}

void primary_keeper::begin(promotion_reason reason)
{
    const auto now = systemNow();
    const bool isDraining = reason == promotion_reason::PrimaryDraining && m_drainingSince != never;
    const auto since = isDraining ? m_drainingSince : m_suspectedSince;
    if (!m_orders->mayClaim(now, since) || isOthersTurn(reason, now)) {
        scheduleTick(surveyInterval);
        return;
    }
    claimThenStart(reason);
}

bool primary_keeper::isOthersTurn(promotion_reason reason, time_point now) const
{
    // Without knowing the lost primary every target has to be seen, also the one that is lost.
    const bool isPrimaryKnown = m_group->provedPrimary() || m_lastPrimary;
    return reason == promotion_reason::PrimaryLost && !isPrimaryKnown && now - m_suspectedSince < uninformedStandby;
}

void primary_keeper::claimThenStart(promotion_reason reason)
{
    if (isStoreAway()) {
        // A claim would only find out again what the feed has just found out.
        handleClaim(claim_result::StoreAway, reason);
        return;
    }
    m_orders->claim(promotionReasonNames.name(reason).data(),
                    [self = shared_from_this(), reason](claim_result result) { self->handleClaim(result, reason); });
}

void primary_keeper::handleClaim(claim_result result, promotion_reason reason)
{
    if (result == claim_result::Claimed) {
        refreshThenStart(reason);
        return;
    }
    if (result == claim_result::StoreAway) {
        if (mayActWithoutStore()) {
            askInstancesThenStart(reason);
            return;
        }
        m_retryAt = systemNow() + retryTime;
    }
    scheduleTick(surveyInterval);
}

void primary_keeper::refreshThenStart(promotion_reason reason)
{
    m_isRefreshing = true;
    refreshDirectory([self = shared_from_this(), reason](bool isFresh) {
        self->m_isRefreshing = false;
        if (isFresh && !self->m_orders->isClaimStale(systemNow())) {
            self->startAttempt(reason);
            return;
        }
        self->m_retryAt = systemNow() + retryTime;
        self->scheduleTick(surveyInterval);
    });
}

void primary_keeper::askInstancesThenStart(promotion_reason reason)
{
    // Also before the pauses, which would stop a primary that serves the other instances.
    m_isRefreshing = true;
    askInstances([self = shared_from_this(), reason](const std::vector<std::optional<instance_knowledge>> &answers) {
        self->m_isRefreshing = false;
        const bool isAllowed = self->refusalWithoutStore(answers).empty();
        if (isAllowed && self->mayActWithoutStore()) {
            self->startAttempt(reason);
            return;
        }
        self->m_retryAt = systemNow() + unsafeRetryTime;
        self->scheduleTick(surveyInterval);
    });
}

std::string primary_keeper::refusalWithoutStore(const std::vector<std::optional<instance_knowledge>> &answers)
{
    recordLostLogs();
    const auto verdict = judgeWithoutStore(answers, m_incarnations, systemNow() - m_suspectedSince);
    m_context.log.info("instances_asked")
        .field("service", m_group->id().str())
        .field("instances", static_cast<std::int64_t>(answers.size()))
        .field("verdict", standaloneVerdictNames.name(verdict))
        .field("committed", toString(highestCommit(answers)));
    if (verdict != standalone_verdict::Allowed) {
        return "without the store: " + std::string(standaloneVerdictNames.name(verdict));
    }
    m_group->recordCommit(highestCommit(answers));
    m_group->recordUnrecordedCommand(systemNow());
    return {};
}

void primary_keeper::describe(std::function<void(const instance_knowledge &)> done)
{
    if (isStoreAway()) {
        // The one that asks may promote with nothing in the lease that tells of it.
        m_group->recordUnrecordedCommand(systemNow());
    }
    const auto primary = m_group->primary();
    const auto found = primary ? m_group->targets().find(*primary) : m_group->targets().end();
    if (found == m_group->targets().end()) {
        done(knowledge());
        return;
    }
    found->second->control(
        control_statement::Status,
        0,
        controlLimit,
        [self = shared_from_this(), primary = *primary, done = std::move(done)](const control_reply &reply) {
            self->handleSighting(primary, reply);
            done(self->knowledge());
        });
}

instance_knowledge primary_keeper::knowledge() const
{
    instance_knowledge known;
    known.isStoreAway = isStoreAway();
    if (m_group->primaryProvedAt() != never) {
        known.primaryAnsweredAgo = systemNow() - m_group->primaryProvedAt();
    }
    known.committed = m_group->acknowledged().committed();
    known.incarnations = m_incarnations;
    return known;
}

void primary_keeper::startAttempt(promotion_reason reason)
{
    const bool isChoiceRestricted = reason == promotion_reason::PrimaryDraining && m_orders->isOrderOpen();
    const auto onlyChoice = isChoiceRestricted ? orderedTarget() : std::nullopt;
    if (isChoiceRestricted && !onlyChoice) {
        scheduleTick(surveyInterval);
        return;
    }
    recordLostLogs();
    auto members = presentMembers();
    const auto primary = m_group->provedPrimary() ? m_group->provedPrimary() : m_lastPrimary;
    m_context.log.info("promotion_started")
        .field("service", m_group->id().str())
        .field("reason", promotionReasonNames.name(reason))
        .field("leader", primary ? primary->str() : "none")
        .field("members", static_cast<std::int64_t>(members.size()))
        .field("token", static_cast<std::int64_t>(m_orders->token().value_or(0)))
        .field("trouble_ms", (systemNow() - m_suspectedSince).ms);
    promotion_attempt attempt(reason, primary, std::move(members), m_group->policy().syncReplicas > 0, systemNow());
    if (onlyChoice) {
        attempt.restrictChoice(*onlyChoice);
    }
    m_werePausesKept = m_orders->isOrderOpen();
    if (m_werePausesKept) {
        attempt.keepPauses();
    }
    run(std::move(attempt));
}

void primary_keeper::recordLostLogs()
{
    const auto now = systemNow();
    bool isAnyLost = false;
    for (auto it = m_incarnations.begin(); it != m_incarnations.end();) {
        const auto *known = m_directory.find(it->first);
        const bool isKept = known != nullptr && known->entry.incarnation == it->second && !isKnownGone(it->first);
        if (isKept) {
            ++it;
            continue;
        }
        m_group->acknowledged().recordLostLog(it->first, now);
        tellLostLog(it->first, reasonOfLoss(known, it->second));
        it = m_incarnations.erase(it);
        isAnyLost = true;
    }
    for (const auto &member : presentMembers()) {
        m_incarnations.emplace(member.id, member.incarnation);
    }
    if (isAnyLost) {
        askPrimaryNext();
    }
}

void primary_keeper::tellLostLog(const target_id &target, const char *why) const
{
    m_context.log.info("log_lost")
        .field("service", m_group->id().str())
        .field("target", target.str())
        .field("why", why)
        .field("required", toString(m_group->acknowledged().required()));
}

void primary_keeper::recordReached(const target_id &target)
{
    if (!m_incarnations.contains(target)) {
        return; // Nothing is known of its log that it could have lost.
    }
    m_group->acknowledged().recordLogInDoubt(target, systemNow());
    askPrimaryNext();
}

void primary_keeper::recordSeenLog(const target_id &target, const replication_report &report, time_point askedAt)
{
    const auto now = systemNow();
    const bool isLost =
        !report.isPrimary && m_group->acknowledged().recordSeen(target, report.term, report.received, askedAt, now);
    if (!isLost) {
        return;
    }
    tellLostLog(target, "shorter");
    askPrimaryNext();
}

void primary_keeper::confirmLogs(time_point now)
{
    if (isStoreAway()) {
        m_storeSeenAwayAt = now;
        return;
    }
    const auto &inDoubt = m_group->acknowledged().logsInDoubt();
    const bool isAnyDue = std::any_of(inDoubt.begin(), inDoubt.end(), [&](const auto &doubt) {
        return now - doubtCountsFrom(doubt.second) >= entryLifetime;
    });
    if (!isAnyDue) {
        return;
    }
    m_isRefreshing = true;
    refreshDirectory([self = shared_from_this(), askedAt = now](bool isFresh) {
        self->m_isRefreshing = false;
        if (isFresh) {
            self->recordKeptLogs(askedAt);
        }
        self->scheduleTick(surveyInterval);
    });
}

time_point primary_keeper::doubtCountsFrom(time_point since) const
{
    // While the store is away entries neither change nor lapse as they should.
    return std::max({since, m_suspectedSince, m_storeSeenAwayAt});
}

void primary_keeper::recordKeptLogs(time_point listAskedAt)
{
    recordLostLogs();
    const auto inDoubt = m_group->acknowledged().logsInDoubt();
    for (const auto &[id, since] : inDoubt) {
        const auto *known = m_directory.find(id);
        const bool isListed = known != nullptr && !known->removedAt;
        // One that had started again would have replaced its entry by now, or lost it.
        if (isListed && m_incarnations.contains(id) && listAskedAt - doubtCountsFrom(since) >= entryLifetime) {
            m_group->acknowledged().recordLogKept(id);
            m_context.log.info("log_kept").field("service", m_group->id().str()).field("target", id.str());
        }
    }
}

bool primary_keeper::isLogKnown() const
{
    if (m_group->policy().syncReplicas == 0) {
        return true;
    }
    const auto &log = m_group->acknowledged();
    const bool isStandbyOver = m_suspectedSince != never && systemNow() - m_suspectedSince >= unknownLogStandby;
    return log.isCovered(m_sightings.newestTerm()) || (log.isEmpty() && isStandbyOver);
}

std::optional<position> primary_keeper::requiredLog() const
{
    return isLogKnown() ? std::optional(m_group->acknowledged().required()) : std::nullopt;
}

std::vector<promotion_member> primary_keeper::presentMembers() const
{
    std::vector<promotion_member> members;
    for (const auto &[id, known] : m_directory.targets()) {
        if (known.entry.service != m_group->id() || isKnownGone(id)) {
            continue;
        }
        members.push_back({id,
                           known.drainingSince.has_value(),
                           known.entry.isWarmingUp,
                           known.entry.dataCentre == m_dataCentre,
                           known.entry.incarnation});
    }
    return members;
}

void primary_keeper::run(promotion_attempt attempt)
{
    const auto weak = weak_from_this();
    promotion_surroundings surroundings;
    surroundings.isStoreAway = [weak] {
        const auto self = weak.lock();
        return !self || self->isStoreAway();
    };
    surroundings.mayActWithoutStore = [weak] {
        const auto self = weak.lock();
        return self && self->mayActWithoutStore();
    };
    surroundings.isKnownGone = [weak](const target_id &target) {
        const auto self = weak.lock();
        return self && self->isKnownGone(target);
    };
    surroundings.refreshMembers = refreshDirectory;
    surroundings.confirmWithoutStore = [weak](std::function<void(std::string)> done) {
        if (const auto self = weak.lock()) {
            self->askInstances([weak, done = std::move(done)](const auto &answers) {
                const auto asking = weak.lock();
                done(asking ? asking->refusalWithoutStore(answers) : "stopped");
            });
        }
    };
    surroundings.requiredLog = [weak] {
        const auto self = weak.lock();
        if (!self) {
            return std::optional<position>();
        }
        self->recordLostLogs(); // A member may just have been found to be gone.
        return self->requiredLog();
    };
    surroundings.onEnded = [weak](const promotion_attempt &ended) {
        if (const auto self = weak.lock()) {
            self->finishAttempt(ended);
        }
    };
    m_attempt =
        std::make_shared<promotion_run>(m_context, m_group, m_orders, std::move(attempt), std::move(surroundings));
    const auto running = m_attempt; // It may end at once.
    running->start();
}

void primary_keeper::fenceOpenOrder(const target_id &primary)
{
    m_orders->fence(
        primary,
        [group = m_group, primary] { return group->primary() == primary; },
        [self = shared_from_this()](bool isFenced) {
            if (isFenced) {
                self->m_fencedAt = systemNow();
                self->resumePaused();
            }
            self->watchOpenOrder();
            self->m_retryAt = systemNow() + retryTime;
            self->scheduleTick(surveyInterval);
        });
}

bool primary_keeper::isFenceRecent() const
{
    return m_fencedAt != never && systemNow() - m_fencedAt < promotionTime;
}

void primary_keeper::settleOrders()
{
    if (!isFenceRecent() && !std::exchange(m_isResumeDue, false)) {
        m_orders->settle([](bool) {});
        return;
    }
    if (!isFenceRecent()) {
        m_orders->settleAndConfirm([self = shared_from_this()](bool isSettled) { self->handleSettled(isSettled); });
        return;
    }
    m_context.deadlines.schedule(m_fencedAt + promotionTime, [self = shared_from_this()] {
        if (!self->m_isStopped && !self->m_attempt) {
            self->settleOrders();
        }
    });
}

void primary_keeper::handleSettled(bool isSettled)
{
    if (m_isStopped || m_attempt) {
        return; // An attempt ends the pauses that it finds.
    }
    if (isSettled) {
        resumeAll();
        return;
    }
    // An order that is open again, or another holder, ends the pauses in its own time.
    if (!m_orders->isHeldHere() || m_orders->isOrderOpen()) {
        return;
    }
    m_isResumeDue = true;
    m_context.deadlines.scheduleAfter(unsafeRetryTime, [self = shared_from_this()] {
        if (self->m_isResumeDue && !self->m_isStopped && !self->m_attempt) {
            self->settleOrders();
        }
    });
}

void primary_keeper::finishAttempt(const promotion_attempt &attempt)
{
    m_attempt.reset();
    const auto outcome = attempt.result();
    m_context.metrics.promotionEnded(attemptOutcomeNames.name(outcome));
    m_context.log.info("promotion_ended")
        .field("service", m_group->id().str())
        .field("outcome", attemptOutcomeNames.name(outcome))
        .field("chosen", attempt.chosen() ? attempt.chosen()->str() : "none")
        .field("why", attempt.explanation())
        .field("trouble_ms", (systemNow() - m_suspectedSince).ms);
    if (outcome == attempt_outcome::Unanswered) {
        m_lastOrdered = attempt.chosen();
    } else if (outcome == attempt_outcome::Promoted) {
        m_lastOrdered.reset();
    }
    m_sightings.discardReplies();
    if (outcome == attempt_outcome::Promoted || outcome == attempt_outcome::PrimaryFound) {
        m_lastPrimary = attempt.chosen();
        m_primaryTerm = attempt.primaryTerm();
        m_group->setPrimary(*attempt.chosen(), "promotion");
        m_group->recordPrimary(*attempt.chosen(), std::nullopt, systemNow());
        m_suspectedSince = never;
    }
    if (outcome == attempt_outcome::Promoted || outcome == attempt_outcome::PrimaryFound) {
        askPrimary();
    }
    if (outcome == attempt_outcome::Promoted) {
        m_orders->targetLeads(*attempt.chosen(), systemNow());
    }
    const bool wereOrdersOpen = std::exchange(m_werePausesKept, false);
    if (wereOrdersOpen) {
        orderEnded();
    } else {
        settleOrders();
    }
    m_drainingSince = isPrimaryDraining() ? systemNow() : never;
    const bool isUnsafe = outcome == attempt_outcome::NotSafe && attempt.reason() == promotion_reason::PrimaryLost;
    m_retryAt = systemNow() + (isUnsafe ? unsafeRetryTime : retryTime);
    scheduleTick(retryTime);
}

}
