#include "promotionorders.h"

#include "systemclock.h"

#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration longestConfirmation{1000}; // Shorter than the time after which another instance may claim.

promotion_lease_record recordOf(const promotion_lease_update &update)
{
    return {update.holder, update.revision, update.purpose, update.openSince, update.targets};
}

}

promotion_orders::promotion_orders(front_context &context,
                                   metadata_store &store,
                                   promotion_authority &authority,
                                   service_id service,
                                   std::string self)
    : m_context(context)
    , m_store(store)
    , m_authority(authority)
    , m_service(std::move(service))
    , m_self(std::move(self))
    , m_lease(m_self)
{
}

void promotion_orders::observe(const std::optional<promotion_lease_record> &record, time_point askedAt)
{
    if (!record) {
        return;
    }
    const bool isNewer = !m_lease.currentRevision() || record->revision > *m_lease.currentRevision();
    m_lease.observe(*record, askedAt);
    if (isNewer && record->holder != m_self) {
        m_open.handOver();
    }
}

bool promotion_orders::isHeldHere() const
{
    return m_lease.isHeldHere();
}

bool promotion_orders::isFree() const
{
    return !m_lease.currentRevision() || m_lease.isHeldHere();
}

bool promotion_orders::mayClaim(time_point now, time_point suspectedSince) const
{
    return m_lease.mayClaim(now, suspectedSince);
}

std::optional<std::uint64_t> promotion_orders::token() const
{
    return m_lease.fencingToken();
}

bool promotion_orders::isClaimStale(time_point now) const
{
    return m_lease.isClaimStale(now);
}

bool promotion_orders::isBusy() const
{
    return m_isBusy;
}

bool promotion_orders::isOrderOpen() const
{
    return !m_open.isEmpty() || m_lease.isForeignPromotionPending();
}

bool promotion_orders::hasOwnOrderOpen() const
{
    return !m_open.isEmpty();
}

bool promotion_orders::isOrderLeftOpen() const
{
    return m_lease.isForeignPromotionPending();
}

time_point promotion_orders::leaseEndsAt() const
{
    return m_lease.leaseEndsAt();
}

std::string promotion_orders::describe(time_point now) const
{
    return m_lease.describe(now) + ", own orders open: " + m_open.describe();
}

bool promotion_orders::targetLeads(const target_id &target, time_point askedAt)
{
    return m_open.targetLeads(target, askedAt);
}

bool promotion_orders::endOrdersOfGone(const std::function<bool(const target_id &)> &isGone)
{
    return m_open.endGone(isGone);
}

bool promotion_orders::isFenceOfUse() const
{
    return m_open.isFenceOfUse() || m_lease.isForeignPromotionPending();
}

std::optional<target_id> promotion_orders::openTarget() const
{
    const auto left = m_lease.isForeignPromotionPending() ? m_lease.targets() : std::nullopt;
    const bool isAnyLeft = left && !left->empty();
    return isAnyLeft ? std::optional(left->front()) : m_open.target();
}

void promotion_orders::claimInAdvance()
{
    claimQuiet([](bool) {});
}

void promotion_orders::claimQuiet(std::function<void(bool)> done)
{
    const auto sentAt = systemNow();
    const auto purpose = m_lease.purposeForAdvanceClaim();
    m_recordedTarget.reset();
    m_store.claimPromotionLease(
        m_service,
        {m_self, purpose, 0, std::nullopt},
        m_lease.currentRevision(),
        [self = shared_from_this(), sentAt, purpose, done = std::move(done)](const promotion_lease_update &update) {
            self->logClaim("in_advance", update);
            if (update.failure == store_failure::None) {
                self->m_lease.claimAccepted(update.revision, purpose, sentAt, 0);
            } else if (update.failure == store_failure::Conflict) {
                self->observe(recordOf(update), sentAt);
            }
            // A machine that was suspended meanwhile knows nothing of the present.
            done(update.failure == store_failure::None && !self->isClaimStale(systemNow()));
        });
}

