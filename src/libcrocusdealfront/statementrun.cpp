#include "statementrun.h"

#include "localtransaction.h"
#include "systemclock.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr int maxAttempts = 5;
constexpr int waitShareOfTimeout = 2; // Work that will be served may wait half of its time.
constexpr int waitShareOfLatency = 4; // Work that nobody can serve yet is refused early, so that it can go elsewhere.
constexpr duration shortestWait{20};
constexpr duration shortestHedge{250};
constexpr int hedgeAnswerTimes = 6; // Well above the usual time of an answer.
constexpr duration orphanLimit{2000}; // How long a silent connection may still answer.

}

void encodeStatement(const target_protocol &protocol,
                     std::string &out,
                     const connection_values &values,
                     const caller_request &request,
                     const std::optional<prepared_shape> &prepared,
                     std::optional<position> after)
{
    if (prepared) {
        protocol.addExecute(out, request.id, after, values.preparedName(*prepared), request.what.argument);
        return;
    }
    protocol.addStatement(out, request.id, after, request.what.text);
}

void sendPreparation(const target_protocol &protocol,
                     const std::shared_ptr<target_link> &link,
                     const session_values &session,
                     const prepared_shape *needed,
                     bool isInTransaction)
{
    for (const auto &step : link->values.setUpFor(session, needed, isInTransaction)) {
        std::string encoded;
        switch (step.kind) {
        case setup_step::Discard:
            protocol.addControl(encoded, control_statement::Discard);
            break;
        case setup_step::Set:
            protocol.addSet(encoded, step.name, step.value);
            break;
        case setup_step::Prepare:
            protocol.addPrepare(encoded, step.name, step.preparedEffect, step.value);
            break;
        }
        link->send(encoded, [link](const target_reply &reply) {
            if (!reply.isSuccess() && !reply.isLost) {
                // The connection does not hold what is believed of it.
                link->close("preparation was refused");
            }
        });
    }
}

statement_run::statement_run(front_context &context,
                             std::shared_ptr<service_group> group,
                             statement_order order,
                             const session_values &values,
                             outcome_handler done)
    : m_context(context)
    , m_group(std::move(group))
    , m_order(std::move(order))
    , m_values(values)
    , m_done(std::move(done))
{
}

bool statement_run::opensTransaction() const
{
    return m_order.opens.has_value();
}

bool statement_run::opensPlain() const
{
    return m_order.opens == statement_kind::Begin;
}

bool statement_run::isWrapped() const
{
    return m_grant && m_grant->needsProof && !opensTransaction();
}

void statement_run::start()
{
    const auto &route = m_order.route;
    m_need.isWrite = m_order.kind == effect::Write || opensPlain();
    m_need.reads = route.readConsistency;
    m_need.maxStaleness = route.maxStaleness;
    m_need.ownCommit = m_order.ownCommit;
    m_need.arrivedAt = m_order.startedAt;
    m_need.priority = route.priority;
    m_need.workspace = m_order.access.workspace;
    m_need.wantedBy = m_order.arrivedAt + route.latencyObjective;
    const auto self = shared_from_this();
    m_limit = m_context.deadlines.schedule(m_order.arrivedAt + route.statementTimeout, [self] { self->hitLimit(); });
    acquire();
}

void statement_run::abandon()
{
    m_done = nullptr;
    if (!m_grant) {
        finish({});
    }
}

void statement_run::expire()
{
    const auto self = shared_from_this();
    if (m_done) {
        hitLimit();
    }
}

void statement_run::acquire()
{
    const auto &route = m_order.route;
    const bool isPrimaryMissing = m_group->isPrimaryMissing(systemNow()) && m_group->needsPrimary(m_need);
    const auto wait =
        isPrimaryMissing ? route.latencyObjective / waitShareOfLatency : route.statementTimeout / waitShareOfTimeout;
    m_need.refuseAt = m_order.arrivedAt + std::max(wait, shortestWait);
    ++m_generation;
    m_acquiredAt = systemNow();
    m_ticket = m_group->acquire(
        m_need,
        [self = shared_from_this()](target_grant grant) { self->handleGrant(std::move(grant)); },
        [self = shared_from_this()](refusal_reason reason) { self->refuse(reason); });
}

