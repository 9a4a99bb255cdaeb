#include "relayedtransaction.h"

#include "systemclock.h"

#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration answerMargin{40}; // In which the outcome of the other instance's own limit arrives.

}

relayed_transaction::relayed_transaction(front_context &context,
                                         std::shared_ptr<relay_link> link,
                                         std::uint64_t opened,
                                         std::string database,
                                         bool hasWritten)
    : m_context(context)
    , m_link(std::move(link))
    , m_opened(opened)
    , m_database(std::move(database))
    , m_hasWritten(hasWritten)
{
    m_link->transactionOpened();
}

relayed_transaction::~relayed_transaction()
{
    m_link->transactionEnded();
}

void relayed_transaction::run(const caller_request &request,
                              const std::optional<prepared_shape> &prepared,
                              const session_values &values,
                              duration limit,
                              outcome_handler done)
{
    const bool isWrite = request.what.kind == statement_kind::Write || (prepared && prepared->kind == effect::Write);
    m_hasWritten = m_hasWritten || isWrite;
    m_isCommit = request.what.kind == statement_kind::Commit;
    m_requestId = request.id;
    m_done = std::move(done);
    m_limit = m_context.deadlines.scheduleAfter(limit + answerMargin, [self = shared_from_this()] {
        self->m_limit = 0;
        self->hitLimit();
    });
    relay_step message;
    message.transaction = m_opened;
    message.request = request;
    message.prepared = prepared;
    message.limit = limit;
    message.values = values.values;
    const auto generation = ++m_generation;
    m_number = m_link->step(std::move(message), [self = shared_from_this(), generation](relay_result result) {
        self->handleResult(generation, std::move(result));
    });
}

void relayed_transaction::handleResult(int generation, relay_result result)
{
    if (generation != m_generation) {
        return;
    }
    m_context.deadlines.cancel(m_limit);
    statement_outcome outcome;
    switch (result.end) {
    case relay_end::Lost:
        lose("the instance that holds the transaction was lost");
        return;
    case relay_end::NotServed:
        outcome.error = error_code::Aborted;
        outcome.errorText = "the instance that held the transaction was lost";
        break;
    case relay_end::Answered:
        outcome.reply = std::move(result.answer.reply);
        outcome.error = result.answer.error;
        outcome.errorText = std::move(result.answer.errorText);
        if (result.answer.isOpen) {
            outcome.transaction = shared_from_this();
        }
        break;
    }
    answer(std::move(outcome));
}

void relayed_transaction::lose(const char *reason)
{
    const bool isInDoubt = m_isCommit && m_hasWritten;
    m_context.log.warn(isInDoubt ? "commit_in_doubt" : "transaction_aborted")
        .field("id", m_requestId)
        .field("database", m_database)
        .field("relayed_to", m_link->peer().id.str())
        .field("reason", reason);
    statement_outcome outcome;
    outcome.error = isInDoubt ? error_code::InDoubt : error_code::Aborted;
    outcome.errorText = reason;
    answer(std::move(outcome));
}

void relayed_transaction::hitLimit()
{
    ++m_generation;
    m_link->abandon(m_number);
    lose("the statement timed out");
}

void relayed_transaction::expire()
{
    const auto self = shared_from_this();
    m_context.deadlines.cancel(m_limit);
    if (m_done) {
        hitLimit();
    }
}

void relayed_transaction::end()
{
    ++m_generation;
    m_context.deadlines.cancel(m_limit);
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        m_link->abandon(m_number);
    } else {
        m_link->rollBack(m_opened);
    }
}

void relayed_transaction::answer(statement_outcome outcome)
{
    const auto self = shared_from_this();
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
        done(std::move(outcome));
    }
}

}
