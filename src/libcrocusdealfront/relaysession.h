#pragma once

#include "bytestream.h"
#include "relaymessages.h"
#include "servingplan.h"
#include "targetpool.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace crocusdeal
{

/** What a session of another instance asks of this one. */
struct relay_surroundings {
    fleet_member self;
    /** Whether an instance of this name belongs to the fleet, as far as it is known here. */
    std::function<bool(const instance_id &)> isMember;
    std::function<bool()> isLeaving;
    std::function<bool()> isIsolated;
    std::function<bool()> isStoreAway;
    /** Evidence of the configuration, as it is now; nothing if there is none to tell. */
    std::function<std::optional<reported_configuration>()> reportConfiguration;
    /** What others should know of the load of targets, a few at a time. */
    std::function<std::vector<reported_load>()> loads;
    /** The same from another instance. */
    std::function<void(const instance_id &, const std::vector<reported_load> &)> heardLoads;
    /** Reads the promotion leases from the store after this call, with an answer that is not allowed to be old. */
    std::function<void(std::function<void(const promotion_lease_list_update &)>)> readLeases;
    /** The targets of the services as this instance knows them from the store. */
    std::function<target_answer(const std::vector<service_id> &)> listTargets;
    /** How long this process had not run until just now; what was received may be older by so much. */
    std::function<duration()> recentStall;
    /** Runs a statement at targets of this instance; null if the service is not known here. */
    std::function<std::shared_ptr<running_statement>(const statement_order &, const session_values &, outcome_handler)>
        run;
    /** Whether the access may rest on a key that a newer configuration has taken away here. */
    std::function<bool(const caller_access &)> mayRestOnLostKey;
    /** Tells what this instance knows of a service, now or later. */
    std::function<void(const service_id &, std::function<void(const instance_knowledge &)>)> describe;
    /** Gives another instance a part of a budget, now or later. */
    std::function<void(const budget_request &, std::function<void(const budget_grant &)>)> grantBudget;
};

/** The session of another instance, which hands over statements of its callers. */
class relay_session : public std::enable_shared_from_this<relay_session>
{
public:
    relay_session(front_context &context, std::shared_ptr<byte_stream> stream, relay_surroundings surroundings);

    std::function<void()> onEnded;

    void start();
    void close(const std::string &reason);
    /** Whether statements run or transactions are open. */
    bool hasWork() const;
    /** The fleet is known afresh; a greeting that waits for that is answered. */
    void membersChanged();
    /** Tells the other instance at once whether this one leaves or reaches too few targets. */
    void announceState();
    /** Rolls back the transactions that are open; their next statements are told so. */
    void endTransactions();
    /** Answers what is under way now, as far as its outcome is known. */
    void expire();

private:
    void handleData(std::string &inbound);
    void handleMessage(const relay_message &message);
    void handleHello(const relay_hello &hello);
    void greet();
    void refuseGreeting();
    void handleRun(const relay_run &message);
    void handleStep(const relay_step &message);
    /** Whether all texts of the statement can be sent to a target; refuses it otherwise. */
    bool isCarried(std::uint64_t number,
                   const caller_request &request,
                   const std::optional<prepared_shape> &prepared,
                   const std::map<std::string, std::string> &values);
    void handleAbandon(std::uint64_t number);
    void handleQuestion(const service_question &question);
    void handleLeaseQuestion(const lease_question &question);
    void handleTargetQuestion(const target_question &question);
    void handleBudgetRequest(const budget_request &request);
    void endTransaction(std::uint64_t number);
    /** What a pong tells; @p number is that of the ping, or 0. */
    relay_pong stateOf(std::uint64_t number) const;
    bool isStepRunning(std::uint64_t transaction) const;
    void answerRun(std::uint64_t number, const statement_outcome &outcome);
    /** The process ends without the outcome: the other instance goes on with what is safe to run again. */
    void answerExpired(std::uint64_t number, error_code code);
    void answerStep(std::uint64_t number, std::uint64_t transaction, const statement_outcome &outcome);
    void answer(std::uint64_t number, const statement_outcome &outcome);
    void refuse(std::uint64_t number, error_code code, std::string text);
    void send(const relay_message &message);
    void ended(const std::string &reason);

    front_context &m_context;
    std::shared_ptr<byte_stream> m_stream;
    relay_surroundings m_surroundings;
    instance_id m_peer; ///< Empty until it has greeted.
    std::optional<relay_hello> m_waiting; ///< Of an instance that is not known yet.
    deadline_queue::handle m_greetingLimit = 0;
    std::map<std::uint64_t, std::shared_ptr<running_statement>> m_running;
    std::map<std::uint64_t, std::shared_ptr<open_transaction>> m_transactions; ///< By the run that opened them.
    std::map<std::uint64_t, std::uint64_t> m_steps; ///< That run, with their transactions.
    bool m_isExpiring = false; ///< The process ends soon.
    bool m_isEnded = false;
};

}
