#pragma once

#include "budgetdemand.h"
#include "bytestream.h"
#include "servicegroup.h"
#include "shutdownplan.h"
#include "statementorder.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace crocusdeal
{

/** What a session asks of the daemon that it belongs to. */
struct session_surroundings {
    /** The configuration in force; null before there is any. */
    std::function<std::shared_ptr<const routing_configuration>()> configuration;
    /** Until when work with keys may be sent to targets, as things are known now; nothing if that is not bound. */
    std::function<std::optional<time_point>()> accessValidUntil;
    /** A caller has come for the service. */
    std::function<void(const service_id &)> prepare;
    /** Runs a statement; null, and no outcome, if its service is not known. */
    std::function<std::shared_ptr<running_statement>(const statement_order &, const session_values &, outcome_handler)>
        run;
    /** Tells, now or later, whether an operation of the workspace may begin. Null if nothing limits them. */
    std::function<void(const workspace_id &, admission_handler)> admit;
    /** An admitted operation was not run; its budget lapses at the given time. */
    std::function<void(const workspace_id &, time_point)> refund;
    /** What may still begin while the instance is leaving; null while it stays. */
    std::function<const shutdown_plan *()> leaving;
};

/**
 * The session of one caller.
 *
 * It answers what needs no target itself and begins a transaction at a target with its first statement, so that a
 * caller that pauses after its BEGIN holds no connection.
 */
class front_session : public std::enable_shared_from_this<front_session>
{
public:
    front_session(front_context &context, std::shared_ptr<byte_stream> stream, session_surroundings surroundings);

    /** The caller has gone or the session was closed. */
    std::function<void()> onEnded;

    void start();
    /** Nothing is running and no transaction is open. */
    bool isIdle() const;
    bool isInTransaction() const;
    /** Whether it was let in by a key. */
    bool usesKey() const;
    /** Ends an idle session without cutting a request that is on its way here. */
    void closeIfIdle();
    /**
     * Ends the session as soon as it is idle, at the latest with the answer to the request that it has read by then.
     * With
     * @p endsTransactions an open transaction is rolled back as soon as no statement of it is under way.
     */
    void leave(bool endsTransactions);
    void close();
    /** Answers the request that is under way now, as far as its outcome is known. */
    void expire();
    /** Logs the request that is under way, if there is one, as the process ends without an answer to it. */
    void reportCut(time_point leavingSince) const;
    /** Ends what the caller's key does not allow any more under the configuration in force. */
    void reviewAccess();
    /** Rolls back the open transaction; its next statement is told so. */
    void abortTransaction(const char *why);

private:
    void handleData(std::string &inbound);
    void handleMessage(const caller_message &message);
    void handleStartup(const session_startup &startup);
    void refuseSession(error_code code, std::string_view reason);
    void handleRequest(const caller_request &request);
    /** Whether the caller may go on; answers the request if not. */
    bool isAccessGranted(const caller_request &request);
    void refuseAccess(const caller_request &request, error_code code, std::string_view reason);
    /** What the caller's key allows now; nothing without a route. */
    std::optional<access_decision> currentAccess();
    void handleInFailedTransaction(const caller_request &request);
    void handleBegin(const statement &what);
    void handleSet(const statement &what);
    void handlePrepare(const statement &what);
    void handleDeallocate(const statement &what);
    void handleCommit(const caller_request &request);
    void handleRollback();
    void handleData(const caller_request &request, effect kind, std::optional<prepared_shape> prepared);
    void runFirst(const caller_request &request, effect kind, std::optional<prepared_shape> prepared);
    /** Runs the first statement of an operation, once its workspace may begin one. */
    void admitAndRun(statement_order order);
    /** @p number tells which question it answers. */
    void takeAdmission(int number, const statement_order &order, const admission &result);
    void runAdmitted(const statement_order &order);
    void refuseOverLimit(const statement_order &order, const admission &result);
    /** Whether the instance stays long enough to answer a statement on this route that begins now. */
    bool mayBegin(const database_route &route, bool isInTransaction) const;
    /** An open transaction has failed with the request that was read last; a commit has ended it. */
    void failTransaction();
    /** Tells that nothing was begun since the instance leaves. */
    void refuseLeaving();
    /** Gives the budget of an operation back that was not begun at a target. */
    void refundCharge();
    /** Answers what cannot be run at all. */
    void refuseFirst(const caller_request &request, error_code code, std::string_view reason);
    void finishRun(const caller_request &request, const statement_outcome &outcome);
    void runInTransaction(const caller_request &request, const std::optional<prepared_shape> &prepared);
    void finishInTransaction(const caller_request &request, const statement_outcome &outcome);
    void answerOutcome(const statement_outcome &outcome);
    void countStatement(std::optional<error_code> error);
    void endTransaction();
    void watchTransactionIdle();
    void answerOwn();
    void answerError(error_code code, std::string_view text);
    void answerReply(const target_reply &reply);
    void finishAnswer(std::optional<position> at);
    std::optional<database_route> currentRoute();
    void recordCommit(const service_id &service, std::optional<position> at);
    void leaveIfIdle();
    void closed(const std::string &reason);

    front_context &m_context;
    std::shared_ptr<byte_stream> m_stream;
    session_surroundings m_surroundings;
    std::string m_database;
    std::optional<access_key_digest> m_key;
    workspace_id m_transactionWorkspace; ///< Of the open transaction.
    bool m_isStarted = false;
    bool m_isBusy = false;
    bool m_isEnded = false;
    bool m_isLeaving = false;
    bool m_endsTransactions = false; ///< While it is leaving.
    session_values m_values;
    std::map<service_id, position> m_commits; ///< The last acknowledged one.

    transaction_state m_state = transaction_state::Idle;
    statement_kind m_begunBy = statement_kind::Begin;
    time_point m_begunAt = never;
    std::optional<database_route> m_transactionRoute;
    service_id m_service; ///< Of the statement or transaction that was run last.
    std::shared_ptr<open_transaction> m_transaction; ///< From its first statement.
    bool m_hasWritten = false;
    bool m_wasAborted = false; ///< By the product; the caller has not been told.
    time_point m_arrivedAt = never; ///< Of the statement that is running.
    std::string m_requestId; ///< Of the request that was read last.
    statement_kind m_requestKind = statement_kind::Begin; ///< Of the same.
    deadline_queue::handle m_idleLimit = 0;
    std::shared_ptr<running_statement> m_run;
    int m_admissions = 0; ///< An answer to an earlier one counts no more.
    std::optional<workspace_id> m_charged; ///< Whose budget the operation that is beginning was taken from.
    time_point m_chargeLapsesAt = never;
    bool m_isOutcomeDue = false; ///< Of m_run; an outcome may come before the run is known.
    std::string m_out;
};

}
