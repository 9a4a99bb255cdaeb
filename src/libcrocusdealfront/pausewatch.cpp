#include "pausewatch.h"

#include "systemclock.h"

#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration controlLimit{250};
// An attempt with a primary that serves takes less.
constexpr duration longestPause{5000};
constexpr duration servingTime{1000};
// Each check takes a slot of a target, so that others than the holder of the lease check at one call in so many.
constexpr int standbyCheckShare = 16;

}

pause_watch::pause_watch(front_context &context,
                         std::shared_ptr<service_group> group,
                         std::shared_ptr<promotion_orders> orders,
                         std::function<bool()> isAttemptRunning)
    : m_context(context)
    , m_group(std::move(group))
    , m_orders(std::move(orders))
    , m_isAttemptRunning(std::move(isAttemptRunning))
{
}

void pause_watch::check()
{
    const bool isTurn = m_orders->isHeldHere() || m_checks % standbyCheckShare == 0;
    ++m_checks;
    if (!isTurn) {
        return;
    }
    const auto pools = m_group->targets();
    for (const auto &[id, pool] : pools) {
        if (id == m_group->primary()) {
            continue;
        }
        pool->control(
            control_statement::Status,
            0,
            controlLimit,
            [self = shared_from_this(), id = id](const control_reply &reply) { self->handleReply(id, reply); });
    }
}

void pause_watch::handleReply(const target_id &target, const control_reply &reply)
{
    if (!reply.report || !reply.report->isPaused()) {
        m_pausedSince.erase(target);
        return;
    }
    const auto now = systemNow();
    const auto since = m_pausedSince.emplace(target, now).first->second;
    const bool isPrimaryServing = m_group->primary() && now - m_group->primaryProvedAt() < servingTime;
    // While another instance has claimed just now, its attempt may rely on the pause.
    const bool isAttemptPossible = m_isAttemptRunning() || !m_orders->mayClaim(now, never) || m_orders->isOrderOpen();
    if (isAttemptPossible || m_isConfirming || now - since < longestPause || !isPrimaryServing) {
        return;
    }
    endPause(target, *reply.report);
}

void pause_watch::endPause(const target_id &target, const replication_report &report)
{
    m_context.log.warn("pause_ended")
        .field("service", m_group->id().str())
        .field("target", target.str())
        .field("paused_ms", (systemNow() - m_pausedSince.at(target)).ms)
        .field("term", static_cast<std::int64_t>(report.pausedTerm))
        .field("lease", m_orders->describe(systemNow()));
    m_pausedSince.erase(target);
    confirmThenResume(target);
}

void pause_watch::confirmThenResume(const target_id &target)
{
    // What is known of the lease may be old, and an order that is open relies on the pause.
    m_isConfirming = true;
    m_orders->claimQuiet([self = shared_from_this(), target](bool isQuiet) {
        self->m_isConfirming = false;
        const auto found = self->m_group->targets().find(target);
        if (!isQuiet || self->m_isAttemptRunning() || found == self->m_group->targets().end()) {
            self->m_context.log.info("pause_kept")
                .field("service", self->m_group->id().str())
                .field("target", target.str())
                .field("lease", self->m_orders->describe(systemNow()));
            return;
        }
        found->second->control(control_statement::Resume, 0, controlLimit, [](const control_reply &) {});
    });
}

}