void statement_run::handleGrant(target_grant grant)
{
    m_ticket = 0;
    m_grant = std::move(grant);
    ++m_attempts;
    m_context.metrics.waitedForTarget(systemNow() - m_acquiredAt);
    if (!m_order.access.isValid(systemNow())) {
        dropGrant(true);
        refuse(refusal_reason::AccessUnconfirmed);
        return;
    }
    if (opensTransaction() || m_grant->needsProof) {
        sendBegin();
    } else {
        sendStatement();
    }
}

void statement_run::refuse(refusal_reason reason)
{
    m_ticket = 0;
    m_context.metrics.statementRefused(refusalReasonNames.name(reason));
    m_context.log.info("statement_refused")
        .field("id", m_order.request.id)
        .field("database", m_order.route.database)
        .field("service", m_group->id().str())
        .field("workspace", m_order.access.workspace.str())
        .field("reason", refusalReasonNames.name(reason))
        .field("queued", static_cast<std::int64_t>(m_group->queued()))
        .field("waited_ms", (systemNow() - m_order.arrivedAt).ms)
        .field("primary", m_group->primary() ? m_group->primary()->str() : "none")
        .field("primary_proved_ms_ago", (systemNow() - m_group->primaryProvedAt()).ms);
    fail(unkeptCode(), refusalReasonNames.name(reason).data());
}

void statement_run::sendBegin()
{
    sendPreparation(m_context.targets, m_grant->link, m_values, nullptr, false);
    const bool isPlain = opensPlain() || m_grant->needsProof;
    std::string encoded;
    m_context.targets.addControl(encoded,
                                 isPlain ? control_statement::Begin : control_statement::BeginRead,
                                 isPlain ? std::nullopt : m_grant->after);
    m_grant->link->send(encoded, [self = shared_from_this(), generation = m_generation](const target_reply &reply) {
        if (generation == self->m_generation) {
            self->handleBegin(reply);
        }
    });
}

void statement_run::handleBegin(const target_reply &reply)
{
    m_grant->target->recordUntimedAnswer(reply);
    if (reply.isLost) {
        m_need.avoid.insert(m_grant->target->entry().id);
        m_group->suspectPrimary("connection lost");
        dropGrant(false);
        retry("connection lost before the statement was sent");
        return;
    }
    if (reply.error) {
        handleError(reply);
        return;
    }
    const bool isPlain = opensPlain() || m_grant->needsProof;
    if (isPlain) {
        m_group->recordPrimary(m_grant->target->entry().id, reply.at, reply.sentAt);
    }
    sendStatement();
}

void statement_run::sendStatement()
{
    const auto link = m_grant->link;
    const bool isInTransaction = opensTransaction() || isWrapped();
    const auto *prepared = m_order.prepared ? &*m_order.prepared : nullptr;
    sendPreparation(m_context.targets, link, m_values, prepared, isInTransaction);
    std::string encoded;
    encodeStatement(m_context.targets,
                    encoded,
                    link->values,
                    m_order.request,
                    m_order.prepared,
                    isInTransaction ? std::nullopt : m_grant->after);
    m_isSent = true;
    m_sentAt = systemNow();
    if (m_order.kind == effect::Write && !opensTransaction()) {
        m_isWriteOpen = true;
        m_group->writeSent(m_sentAt);
    }
    const auto self = shared_from_this();
    const auto generation = m_generation;
    const bool isWrappedRead = isWrapped();
    link->send(encoded, [self, generation](target_reply reply) {
        if (generation == self->m_generation) {
            self->handleReply(std::move(reply));
        } else {
            self->handleOrphanReply(generation, reply);
        }
    });
    if (m_order.kind == effect::Read && !opensTransaction()) {
        armHedge();
    }
    if (isWrappedRead) {
        m_isRollbackSent = true;
        std::string rollback;
        m_context.targets.addControl(rollback, control_statement::Rollback);
        const auto grant = *m_grant;
        link->send(rollback,
                   [group = m_group, grant](const target_reply &reply) { group->release(grant, reply.isSuccess()); });
    }
}

