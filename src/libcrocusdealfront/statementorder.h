#pragma once

#include "clock.h"
#include "errorcode.h"
#include "keyaccess.h"
#include "position.h"
#include "routingconfiguration.h"
#include "sessionvalues.h"
#include "targetlink.h"
#include "wireprotocol.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusdeal
{

class open_transaction;

/** What a statement is to be run as. */
struct statement_order {
    caller_request request;
    effect kind = effect::Read;
    std::optional<prepared_shape> prepared; ///< Of Execute.
    /** The transaction that the caller has begun and that this is the first statement of. */
    std::optional<statement_kind> opens;
    database_route route;
    caller_access access;
    std::optional<position> ownCommit;
    time_point arrivedAt;
    time_point startedAt; ///< Of the operation: for the first statement of a transaction, when it was begun.
};

/** How a statement ended, for its caller. */
struct statement_outcome {
    target_reply reply; ///< Of the target, if there is no error of the product's own.
    std::optional<error_code> error; ///< The product's own.
    std::string errorText;
    std::shared_ptr<open_transaction> transaction; ///< If one is open after the statement.

    bool isFailure() const
    {
        return error || reply.error;
    }
};

using outcome_handler = std::function<void(statement_outcome)>;

/** A statement that is under way. */
class running_statement
{
public:
    virtual ~running_statement() = default;

    /** The caller has gone: gives up waiting; what is sent runs to its end. */
    virtual void abandon() = 0;
    /** Its time is over before its limit: gives the outcome now, as far as it is known. */
    virtual void expire() = 0;
};

/** A transaction that is open at a target. */
class open_transaction
{
public:
    virtual ~open_transaction() = default;

    /**
     * Runs a statement, or the commit; one at a time.
     *
     * @p done is called once, unless the transaction is ended first. Its outcome holds the transaction while that is
     * open.
     */
    virtual void run(const caller_request &request,
                     const std::optional<prepared_shape> &prepared,
                     const session_values &values,
                     duration limit,
                     outcome_handler done) = 0;
    /** Gives the outcome of the statement that is running now, as far as it is known. */
    virtual void expire() = 0;
    /** Rolls back and gives up what is running; a commit that was sent runs to its end. */
    virtual void end() = 0;
};

}
