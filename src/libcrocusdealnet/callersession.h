#pragma once

#include "requestrun.h"
#include "sessioncontext.h"

#include <chrono>
#include <memory>
#include <string>

namespace crocusdeal
{

/**
 * One caller's session after its start-up.
 *
 * It keeps itself alive by the handlers of its pending operations. All of them run on its strand; the public functions
 * may be called from any thread.
 */
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    using strand = session_context::session_strand;

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
    void nextRequest();
    void onCallerGone();

    void handleBatch();
    void handleLocally();
    void answerInFailedTransaction();

    void finishAnswer(bool reportToken);

    void endForShutdown();
    void fail(const pg_error &error);
    void reportError(const pg_error &error);
    void endRequest();
    void closeNow();

    /** The last handler of a session may be dropped after the environment of the instance has ended. */
    const std::shared_ptr<session_registry> m_registry;
    session_context m_context;
    request_run m_run;
    bool m_draining = false;
    std::chrono::steady_clock::time_point m_preciseStart; ///< Of the request, for metrics.
};

}