void statement_run::armHedge()
{
    const auto usual = duration{static_cast<std::int64_t>(m_grant->target->answerMs())};
    const auto delay = std::max(shortestHedge, usual * hedgeAnswerTimes);
    m_hedgeTimer = m_context.deadlines.scheduleAfter(delay, [self = shared_from_this()] {
        self->m_hedgeTimer = 0;
        self->hedge();
    });
}

void statement_run::handleOrphanReply(int generation, const target_reply &reply)
{
    const auto found = std::find_if(m_orphans.begin(), m_orphans.end(), [&](const orphan_grant &orphan) {
        return orphan.generation == generation;
    });
    if (found == m_orphans.end()) {
        return;
    }
    const auto grant = found->grant;
    m_orphans.erase(found);
    grant.target->recordAnswer(reply);
    m_group->release(grant, !reply.isLost && reply.state == transaction_state::Idle);
}

void statement_run::hedge()
{
    if (!m_grant || m_attempts >= maxAttempts) {
        return;
    }
    const bool isTargetSilent = m_grant->target->lastAnswerAt() < m_sentAt;
    const bool isLate = systemNow() - m_order.arrivedAt >= m_order.route.statementTimeout / waitShareOfTimeout;
    if (!isTargetSilent && !isLate) {
        armHedge();
        return;
    }
    const auto orphan = *std::exchange(m_grant, std::nullopt);
    m_need.avoid.insert(orphan.target->entry().id);
    m_context.deadlines.scheduleAfter(orphanLimit, [link = std::weak_ptr(orphan.link), since = m_sentAt] {
        const auto silent = link.lock();
        if (silent && silent->oldestPendingAt() != never && silent->oldestPendingAt() <= since) {
            silent->close("not answered");
        }
    });
    if (!std::exchange(m_isRollbackSent, false)) {
        m_orphans.push_back({orphan, m_generation});
    }
    retry(isTargetSilent ? "target is silent" : "answer is late");
}

void statement_run::handleReply(target_reply reply)
{
    m_context.deadlines.cancel(m_hedgeTimer);
    m_grant->target->recordAnswer(reply);
    if (!reply.isLost) {
        m_context.metrics.targetAnswered(systemNow() - reply.sentAt);
    }
    if (std::exchange(m_isWriteOpen, false)) {
        m_group->writeEnded(m_sentAt, reply.isSuccess());
    }
    if (reply.isLost) {
        handleLoss(reply);
    } else if (reply.error) {
        handleError(std::move(reply));
    } else {
        handleSuccess(std::move(reply));
    }
}

void statement_run::handleSuccess(target_reply reply)
{
    const auto target = m_grant->target->entry().id;
    // A commit that has nothing to write succeeds also at a target that is no longer primary.
    const bool isCommit = m_order.request.what.kind == statement_kind::Commit; // Of nothing: the first statement.
    const bool isProof = !isCommit && (m_grant->needsProof || opensPlain() || m_order.kind == effect::Write);
    if (isProof) {
        m_group->recordPrimary(target, reply.at, reply.sentAt);
    }
    m_group->recordCaughtUp(*m_grant, reply);
    m_context.log.debug("statement_served")
        .field("id", m_order.request.id)
        .field("database", m_order.route.database)
        .field("workspace", m_order.access.workspace.str())
        .field("target", target.str())
        .field("at_primary", m_grant->isPrimary ? 1 : 0)
        .field("candidates", m_grant->candidates)
        .field("expected_ms", static_cast<std::int64_t>(m_grant->expectedMs))
        .field("known_ms_ago", m_grant->knownAge.ms)
        .field("hints", m_grant->reporters)
        .field("attempts", m_attempts)
        .field("ms", (systemNow() - m_order.arrivedAt).ms);
    statement_outcome outcome;
    if (opensTransaction() && !isCommit) {
        outcome.transaction = std::make_shared<local_transaction>(m_context, m_group, *m_grant, m_order);
        m_group->endPermit(*std::exchange(m_grant, std::nullopt));
    } else if (std::exchange(m_isRollbackSent, false)) {
        m_grant.reset(); // The answer to the rollback releases it.
    } else {
        dropGrant(true);
    }
    outcome.reply = std::move(reply);
    const bool isOwnCommit = m_order.kind == effect::Write && !opensTransaction();
    if (isOwnCommit && outcome.reply.at) {
        finishWhenKept(target, std::move(outcome));
        return;
    }
    finish(std::move(outcome));
}

