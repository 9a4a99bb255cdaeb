#pragma once

#include "commitwitnesses.h"
#include "targetpool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace crocusdeal
{

/** A commit that the primary has acknowledged. */
struct sent_commit {
    target_id primary; ///< Proves nothing itself: its log is cut back if it loses the lead.
    position at;
    time_point sentAt = never; ///< To the primary.
};

/**
 * Holds the answers to commits of one service back until a witness is known to have received them.
 *
 * The primary acknowledges a commit that any replica has received. Only what a witness (see commit_witnesses) holds
 * survives a promotion that is under way, so nothing else is told to callers.
 */
class commit_proof : public std::enable_shared_from_this<commit_proof>
{
public:
    using ticket = std::uint64_t;
    using target_pools = std::map<target_id, std::shared_ptr<target_pool>>;

    /** @p targets and @p witnesses must outlive it. */
    commit_proof(front_context &context,
                 service_id service,
                 const target_pools &targets,
                 const commit_witnesses &witnesses);

    /**
     * Calls @p done once, perhaps at once: with true when a witness holds the commit, with false when the primary has
     * changed before. Returns 0 if it has been called.
     */
    ticket prove(const sent_commit &commit, std::function<void(bool isKept)> done);
    void cancel(ticket number);
    /** Looks again, since there may be more witnesses now. */
    void check();
    /** Logs which commit was told last, and by which evidence; @p next leads from now on. */
    void tellLast(const std::optional<target_id> &next) const;
    /** Asks no target any more. */
    void stop();

private:
    struct held_commit {
        ticket number = 0;
        sent_commit commit;
        time_point since = never;
        bool isTold = false;
        std::function<void(bool)> done;
    };

    /** The evidence for a commit that was told. */
    struct told_commit {
        sent_commit commit;
        target_id witness;
        time_point toldAt = never;
        bool wasAsked = false; ///< Of its status, rather than known from an earlier answer.
    };

    /** Whether what @p target tells proves the commit; over a connection that is open since @p connectedAt. */
    bool isWitness(const target_id &target, time_point connectedAt, const sent_commit &commit) const;
    /** Whether any answer of @p target over a connection that is still open tells that it holds the commit. */
    bool isHeldBy(const target_id &target, const sent_commit &commit) const;
    /** As isHeldBy(), for a target that an open order names; see commit_witnesses::isKeeper(). */
    bool isKeptBy(const target_id &target, const sent_commit &commit) const;
    /** Whether every target that an open order names holds the commit; @p told has just told so by its status. */
    bool isHeldByNamed(const sent_commit &commit, const std::optional<target_id> &told) const;
    /** Whether asking @p target may prove the commit. */
    bool isOfUse(const target_id &target, const target_pool &pool, const sent_commit &commit) const;
    /** A witness that is known to hold the commit, without asking. */
    std::optional<target_id> holderOf(const sent_commit &commit) const;
    void recordTold(const sent_commit &commit, const target_id &witness, bool wasAsked);
    void finishHeld();
    void finish(const std::function<std::optional<bool>(const held_commit &)> &verdict);
    /** Asks one more witness, or ends the round of questions if all have been asked. */
    void askNext();
    void endRound();
    void schedule(duration delay);
    void ask(const target_id &target);
    std::optional<target_id> nextWitness() const;
    void handleReply(const target_id &target, const control_reply &reply);
    void tellWaiting();

    front_context &m_context;
    service_id m_service;
    const target_pools &m_targets;
    const commit_witnesses &m_witnesses;
    std::vector<held_commit> m_held;
    std::set<target_id> m_askedInRound;
    std::set<target_id> m_unanswered;
    std::optional<told_commit> m_lastTold; ///< The highest one.
    std::optional<target_id> m_lastHolder; ///< The witness that held a commit last is asked first.
    ticket m_lastTicket = 0;
    int m_vainRounds = 0;
    deadline_queue::handle m_nextQuestion = 0;
    bool m_isRoundOver = true;
    bool m_isStopped = false;
};

}