void promotion_orders::claim(const char *reason, std::function<void(claim_result)> done)
{
    m_isBusy = true;
    claimForOrder(m_lease.currentRevision(),
                  std::nullopt,
                  [self = shared_from_this(), reason, done = std::move(done)](claim_result result,
                                                                              const promotion_lease_update &update) {
                      self->m_isBusy = false;
                      self->logClaim(reason, update);
                      done(result);
                  });
}

void promotion_orders::logClaim(const char *reason, const promotion_lease_update &update) const
{
    m_context.log.info("duty_claim")
        .field("service", m_service.str())
        .field("reason", reason)
        .field("outcome", storeFailureNames.name(update.failure))
        .field("holder", update.holder)
        .field("revision", static_cast<std::int64_t>(update.revision));
}

void promotion_orders::renew(std::optional<std::uint64_t> replaces,
                             const target_id &target,
                             std::function<void(claim_result)> done)
{
    claimForOrder(replaces, target, [done = std::move(done)](claim_result result, const promotion_lease_update &) {
        done(result);
    });
}

std::optional<std::vector<target_id>> promotion_orders::targetsForClaim(const std::optional<target_id> &next) const
{
    auto targets = m_open.targets();
    if (m_lease.isForeignPromotionPending()) {
        const auto left = m_lease.targets();
        if (!left && (!targets || targets->empty())) {
            targets.reset();
        } else if (left) {
            targets = targets.value_or(std::vector<target_id>());
            targets->insert(targets->end(), left->begin(), left->end());
        }
    }
    if (next) {
        targets = targets.value_or(std::vector<target_id>());
        targets->push_back(*next);
    }
    return targets;
}

void promotion_orders::claimForOrder(std::optional<std::uint64_t> replaces,
                                     const std::optional<target_id> &target,
                                     std::function<void(claim_result, const promotion_lease_update &)> done)
{
    const auto sentAt = systemNow();
    const bool isTakingOver = m_lease.isForeignPromotionPending();
    const auto openSince = m_lease.openSinceForClaim(!m_open.isEmpty());
    const auto targets = targetsForClaim(target);
    m_recordedTarget.reset();
    m_store.claimPromotionLease(
        m_service,
        {m_self, promotion_lease_purpose::Promotion, openSince, targets},
        replaces,
        [self = shared_from_this(),
         sentAt,
         isTakingOver,
         openSince,
         targets,
         target,
         left = m_lease.targets(),
         done = std::move(done)](const promotion_lease_update &update) {
            switch (update.failure) {
            case store_failure::None:
                if (isTakingOver) {
                    self->m_open.leftOpen(left);
                }
                self->m_recordedTarget = target;
                self->m_lease.claimAccepted(
                    update.revision, promotion_lease_purpose::Promotion, sentAt, openSince, targets);
                done(claim_result::Claimed, update);
                return;
            case store_failure::Conflict:
                self->observe(recordOf(update), systemNow());
                done(claim_result::TakenByAnother, update);
                return;
            case store_failure::NotFound:
                self->m_lease.observeAbsent();
                done(claim_result::TakenByAnother, update);
                return;
            default:
                done(claim_result::StoreAway, update);
                return;
            }
        });
}

bool promotion_orders::maySettle() const
{
    return !m_isBusy && m_open.isEmpty() && !m_lease.isForeignPromotionPending();
}

void promotion_orders::settle(std::function<void(bool)> done)
{
    if (maySettle() && m_lease.isOwnPromotionPending()) {
        writeSettled(std::move(done));
        return;
    }
    done(maySettle());
}

void promotion_orders::settleAndConfirm(std::function<void(bool)> done)
{
    if (!maySettle() || m_lease.isOwnPromotionPending()) {
        settle(std::move(done));
        return;
    }
    if (!m_lease.mayClaim(systemNow(), never)) {
        done(false); // Another instance holds it, and ends the pauses in time.
        return;
    }
    claimQuiet(std::move(done));
}