void statement_run::finishWhenKept(const target_id &primary, statement_outcome outcome)
{
    const auto at = *outcome.reply.at;
    m_proof = m_group->proveCommit(
        {primary, at, m_sentAt}, [self = shared_from_this(), at, outcome = std::move(outcome)](bool isKept) mutable {
            self->m_proof = 0;
            if (isKept) {
                self->m_group->recordCommit(at);
                self->finish(std::move(outcome));
                return;
            }
            self->m_context.log.warn("statement_in_doubt")
                .field("id", self->m_order.request.id)
                .field("database", self->m_order.route.database)
                .field("reason", "the primary has changed")
                .field("commit", toString(at))
                .field("ms", (systemNow() - self->m_order.arrivedAt).ms);
            self->fail(error_code::InDoubt, "the primary has changed, perhaps without the write");
        });
}

void statement_run::handleError(target_reply reply)
{
    const auto code = *reply.error;
    const auto target = m_grant->target->entry().id;
    const bool isAtPrimary = m_grant->isPrimary;
    const auto pool = m_grant->target;
    const auto required = m_grant->after;
    if (code == error_code::ReadOnly) {
        m_group->recordNotPrimary(target, "it refused as read only");
    }
    rollBackGrant();
    const bool isBusy = code == error_code::Busy;
    const bool isReadFailed = code == error_code::Failed && m_order.kind == effect::Read;
    const bool mayRepeat = isBusy ? systemNow() < m_need.refuseAt : m_attempts < maxAttempts;
    if (!(hasNotRun(code) || isReadFailed) || !mayRepeat) {
        m_context.log.info("statement_failed")
            .field("id", m_order.request.id)
            .field("database", m_order.route.database)
            .field("target", target.str())
            .field("code", errorCodeNames.name(code))
            .field("text", reply.errorText)
            .field("attempts", m_attempts)
            .field("ms", (systemNow() - m_order.arrivedAt).ms);
        statement_outcome outcome;
        outcome.reply = std::move(reply);
        finish(std::move(outcome));
        return;
    }
    m_isSent = isReadFailed;
    if (isReadFailed) {
        m_need.avoid.insert(target);
    }
    if (isBusy) {
        // The target's window decides when the next may be sent, and the time of the statement how often.
        --m_attempts;
    }
    if (code == error_code::Lagging) {
        m_context.log.info("target_lagging")
            .field("id", m_order.request.id)
            .field("target", target.str())
            .field("required", required ? toString(*required) : "none")
            .field("holds", reply.at ? toString(*reply.at) : "unknown");
        m_group->recordLagging(*pool, reply, required);
        m_need.mustBePrimary = m_need.mustBePrimary || isAtPrimary || m_attempts >= 2;
        m_need.avoid.insert(target);
    }
    retry(errorCodeNames.name(code).data());
}

