#pragma once

#include "relaylink.h"
#include "statementorder.h"

#include <functional>
#include <memory>
#include <set>

namespace crocusdeal
{

/** Where a statement of a service can be run. */
struct relay_choice {
    /** The link to the instance that is to get the next statement, without those to avoid; null for this instance. */
    std::function<std::shared_ptr<relay_link>(const service_id &, const std::set<instance_id> &avoid)> next;
    /** Whether the links to those instances are just being opened, so that a moment's wait finds one. */
    std::function<bool(const service_id &)> isSettling;
    /** Runs a statement at targets of this instance; null if the service is not known here. */
    std::function<std::shared_ptr<running_statement>(const statement_order &, const session_values &, outcome_handler)>
        runHere;
};

/**
 * A statement on its own, or the first of a transaction, that another instance runs.
 *
 * It is handed to a further instance only while it has not been begun, or if it keeps nothing by itself: a read, or the
 * first statement of a transaction.
 */
class relayed_statement : public running_statement, public std::enable_shared_from_this<relayed_statement>
{
public:
    relayed_statement(front_context &context,
                      relay_choice choice,
                      statement_order order,
                      const session_values &values,
                      outcome_handler done);

    void start();
    void abandon() override;
    void expire() override;

private:
    bool keepsNothing() const;
    void tryNext();
    void runHere();
    bool mayWait() const;
    relay_run messageOf() const;
    void handleResult(const std::shared_ptr<relay_link> &link, std::uint64_t number, relay_result result);
    void handleLoss(const std::string &reason);
    void hitLimit();
    void fail(error_code code, std::string text);
    void finish(statement_outcome outcome);

    front_context &m_context;
    relay_choice m_choice;
    statement_order m_order;
    session_values m_values;
    outcome_handler m_done;
    std::set<instance_id> m_tried;
    std::shared_ptr<relay_link> m_link; ///< Of the run in progress.
    std::uint64_t m_number = 0;
    std::shared_ptr<running_statement> m_here;
    deadline_queue::handle m_limit = 0;
    deadline_queue::handle m_waitTimer = 0;
    bool m_isBegun = false; ///< Another instance may have begun it.
    bool m_isEnded = false;
};

}
