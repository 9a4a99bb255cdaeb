#pragma once

#include "batchinfo.h"
#include "callerstream.h"
#include "dispatch.h"
#include "keyedrequest.h"
#include "requestbatch.h"
#include "responserelay.h"
#include "sessionregistry.h"
#include "sessionsettings.h"
#include "statementcache.h"
#include "statementmap.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusdeal
{

/** What all sessions of an instance share. */
struct session_environment {
    asio::io_context &io;
    session_registry &registry;
    statement_cache &statements;
    std::function<void(std::function<void()>)> runBlocking; ///< Runs a call that may block on a thread of its own.
    /** For metrics: the time from the message to the answer. */
    std::function<void(statement_class, std::chrono::microseconds)> onAnswered;
};

/**
 * One caller's session after its start-up.
 *
 * It keeps itself alive by the handlers of its pending operations. All of them run on its strand; the public functions
 * may be called from any thread.
 */
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    using strand = asio::strand<asio::io_context::executor_type>;

    caller_session(session_environment &environment,
                   std::shared_ptr<const service_hooks> service,
                   std::unique_ptr<caller_stream> stream,
                   strand executor,
                   frame_reader reader,
                   const session_options &options);
    ~caller_session();

    /** Sends the end of the start-up answer and serves requests until the caller leaves. */
    void start(const std::string &greeting);
    void cancelRequest();
    /** Ends the session as soon as no request and no transaction is open. */
    void drain();
    /** Ends the session at once; true if a request or a transaction was cut. */
    void abort();
    /** Whether a request or a transaction is open, as of the last change. */
    bool isBusy() const;

private:
    enum class phase {
        Idle,
        Dispatching, ///< Waiting for a target connection.
        Running, ///< A target works on the batch.
        Confirming, ///< Waiting for the confirmation of a write.
        Closing, ///< The last error is on its way; requests that arrive now are not run.
        Closed,
    };

    void read();
    void onRead(std::error_code error, std::size_t bytes);
    void nextRequest();
    void onCallerGone();

    void handleBatch();
    void handleLocally();
    bool refuseUnsupported();
    bool answerInFailedTransaction();
    void dispatch();
    void onDispatched(dispatch_result result);
    bool needsConfirmation() const;
    duration staleness() const;

    void runKeyed();
    void onKeyedEnded(keyed_result result);

    void sendToTarget();
    void onSent(std::error_code error);
    void readTarget();
    void onTargetRead(std::error_code error, std::size_t bytes);
    void relay();
    void onAnswered();
    void onFlushAnswered();
    bool retryElsewhere();
    void onTargetLost();
    void watchTarget();
    /** Sends a cancellation for the running statement; the target connection is closed afterwards. */
    void cancelAtTarget();
    void returnLease(lease_outcome outcome);

    void confirm(position at);
    void onConfirmed(position at, confirm_outcome outcome);
    void finishAnswer(bool reportToken);

    void fail(const pg_error &error);
    void reportError(const pg_error &error);
    void flush(std::function<void()> then);
    void endRequest();
    void closeNow();
    void setPhase(phase value);

    session_environment &m_environment;
    std::shared_ptr<const service_hooks> m_service;
    std::unique_ptr<caller_stream> m_stream;
    strand m_strand;
    asio::steady_timer m_watchTimer;
    session_registry::ticket m_ticket;

    frame_reader m_reader;
    bool m_reading = false;
    bool m_flushing = false;
    bool m_callerGone = false;
    bool m_draining = false;
    std::atomic<bool> m_busy{false};
    phase m_phase = phase::Idle;

    session_settings m_settings;
    std::shared_ptr<keyed_request> m_keyed; ///< While a request runs under its key.

    request_batch m_batch;
    batch_info m_info;
    statement_map m_statements;
    time_point m_requestStart;
    std::chrono::steady_clock::time_point m_preciseStart;
    time_point m_deadline;
    time_point m_sentAt;
    std::uint64_t m_routedTerm = 0; ///< Of the group, when the lease was given.
    std::uint64_t m_dispatchTicket = 0;
    std::optional<target_id> m_avoid;
    bool m_cancelled = false;
    bool m_cancelSent = false; ///< To the database, on the present lease.
    bool m_anythingWritten = false; ///< Part of the answer has left for the caller.
    bool m_awaitingSync = false; ///< A Flush was answered; the Sync of its batch is still to come.

    std::unique_ptr<connection_lease> m_lease;
    response_relay m_relay;
    relay_hooks m_relayHooks;
    std::string m_toTarget;
    std::string m_out;
    std::string m_writing;
    char m_transaction = 'I';
    bool m_transactionWrote = false;
    bool m_failedTransaction = false; ///< The target connection of an open transaction was lost.
    bool m_pinned = false;
};

}
