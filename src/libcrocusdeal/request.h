#pragma once

#include "nametable.h"

#include <string_view>

namespace crocusdeal
{

/** How far a request has come. */
enum class request_state {
    NotSent, ///< No byte of it was handed to a target connection.
    Sent, ///< It may have been run.
    Answered, ///< The caller has the complete response, or a final error.
};

inline constexpr auto requestStateNames = makeNameTable<request_state>("not sent", "sent", "answered");

/** Why a request ends without a response of a database. */
enum class request_failure {
    Refused, ///< By the admission queue.
    NoTarget, ///< No target is eligible, or none could be connected to.
    ConnectionLost, ///< The target connection failed.
    ReadOnlyTarget, ///< The database refused to write (25006) and did nothing.
    NotConfirmed, ///< The commit was not confirmed in time, or the primary lost its role before.
    DeadlinePassed, ///< While the request ran.
    Shutdown, ///< Of this instance.
};

inline constexpr auto requestFailureNames = makeNameTable<request_failure>("refused",
                                                                           "no target",
                                                                           "connection lost",
                                                                           "read-only target",
                                                                           "not confirmed",
                                                                           "deadline passed",
                                                                           "shutdown");

/** What the request may change and how it stands to a transaction; decides what may be repeated. */
struct request_scope {
    bool mayCommit = false; ///< Its end may commit a change.
    bool inTransaction = false; ///< A transaction was open before: what ran in it cannot be repeated.
    bool endsTransaction = false;
};

/** What a failed request means for its session. */
enum class session_effect {
    None,
    HistoryUnknown, ///< The next read has to cover a write that may have been made.
    TransactionFailed, ///< The open transaction is lost; the session waits for its end.
    Closes, ///< The session cannot go on.
};

/** What the caller is told. */
struct error_answer {
    std::string_view sqlState; ///< "53300" and "57P03": not run. "08007": outcome unknown.
    std::string_view message;
    std::string_view hint;
    session_effect effect = session_effect::None;
};

/**
 * The state of one request, and what may be said of it and done with it on a failure.
 *
 * The states only advance, except that a request returns to NotSent when it may be repeated after a failure.
 */
class request
{
public:
    /** No request is open. */
    request() = default;

    explicit request(const request_scope &scope)
        : m_scope(scope)
        , m_state(request_state::NotSent)
    {
    }

    request_state state() const
    {
        return m_state;
    }

    /** Changes the scope: the role of the target is known after routing, and messages after a Flush may add to it. */
    void setScope(const request_scope &scope);

    /** To be called before the first byte is handed to the target connection. */
    void onSending();

    /** A part of the response was passed on to the caller; from now on it cannot be repeated unnoticed. */
    void onForwarded();

    /** The target may have committed a change; the response is held until the commit is confirmed. */
    void onCommitted();

    /** The complete response was passed on. */
    void onAnswered();

    /** The database has refused the request and says that it did nothing (25006 on a replica or a fenced database). */
    void onRefusedByTarget();

    /** Whether the request may be sent again after @p failure, if the retry budget allows. */
    bool mayRetry(request_failure failure) const;

    /** Prepares for sending again; call only if mayRetry(). */
    void onRetry();

    /** Ends the request without a response: the error for the caller. */
    error_answer fail(request_failure failure);

private:
    error_answer unknownOutcome(request_failure failure) const;

    request_scope m_scope;
    request_state m_state = request_state::Answered;
    bool m_forwarded = false;
};

}
