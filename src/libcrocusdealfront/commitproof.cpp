#include "commitproof.h"

#include "systemclock.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration askLimit{250};
constexpr duration silentWitnessDelay{20}; // Another one is asked beside one that has not answered by then.
constexpr duration firstRoundDelay{10}; // The other replicas receive a commit within milliseconds of the first.
constexpr int maxDelayDoublings = 3;
constexpr duration tellAfter{100};

}

commit_proof::commit_proof(front_context &context,
                           service_id service,
                           const target_pools &targets,
                           const commit_witnesses &witnesses)
    : m_context(context)
    , m_service(std::move(service))
    , m_targets(targets)
    , m_witnesses(witnesses)
{
}

commit_proof::ticket commit_proof::prove(const sent_commit &commit, std::function<void(bool isKept)> done)
{
    if (const auto holder = holderOf(commit)) {
        recordTold(commit, *holder, false);
        done(true);
        return 0;
    }
    const auto number = ++m_lastTicket;
    m_held.push_back({number, commit, systemNow(), false, std::move(done)});
    if (m_nextQuestion == 0) {
        askNext();
    }
    return number;
}

void commit_proof::cancel(ticket number)
{
    std::erase_if(m_held, [number](const held_commit &held) { return held.number == number; });
}

void commit_proof::check()
{
    if (m_held.empty()) {
        return;
    }
    m_askedInRound.clear();
    finishHeld();
    askNext();
}

void commit_proof::stop()
{
    m_isStopped = true;
    m_context.deadlines.cancel(m_nextQuestion);
}

bool commit_proof::isWitness(const target_id &target, time_point connectedAt, const sent_commit &commit) const
{
    return target != commit.primary && m_witnesses.isWitness(target, connectedAt, commit.sentAt);
}

bool commit_proof::isOfUse(const target_id &target, const target_pool &pool, const sent_commit &commit) const
{
    // Without a connection the question opens one, over which the next round can be answered.
    const auto connectedAt = pool.controlConnectedSince();
    const bool isAnswerOfUse = connectedAt == never || isWitness(target, connectedAt, commit)
        || (m_witnesses.isNamed(target) && m_witnesses.isKeeper(target, connectedAt, commit.sentAt));
    return target != commit.primary && isAnswerOfUse;
}

bool commit_proof::isHeldBy(const target_id &target, const sent_commit &commit) const
{
    const auto pool = m_targets.find(target);
    return pool != m_targets.end() && pool->second->hasShown(commit.at, [&](time_point connectedAt) {
        return isWitness(target, connectedAt, commit);
    });
}

bool commit_proof::isKeptBy(const target_id &target, const sent_commit &commit) const
{
    const auto pool = m_targets.find(target);
    return pool != m_targets.end() && pool->second->hasShown(commit.at, [&](time_point connectedAt) {
        return m_witnesses.isKeeper(target, connectedAt, commit.sentAt);
    });
}

bool commit_proof::isHeldByNamed(const sent_commit &commit, const std::optional<target_id> &told) const
{
    const auto &named = m_witnesses.namedTargets();
    return std::all_of(named.begin(), named.end(), [&](const target_id &target) {
        return target == commit.primary || target == told || isKeptBy(target, commit);
    });
}

std::optional<target_id> commit_proof::holderOf(const sent_commit &commit) const
{
    const auto found = std::find_if(
        m_targets.begin(), m_targets.end(), [&](const auto &target) { return isHeldBy(target.first, commit); });
    const bool isKept = found != m_targets.end() && isHeldByNamed(commit, std::nullopt);
    return isKept ? std::optional(found->first) : std::nullopt;
}

void commit_proof::finishHeld()
{
    finish([this](const held_commit &held) -> std::optional<bool> {
        const auto holder = holderOf(held.commit);
        if (!holder) {
            return std::nullopt;
        }
        recordTold(held.commit, *holder, false);
        return true;
    });
}

void commit_proof::recordTold(const sent_commit &commit, const target_id &witness, bool wasAsked)
{
    if (!m_lastTold || m_lastTold->commit.at < commit.at) {
        m_lastTold = {commit, witness, systemNow(), wasAsked};
    }
}

void commit_proof::tellLast(const std::optional<target_id> &next) const
{
    if (!m_lastTold) {
        return;
    }
    const auto now = systemNow();
    const auto found = m_targets.find(m_lastTold->witness);
    const bool isWitnessListed = found != m_targets.end();
    m_context.log.info("last_commit_told")
        .field("service", m_service.str())
        .field("leader", next ? next->str() : "none")
        .field("commit", toString(m_lastTold->commit.at))
        .field("primary", m_lastTold->commit.primary.str())
        .field("sent_ms_ago", (now - m_lastTold->commit.sentAt).ms)
        .field("told_ms_ago", (now - m_lastTold->toldAt).ms)
        .field("witness", m_lastTold->witness.str())
        .field("by", m_lastTold->wasAsked ? "status" : "earlier_answer")
        .field("incarnation", isWitnessListed ? static_cast<std::int64_t>(found->second->entry().incarnation) : 0)
        .field("evidence", m_witnesses.describe(m_lastTold->witness, now));
}

