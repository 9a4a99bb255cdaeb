#pragma once

#include "servicegroup.h"
#include "statementorder.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** Adds the statement as the target has to see it. */
void encodeStatement(const target_protocol &protocol,
                     std::string &out,
                     const connection_values &values,
                     const caller_request &request,
                     const std::optional<prepared_shape> &prepared,
                     std::optional<position> after);
/** Sends the steps that give the connection the session's values. */
void sendPreparation(const target_protocol &protocol,
                     const std::shared_ptr<target_link> &link,
                     const session_values &session,
                     const prepared_shape *needed,
                     bool isInTransaction);

/**
 * One statement on its own, or the first of a transaction, from its arrival to its outcome.
 *
 * It is sent again only while no target can have run it, or if it changes nothing.
 */
class statement_run : public running_statement, public std::enable_shared_from_this<statement_run>
{
public:
    statement_run(front_context &context,
                  std::shared_ptr<service_group> group,
                  statement_order order,
                  const session_values &values,
                  outcome_handler done);

    void start();
    void abandon() override;
    void expire() override;

private:
    void acquire();
    void handleGrant(target_grant grant);
    void refuse(refusal_reason reason);
    void sendBegin();
    void handleBegin(const target_reply &reply);
    void sendStatement();
    void handleReply(target_reply reply);
    void handleSuccess(target_reply reply);
    /** Finishes once the commit is known to survive a change of the primary. */
    void finishWhenKept(const target_id &primary, statement_outcome outcome);
    void armHedge();
    /** Sends a read to another target and leaves the silent one to answer when it can. */
    void hedge();
    void handleOrphanReply(int generation, const target_reply &reply);
    void handleError(target_reply reply);
    void handleLoss(const target_reply &reply);
    void retry(const char *why);
    void dropGrant(bool isReusable);
    void rollBackGrant();
    void hitLimit();
    void finish(statement_outcome outcome);
    /** The promise that nothing is kept, which is true of everything that is retried. */
    error_code unkeptCode() const;
    void fail(error_code code, std::string text);
    bool opensTransaction() const;
    bool opensPlain() const;
    bool isWrapped() const;

    front_context &m_context;
    std::shared_ptr<service_group> m_group;
    statement_order m_order;
    session_values m_values;
    outcome_handler m_done;
    target_need m_need;
    std::optional<target_grant> m_grant;
    struct orphan_grant {
        target_grant grant;
        int generation;
    };
    std::vector<orphan_grant> m_orphans; ///< Of reads that were sent elsewhere meanwhile.
    service_group::ticket m_ticket = 0;
    commit_proof::ticket m_proof = 0;
    deadline_queue::handle m_limit = 0;
    deadline_queue::handle m_hedgeTimer = 0;
    bool m_isRollbackSent = false; ///< Its answer releases the grant.
    int m_attempts = 0;
    int m_generation = 0; ///< Answers to earlier attempts are ignored.
    bool m_isSent = false; ///< Some target may have run the statement.
    bool m_isWriteOpen = false;
    time_point m_acquiredAt = never;
    time_point m_sentAt = never;
};

}