void statement_run::handleLoss(const target_reply &reply)
{
    const auto target = m_grant->target->entry().id;
    m_group->suspectPrimary("connection lost");
    if (std::exchange(m_isRollbackSent, false)) {
        m_grant.reset();
    } else {
        dropGrant(false);
    }
    if (m_order.kind == effect::Write && !opensTransaction()) {
        m_context.log.warn("statement_in_doubt")
            .field("id", m_order.request.id)
            .field("database", m_order.route.database)
            .field("target", target.str())
            .field("reason", reply.reason)
            .field("ms", (systemNow() - m_order.arrivedAt).ms);
        fail(error_code::InDoubt, "the answer of the target was lost");
        return;
    }
    m_need.avoid.insert(target);
    retry("connection lost");
}

void statement_run::retry(const char *why)
{
    // Also if the caller has gone: what was given up may still be answered.
    ++m_generation;
    if (!m_done) {
        finish({}); // The caller has gone.
        return;
    }
    m_context.metrics.statementRetried(why);
    m_context.log.info("statement_retried")
        .field("id", m_order.request.id)
        .field("database", m_order.route.database)
        .field("why", why)
        .field("attempts", m_attempts)
        .field("ms", (systemNow() - m_order.arrivedAt).ms);
    if (m_attempts >= maxAttempts) {
        fail(unkeptCode(), why);
        return;
    }
    acquire();
}

void statement_run::dropGrant(bool isReusable)
{
    const auto grant = std::exchange(m_grant, std::nullopt);
    m_group->release(*grant, isReusable);
}

void statement_run::rollBackGrant()
{
    if (std::exchange(m_isRollbackSent, false)) {
        m_grant.reset();
        return;
    }
    if (!opensTransaction() && !m_grant->needsProof) {
        dropGrant(true);
        return;
    }
    const auto grant = *std::exchange(m_grant, std::nullopt);
    std::string rollback;
    m_context.targets.addControl(rollback, control_statement::Rollback);
    grant.link->send(rollback, [group = m_group, grant](const target_reply &reply) {
        // A transaction that was refused has nothing to roll back; the state tells that none is open.
        group->release(grant, !reply.isLost && reply.state == transaction_state::Idle);
    });
}

void statement_run::hitLimit()
{
    m_context.deadlines.cancel(m_limit);
    const bool mayHaveRun = m_isSent && (m_grant || m_proof != 0);
    m_context.log.warn("statement_timed_out")
        .field("id", m_order.request.id)
        .field("database", m_order.route.database)
        .field("target", m_grant ? m_grant->target->entry().id.str() : "none")
        .field("sent", mayHaveRun ? 1 : 0)
        .field("attempts", m_attempts);
    const bool isWrite = m_order.kind == effect::Write;
    if (m_grant) {
        if (std::exchange(m_isWriteOpen, false)) {
            m_group->writeEnded(m_sentAt, false);
        }
        ++m_generation;
        if (std::exchange(m_isRollbackSent, false)) {
            m_grant->link->close("statement timed out");
            m_grant.reset();
        } else {
            dropGrant(false);
        }
    }
    if (!mayHaveRun) {
        fail(error_code::Busy, "no target was free in time");
    } else if (opensTransaction()) {
        fail(error_code::Aborted, "the statement timed out");
    } else {
        fail(isWrite ? error_code::InDoubt : error_code::Timeout, "the statement timed out");
    }
}

error_code statement_run::unkeptCode() const
{
    // An earlier attempt may have run a read, or a statement of a transaction that was rolled back.
    return m_isSent ? error_code::Aborted : error_code::Busy;
}

void statement_run::fail(error_code code, std::string text)
{
    statement_outcome outcome;
    outcome.error = code;
    outcome.errorText = std::move(text);
    finish(std::move(outcome));
}

void statement_run::finish(statement_outcome outcome)
{
    m_context.deadlines.cancel(m_limit);
    m_context.deadlines.cancel(m_hedgeTimer);
    if (m_ticket != 0) {
        m_group->abandon(std::exchange(m_ticket, 0));
    }
    if (m_proof != 0) {
        m_group->cancelProof(std::exchange(m_proof, 0));
    }
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        done(std::move(outcome));
        return;
    }
    if (outcome.transaction) {
        outcome.transaction->end(); // The caller has gone.
    }
}

}
