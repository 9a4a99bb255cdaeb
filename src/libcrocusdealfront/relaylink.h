#pragma once

#include "bytestream.h"
#include "deadlinequeue.h"
#include "relaymessages.h"
#include "servingplan.h"
#include "targetpool.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** How a statement that was handed to another instance ended. */
enum class relay_end {
    Answered,
    NotServed, ///< It was not begun and will not be.
    Lost, ///< Nothing will be heard of it; it may have run, or may run later.
};

struct relay_result {
    relay_end end = relay_end::Lost;
    relay_answer answer;
    std::string reason; ///< Of a loss.
};

/** The connection over which this instance hands statements to another one. */
class relay_link : public std::enable_shared_from_this<relay_link>
{
public:
    using handler = std::function<void(relay_result)>;
    using lease_handler = std::function<void(const std::optional<lease_answer> &)>;
    using target_handler = std::function<void(const target_answer &)>;
    using budget_handler = std::function<void(const std::optional<budget_grant> &)>;

    relay_link(front_context &context, fleet_member self, fleet_member peer);

    /** A pong has come; with when the ping that it answers was sent, or never if it answers none. */
    std::function<void(const relay_pong &, time_point pingSentAt)> onPong;
    /** The other instance tells of the load of targets. */
    std::function<void(const std::vector<reported_load> &)> onLoads;

    void open();
    void close(const std::string &reason);
    const fleet_member &peer() const;
    /** Whether work may be handed over: the other instance answers, serves and does not leave. */
    bool isUsable() const;
    /** Whether it answers questions; one that leaves does. */
    bool isAnswering() const;
    bool isEnded() const;
    /** Whether work is under way on it, or a transaction is open. */
    bool isInUse() const;
    /** A transaction is open at the other instance; closing the link rolls it back. */
    void transactionOpened();
    void transactionEnded();
    bool isPeerIsolated() const;
    /** Whether the other instance has said that the store does not answer it. */
    bool isPeerStoreAway() const;
    time_point endedAt() const;

    /** Hands over a statement. One that changes nothing @p isRepeatable, and is lost as soon as the link is silent. */
    std::uint64_t run(relay_run message, bool isRepeatable, handler done);
    std::uint64_t step(relay_step message, handler done);
    /** Nothing will be heard of the run or step; @p done is dropped. */
    void abandon(std::uint64_t number);
    void rollBack(std::uint64_t transaction);
    /** Asks for the promotion leases; no answer if the link ends before one has come. */
    void askLeases(lease_handler done);
    /** Asks for the targets of the services; @p done is dropped if the link ends before an answer has come. */
    void askTargets(const std::vector<service_id> &services, target_handler done);
    /** Asks for a part of a budget; nothing if the link is lost or silent before the answer. */
    void askBudget(budget_request message, budget_handler done);
    /** A link that is only kept for questions of budgets is pinged seldom while none is open. */
    void setPingedSeldom(bool isSeldom);

    /** Sends a ping if one is due, and judges the silence. @p ownStall is how long this process did not run before. */
    void tick(time_point now, duration ownStall);

private:
    struct sent_ping {
        std::uint64_t number = 0;
        time_point at;
    };
    struct pending_work {
        handler done;
        bool isRepeatable = false;
    };
    struct lease_inquiry {
        lease_handler done;
        std::map<service_id, std::vector<target_id>> targets; ///< As in lease_targets.
    };

    void handleData(std::string &inbound);
    void handleMessage(relay_message &message);
    void handleLeases(const lease_answer &answer);
    void handleLeaseTargets(lease_targets &message);
    void handleTargets(const target_answer &answer);
    /** When the ping was sent that this pong answers; never if it answers none. */
    time_point takePing(const relay_pong &pong);
    void finish(std::uint64_t number, relay_result result);
    /** Ends what may be run elsewhere. */
    void loseRepeatable(const std::string &reason);
    bool send(const relay_message &message);
    void loseBudgets();
    duration pingInterval() const;
    void ended(const std::string &reason);

    front_context &m_context;
    fleet_member m_self;
    fleet_member m_peer;
    std::shared_ptr<byte_stream> m_stream;
    std::map<std::uint64_t, pending_work> m_pending;
    int m_openTransactions = 0;
    std::map<std::uint64_t, lease_inquiry> m_leaseQuestions;
    std::map<std::uint64_t, target_handler> m_targetQuestions;
    std::map<std::uint64_t, budget_handler> m_budgets; ///< Questions without an answer.
    std::uint64_t m_nextNumber = 1;
    time_point m_openedAt = never;
    time_point m_pingSentAt = never; ///< Of a ping without an answer.
    time_point m_lastPingAt = never;
    std::deque<sent_ping> m_openPings; ///< Pongs come in their order.
    time_point m_endedAt = never;
    bool m_isPingedSeldom = false;
    bool m_isGreeted = false;
    bool m_isLeaving = false;
    bool m_isIsolated = false;
    bool m_isPeerStoreAway = false;
    bool m_isSilent = false;
    bool m_isEnded = false;
};

}
