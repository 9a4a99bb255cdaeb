#pragma once

#include "servicegroup.h"
#include "statementorder.h"

#include <memory>
#include <optional>

namespace crocusdeal
{

/** A transaction at a target to which this instance holds the connection. */
class local_transaction : public open_transaction, public std::enable_shared_from_this<local_transaction>
{
public:
    /** @p order is the one that has opened the transaction at the target of @p grant. */
    local_transaction(front_context &context,
                      std::shared_ptr<service_group> group,
                      target_grant grant,
                      const statement_order &order);

    void run(const caller_request &request,
             const std::optional<prepared_shape> &prepared,
             const session_values &values,
             duration limit,
             outcome_handler done) override;
    void expire() override;
    void end() override;

private:
    void sendToTarget();
    bool isCommitOfWrite() const;
    /** The target does not work on the statement any more. */
    void endSending(bool isAcknowledged);
    bool isWorthAnotherTry(const target_reply &reply) const;
    void handleReply(const target_reply &reply);
    void recordPrimary(const target_reply &reply);
    void finish(const target_reply &reply);
    void finishCommit(const target_reply &reply);
    /** Answers once the commit is known to survive a change of the primary. */
    void answerWhenKept(const target_id &primary, const target_reply &reply);
    /** Gives up waiting for the proof that the commit survives. */
    void giveUpProof();
    void failInDoubt(const char *reason);
    void hitLimit();
    void release(bool isReusable);
    void rollBack();
    void fail(error_code code, std::string text);
    void answer(statement_outcome outcome);

    front_context &m_context;
    std::shared_ptr<service_group> m_group;
    std::optional<target_grant> m_grant; ///< Until the transaction ends.
    std::string m_database;
    bool m_isPlain; ///< The target has proved that it led when the transaction began.
    bool m_hasWritten;

    /** The statement that the target is working on, or has refused as busy and is to get again. */
    std::optional<caller_request> m_request;
    std::optional<prepared_shape> m_prepared;
    session_values m_values;
    outcome_handler m_done;
    duration m_limitTime;
    bool m_isWithTarget = false;
    int m_busyAnswers = 0;
    time_point m_arrivedAt = never;
    time_point m_sentAt = never;
    int m_generation = 0; ///< Answers to earlier attempts are ignored.
    commit_proof::ticket m_proof = 0;
    deadline_queue::handle m_limit = 0;
    deadline_queue::handle m_busyTimer = 0;
};

}
