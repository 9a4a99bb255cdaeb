#include "promotionorders.h"

#include "systemclock.h"

#include <utility>

namespace crocusdeal
{

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
    , m_duty(m_self)
{
}

void promotion_orders::observe(const std::optional<promotion_lease_record> &record, time_point askedAt)
{
    if (record) {
        m_duty.observe(*record, askedAt);
    }
}

bool promotion_orders::isHeldHere() const
{
    return m_duty.isHeldHere();
}

bool promotion_orders::isFree() const
{
    return !m_duty.currentRevision() || m_duty.isHeldHere();
}

bool promotion_orders::mayClaim(time_point now, time_point troubleSince) const
{
    return m_duty.mayClaim(now, troubleSince);
}

std::optional<std::uint64_t> promotion_orders::token() const
{
    return m_duty.fencingToken();
}

bool promotion_orders::isClaimStale(time_point now) const
{
    return m_duty.isClaimStale(now);
}

bool promotion_orders::isBusy() const
{
    return m_isBusy;
}

bool promotion_orders::isOrderOpen() const
{
    return m_isOrderOpen || m_duty.isForeignPromotionPending();
}

bool promotion_orders::hasOwnOrderOpen() const
{
    return m_isOrderOpen;
}

bool promotion_orders::isOrderLeftOpen() const
{
    return m_duty.isForeignPromotionPending();
}

time_point promotion_orders::leaseEndsAt() const
{
    return m_duty.leaseEndsAt();
}

void promotion_orders::orderCarriedOut()
{
    m_isOrderOpen = false;
}

void promotion_orders::claimInAdvance()
{
    const auto sentAt = systemNow();
    const auto purpose = m_duty.purposeForAdvanceClaim();
    m_store.claimDuty(m_service,
                      m_self,
                      purpose,
                      m_duty.currentRevision(),
                      [self = shared_from_this(), sentAt, purpose](const duty_news &news) {
                          self->logClaim("in_advance", news);
                          if (news.failure == store_failure::None) {
                              self->m_duty.claimAccepted(news.revision, purpose, sentAt);
                          } else if (news.failure == store_failure::Conflict) {
                              self->m_duty.observe({news.holder, news.revision, news.purpose}, sentAt);
                          }
                      });
}

void promotion_orders::claim(const char *reason, std::function<void(claim_result)> done)
{
    m_isBusy = true;
    claimForOrder(
        m_duty.currentRevision(),
        [self = shared_from_this(), reason, done = std::move(done)](claim_result result, const duty_news &news) {
            self->m_isBusy = false;
            self->logClaim(reason, news);
            done(result);
        });
}

void promotion_orders::logClaim(const char *reason, const duty_news &news) const
{
    m_context.log.info("duty_claim")
        .field("service", m_service.str())
        .field("reason", reason)
        .field("outcome", storeFailureNames.name(news.failure))
        .field("holder", news.holder)
        .field("revision", static_cast<std::int64_t>(news.revision));
}

void promotion_orders::renew(std::optional<std::uint64_t> replaces, std::function<void(claim_result)> done)
{
    claimForOrder(replaces, [done = std::move(done)](claim_result result, const duty_news &) { done(result); });
}

void promotion_orders::claimForOrder(std::optional<std::uint64_t> replaces,
                                     std::function<void(claim_result, const duty_news &)> done)
{
    const auto sentAt = systemNow();
    const bool isTakingOver = m_duty.isForeignPromotionPending();
    m_store.claimDuty(m_service,
                      m_self,
                      promotion_lease_purpose::Promotion,
                      replaces,
                      [self = shared_from_this(), sentAt, isTakingOver, done = std::move(done)](const duty_news &news) {
                          switch (news.failure) {
                          case store_failure::None:
                              self->m_isOrderOpen = self->m_isOrderOpen || isTakingOver;
                              self->m_duty.claimAccepted(news.revision, promotion_lease_purpose::Promotion, sentAt);
                              done(claim_result::Claimed, news);
                              return;
                          case store_failure::Conflict:
                              self->m_duty.observe({news.holder, news.revision, news.purpose}, systemNow());
                              done(claim_result::TakenByAnother, news);
                              return;
                          case store_failure::NotFound:
                              self->m_duty.observeAbsent();
                              done(claim_result::TakenByAnother, news);
                              return;
                          default:
                              done(claim_result::StoreAway, news);
                              return;
                          }
                      });
}

void promotion_orders::settle()
{
    if (m_isOrderOpen || !m_duty.isOwnPromotionPending()) {
        return;
    }
    m_store.claimDuty(m_service,
                      m_self,
                      promotion_lease_purpose::Settled,
                      m_duty.fencingToken(),
                      [self = shared_from_this()](const duty_news &news) {
                          self->m_context.log.info("duty_settled")
                              .field("service", self->m_service.str())
                              .field("outcome", storeFailureNames.name(news.failure))
                              .field("revision", static_cast<std::int64_t>(news.revision));
                          if (news.failure == store_failure::None) {
                              self->m_duty.settlementAccepted(news.revision);
                          } else if (news.failure == store_failure::Conflict) {
                              self->m_duty.observe({news.holder, news.revision, news.purpose}, systemNow());
                          }
                          // Without an answer others fence what they must take for open, which changes nothing.
                      });
}

void promotion_orders::send(const target_id &target, const std::string &why, std::function<void(promotion_answer)> done)
{
    const auto token = *m_duty.fencingToken();
    m_context.log.info("promotion_ordered")
        .field("service", m_service.str())
        .field("target", target.str())
        .field("token", static_cast<std::int64_t>(token))
        .field("why", why);
    m_authority.promote(
        m_service,
        target,
        m_self,
        token,
        [self = shared_from_this(), token, done = std::move(done)](promotion_answer answer, const std::string &detail) {
            self->m_context.log.info("promotion_answer")
                .field("service", self->m_service.str())
                .field("answer", promotionAnswerNames.name(answer))
                .field("detail", detail);
            if (answer == promotion_answer::Accepted) {
                // The authority has seen a newer token than that of any order before.
                self->m_isOrderOpen = false;
            } else if (answer == promotion_answer::Refused) {
                self->m_duty.tokenRejected(token);
            } else if (answer == promotion_answer::Unanswered) {
                self->m_isOrderOpen = true;
            }
            done(answer);
        });
}

void promotion_orders::fence(const target_id &leader,
                             std::function<bool()> isStillLeader,
                             std::function<void(bool)> done)
{
    m_isBusy = true;
    claimForOrder(m_duty.currentRevision(),
                  [self = shared_from_this(), leader, isStillLeader = std::move(isStillLeader), done = std::move(done)](
                      claim_result result, const duty_news &) {
                      if (result == claim_result::TakenByAnother) {
                          // The orders of the newer holder fence it.
                          self->m_isOrderOpen = false;
                      }
                      if (result != claim_result::Claimed || !isStillLeader()) {
                          self->m_isBusy = false;
                          done(false);
                          return;
                      }
                      self->sendFence(leader, done);
                  });
}

void promotion_orders::sendFence(const target_id &leader, std::function<void(bool)> done)
{
    m_authority.promote(m_service,
                        leader,
                        m_self,
                        *m_duty.fencingToken(),
                        [self = shared_from_this(), leader, done = std::move(done)](promotion_answer answer,
                                                                                    const std::string &detail) {
                            const bool isFenced = answer == promotion_answer::Accepted;
                            self->m_isBusy = false;
                            self->m_isOrderOpen = !isFenced;
                            if (isFenced) {
                                self->settle();
                            }
                            self->m_context.log.info("promotion_superseded")
                                .field("service", self->m_service.str())
                                .field("leader", leader.str())
                                .field("answer", promotionAnswerNames.name(answer))
                                .field("detail", detail);
                            done(isFenced);
                        });
}

}