void commit_proof::finish(const std::function<std::optional<bool>(const held_commit &)> &verdict)
{
    // A hook may begin the next commit.
    std::vector<std::pair<std::function<void(bool)>, bool>> ended;
    std::erase_if(m_held, [&](held_commit &held) {
        const auto isKept = verdict(held);
        if (isKept) {
            ended.emplace_back(std::move(held.done), *isKept);
        }
        return isKept.has_value();
    });
    for (const auto &[done, isKept] : ended) {
        done(isKept);
    }
}

void commit_proof::askNext()
{
    m_context.deadlines.cancel(m_nextQuestion);
    if (m_isStopped || m_held.empty()) {
        m_askedInRound.clear();
        return;
    }
    const auto target = nextWitness();
    if (!target) {
        endRound();
        return;
    }
    m_isRoundOver = false;
    schedule(silentWitnessDelay);
    ask(*target);
}

void commit_proof::endRound()
{
    tellWaiting();
    m_isRoundOver = true;
    m_askedInRound.clear();
    const auto delay = firstRoundDelay * (std::int64_t{1} << std::min(m_vainRounds, maxDelayDoublings));
    ++m_vainRounds;
    schedule(delay);
}

void commit_proof::schedule(duration delay)
{
    m_nextQuestion = m_context.deadlines.scheduleAfter(delay, [self = shared_from_this()] {
        self->m_nextQuestion = 0;
        self->finishHeld();
        self->askNext();
    });
}

void commit_proof::ask(const target_id &target)
{
    m_askedInRound.insert(target);
    m_unanswered.insert(target);
    const auto pool = m_targets.at(target);
    pool->releaseControlLink(); // The oldest connection proves most.
    pool->control(
        control_statement::Status, 0, askLimit, [self = shared_from_this(), target, pool](const control_reply &reply) {
            self->m_unanswered.erase(target);
            pool->releaseControlLink(); // Commits are frequent, and reads would go to a target with an idle one.
            self->handleReply(target, reply);
        });
}

std::optional<target_id> commit_proof::nextWitness() const
{
    std::optional<target_id> best;
    const auto now = systemNow();
    const auto rank = [&](const target_id &id, const target_pool &pool) {
        const bool isUsable = !pool.isFailing(now) && !pool.isSilent(now);
        return std::tuple(
            m_witnesses.isNamed(id), isUsable, !pool.entry().isDraining, id == m_lastHolder, pool.connections() > 0);
    };
    for (const auto &target : m_targets) {
        const auto &id = target.first;
        const bool isWanted = std::any_of(m_held.begin(), m_held.end(), [&](const held_commit &held) {
            return isOfUse(id, *target.second, held.commit);
        });
        if (!isWanted || m_askedInRound.contains(id) || m_unanswered.contains(id)) {
            continue;
        }
        if (!best || rank(id, *target.second) > rank(*best, *m_targets.at(*best))) {
            best = id;
        }
    }
    return best;
}

void commit_proof::handleReply(const target_id &target, const control_reply &reply)
{
    if (m_isStopped) {
        return;
    }
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    const auto heldBefore = m_held.size();
    finish([&](const held_commit &held) -> std::optional<bool> {
        const auto &at = held.commit.at;
        const bool isReceived = reply.report && holdsCommit(reply.report->received, at);
        const bool isProof = isReceived && isWitness(target, reply.connectedAt, held.commit);
        if (isProof && isHeldByNamed(held.commit, target)) {
            recordTold(held.commit, target, true);
            return true;
        }
        // A busy target refuses the status, and tells the position up to which it has applied its log.
        if (const auto holder = holderOf(held.commit)) {
            recordTold(held.commit, *holder, false);
            return true;
        }
        const bool isTermOver = reply.report && reply.report->term > at.term;
        return isTermOver ? std::optional(false) : std::nullopt;
    });
    if (m_held.size() < heldBefore) {
        m_lastHolder = target;
        m_vainRounds = 0;
        m_askedInRound.clear();
    }
    if (m_held.empty() || !m_isRoundOver) {
        askNext();
    }
}

void commit_proof::tellWaiting()
{
    const auto now = systemNow();
    for (auto &held : m_held) {
        if (held.isTold || now - held.since < tellAfter) {
            continue;
        }
        held.isTold = true;
        m_context.log.warn("commit_held_back")
            .field("service", m_service.str())
            .field("commit", toString(held.commit.at))
            .field("witnesses", static_cast<std::int64_t>(m_askedInRound.size()))
            .field("targets", static_cast<std::int64_t>(m_targets.size()))
            .field("waited_ms", (now - held.since).ms);
    }
}

}
