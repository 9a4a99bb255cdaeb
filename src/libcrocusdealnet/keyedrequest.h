#pragma once

#include "dispatch.h"
#include "requestbatch.h"
#include "requestkey.h"
#include "responserelay.h"
#include "statementmap.h"

#include <asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusdeal
{

/** How a keyed request ended on one connection. */
struct keyed_result {
    key_step step = key_step::AnswerUnknown; ///< One of the answers, or Claim: go on with another connection.
    std::string frames; ///< The answer without ReadyForQuery, for AnswerOutcome and AnswerError.
    std::optional<position> committed; ///< To be confirmed before the answer is given, for AnswerOutcome.
    bool connectionReusable = false;
};

/**
 * Runs one request under its request key: the claim of the key, the request, its stored outcome and the commit in one
 * transaction on the primary.
 *
 * Keeps itself alive while an operation is pending. All handlers run on the session's executor.
 */
class keyed_request : public std::enable_shared_from_this<keyed_request>
{
public:
    using handler = std::function<void(keyed_result)>;
    using observe_hook = std::function<void(const target_id &, std::string_view state, time_point askedAt)>;

    /** @p batch and @p statements belong to the session and outlive the request. */
    keyed_request(asio::any_io_executor executor,
                  std::string key,
                  const request_batch &batch,
                  const statement_map &statements,
                  observe_hook observe);

    /** Goes on with the step that is due on @p connection. */
    void run(std::shared_ptr<target_connection> connection, std::function<bool()> mayRetry, handler done);
    /** The confirmation of the commit failed. */
    key_step onNotConfirmed(bool mayRetry);

private:
    using next_step = void (keyed_request::*)();

    void begin();
    void claim();
    void onClaimed();
    void createTable();
    void runBatch();
    void onBatchRun();
    void store();
    void onStored();
    void onCommitted();
    void find();
    void onFound();
    void onRewritten();
    void fail(const pg_error &error);
    void rollBackAndAnswerError();

    void sendText(std::string_view sql, next_step then);
    void send(std::string bytes, next_step then);
    void read(next_step then);
    void lost();
    void answer(key_step step);

    asio::any_io_executor m_executor;
    std::string m_keyText;
    const request_batch &m_batch;
    const statement_map &m_statements;
    observe_hook m_observe;
    request_key m_key;

    std::shared_ptr<target_connection> m_connection;
    std::function<bool()> m_mayRetry;
    handler m_done;
    response_relay m_relay;
    std::string m_toTarget;
    std::string m_received; ///< Frames of the step under way.
    std::string m_errorFrames;
    std::optional<std::string> m_found;
    time_point m_sentAt;
    bool m_tableCreated = false;
};

}