void promotion_orders::writeSettled(std::function<void(bool)> done)
{
    const auto sentAt = systemNow();
    m_recordedTarget.reset();
    m_store.claimPromotionLease(
        m_service,
        {m_self, promotion_lease_purpose::Settled, 0, std::nullopt},
        m_lease.fencingToken(),
        [self = shared_from_this(), sentAt, done = std::move(done)](const promotion_lease_update &update) {
            self->m_context.log.info("duty_settled")
                .field("service", self->m_service.str())
                .field("outcome", storeFailureNames.name(update.failure))
                .field("revision", static_cast<std::int64_t>(update.revision));
            if (update.failure == store_failure::None) {
                self->m_lease.settlementAccepted(update.revision);
            } else if (update.failure == store_failure::Conflict) {
                self->observe(recordOf(update), systemNow());
            }
            // Without an answer others fence what they must take for open, which changes nothing. A machine that was
            // suspended meanwhile knows nothing of the present.
            done(update.failure == store_failure::None && systemNow() - sentAt < longestConfirmation);
        });
}

void promotion_orders::send(const target_id &target, const std::string &why, std::function<void(promotion_answer)> done)
{
    const auto token = *m_lease.fencingToken();
    m_open.sent({target, token, systemNow(), false, m_recordedTarget == target});
    m_context.log.info("promotion_ordered")
        .field("service", m_service.str())
        .field("target", target.str())
        .field("token", static_cast<std::int64_t>(token))
        .field("why", why);
    m_authority.promote(m_service,
                        target,
                        m_self,
                        token,
                        [self = shared_from_this(), target, token, done = std::move(done)](promotion_answer answer,
                                                                                           const std::string &detail) {
                            self->m_context.log.info("promotion_answer")
                                .field("service", self->m_service.str())
                                .field("target", target.str())
                                .field("token", static_cast<std::int64_t>(token))
                                .field("answer", promotionAnswerNames.name(answer))
                                .field("detail", detail);
                            switch (answer) {
                            case promotion_answer::Accepted:
                                self->m_open.accepted(token);
                                break;
                            case promotion_answer::Refused:
                                self->m_open.refused(token);
                                // Before the token goes: the record names a target that was not ordered.
                                self->settle([](bool) {});
                                self->m_lease.tokenRejected(token);
                                break;
                            case promotion_answer::TurnedAway:
                                self->m_open.refused(token);
                                break;
                            case promotion_answer::Unanswered:
                                break;
                            }
                            done(answer);
                        });
}

void promotion_orders::fence(const target_id &primary,
                             std::function<bool()> isStillPrimary,
                             std::function<void(bool)> done)
{
    m_isBusy = true;
    claimForOrder(
        m_lease.currentRevision(),
        std::nullopt,
        [self = shared_from_this(), primary, isStillPrimary = std::move(isStillPrimary), done = std::move(done)](
            claim_result result, const promotion_lease_update &) {
            if (result == claim_result::TakenByAnother) {
                // The record told the newer holder that an order may be open.
                self->m_open.handOver();
            }
            if (result != claim_result::Claimed || !isStillPrimary()) {
                self->m_isBusy = false;
                done(false);
                return;
            }
            self->sendFence(primary, done);
        });
}

void promotion_orders::sendFence(const target_id &primary, std::function<void(bool)> done)
{
    const auto token = *m_lease.fencingToken();
    m_authority.promote(m_service,
                        primary,
                        m_self,
                        token,
                        [self = shared_from_this(), primary, token, done = std::move(done)](promotion_answer answer,
                                                                                            const std::string &detail) {
                            const bool isFenced = answer == promotion_answer::Accepted;
                            self->m_isBusy = false;
                            if (isFenced) {
                                self->m_open.fenced();
                            } else if (answer == promotion_answer::Unanswered) {
                                self->m_open.sent({primary, token, systemNow(), false, false});
                            }
                            self->m_context.log.info("promotion_superseded")
                                .field("service", self->m_service.str())
                                .field("leader", primary.str())
                                .field("token", static_cast<std::int64_t>(token))
                                .field("answer", promotionAnswerNames.name(answer))
                                .field("detail", detail);
                            done(isFenced);
                        });
}

}
