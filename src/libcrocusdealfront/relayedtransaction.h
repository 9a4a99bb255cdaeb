#pragma once

#include "relaylink.h"
#include "statementorder.h"

#include <memory>
#include <string>

namespace crocusdeal
{

/** A transaction that another instance holds open at a target. */
class relayed_transaction : public open_transaction, public std::enable_shared_from_this<relayed_transaction>
{
public:
    /** @p opened is the run over @p link that has opened it. */
    relayed_transaction(front_context &context,
                        std::shared_ptr<relay_link> link,
                        std::uint64_t opened,
                        std::string database,
                        bool hasWritten);

    ~relayed_transaction() override;
    relayed_transaction(const relayed_transaction &) = delete;
    relayed_transaction &operator=(const relayed_transaction &) = delete;

    void run(const caller_request &request,
             const std::optional<prepared_shape> &prepared,
             const session_values &values,
             duration limit,
             outcome_handler done) override;
    void expire() override;
    void end() override;

private:
    void handleResult(int generation, relay_result result);
    void hitLimit();
    /** The outcome is not known: only a commit of writes may have kept something. */
    void lose(const char *reason);
    void answer(statement_outcome outcome);

    front_context &m_context;
    std::shared_ptr<relay_link> m_link;
    std::uint64_t m_opened;
    std::string m_database;
    bool m_hasWritten;
    bool m_isCommit = false; ///< What is running.
    std::string m_requestId;
    outcome_handler m_done;
    std::uint64_t m_number = 0;
    int m_generation = 0; ///< Results of earlier statements are ignored.
    deadline_queue::handle m_limit = 0;
};

}
