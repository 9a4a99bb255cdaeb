#pragma once

#include "commitconfirmer.h"
#include "keyedrequest.h"
#include "sessioncontext.h"
#include "targetexchange.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace crocusdeal
{

/** How the run of a request ends; all run on the session's strand. */
struct run_hooks {
    /** The output holds the whole answer but for ReadyForQuery and, if wanted, the session token. */
    std::function<void(bool reportToken)> answer;
    std::function<void(const pg_error &)> reportError;
    std::function<void()> flushAnswered; ///< A Flush was answered; the batch goes on.
    std::function<void()> close; ///< The session cannot go on.
};

/**
 * Runs the requests of one session, one after the other, on target connections: from the dispatch to the answer, with
 * retries and the confirmation of commits.
 *
 * Belongs to a session; the handlers of its pending operations keep the session alive. All functions run on the
 * session's strand.
 */
class request_run
{
public:
    /** @p context belongs to the session and outlives the run. */
    explicit request_run(session_context &context);

    void start(std::weak_ptr<void> session, run_hooks hooks);

    /** Runs the batch of the context, which arrived at @p receivedAt. */
    void begin(time_point receivedAt);
    /** Runs the messages after a Flush. */
    void continueAfterFlush();
    /** The answer is complete. */
    void end();
    /** Gives up the target connection. */
    void close();
    /** Whether a target connection is held, for a request, a transaction or session state. */
    bool hasLease() const;
    void cancel();
    void onCallerGone();

private:
    void dispatch();
    void dispatchAgain(std::optional<target_id> avoid);
    void onDispatched(dispatch_result result);
    duration staleness() const;

    void runKeyed();
    void onKeyedEnded(keyed_result result);

    void sendToTarget();
    void onAnswered();
    void onFlushAnswered();
    bool retryElsewhere();

    bool mayPreempt() const;
    void preempt(std::uint64_t attempt);
    void stopPreempting();
    bool wasCancelledToRunAgain();
    void runAgainAsLong();
    void onTargetLost();

    void confirm(position at);
    void onConfirmed(position at, confirm_outcome outcome);
    void failRequest(request_failure failure);

    session_context &m_context;
    std::weak_ptr<void> m_session;
    run_hooks m_hooks;
    target_exchange m_target;
    commit_confirmer m_confirmer;
    std::shared_ptr<keyed_request> m_keyed; ///< While a request runs under its key.
    time_point m_deadline;
    std::uint64_t m_dispatchTicket = 0;
    std::optional<target_id> m_avoid;
    bool m_cancelled = false;
    std::uint64_t m_attempt = 0; ///< Number of the last dispatch.
    bool m_preempting = false; ///< The running read is being cancelled to run again.
    bool m_wasPreempted = false;
};

}
