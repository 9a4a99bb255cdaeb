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
    DeadlinePassed, ///< While the request ran, or while a commit waited for confirmation.
    Fenced, ///< The primary lost its role before the write was confirmed.
    Shutdown, ///< Of this instance.
};

inline constexpr auto requestFailureNames =
    makeNameTable<request_failure>("refused", "no target", "connection lost", "deadline passed", "fenced", "shutdown");

/** What the request does; decides what may be repeated. */
enum class request_kind {
    Read, ///< May be repeated at any time outside a transaction.
    Write,
    InTransaction, ///< Any statement of an open transaction, COMMIT included: what ran before it cannot be repeated.
};

/** What the caller is told. */
struct error_answer {
    std::string_view sqlState; ///< "53300" and "57P03": not run. "08007": outcome unknown.
    bool closesSession = false; ///< The session cannot go on.

    friend bool operator==(const error_answer &, const error_answer &) = default;
};

/**
 * The state of one request, and what may be said of it and done with it on a failure.
 *
 * The states only advance, except that a request returns to NotSent when it may be repeated after a failure.
 */
class request
{
public:
    explicit request(request_kind kind)
        : m_kind(kind)
    {
    }

    request_state state() const
    {
        return m_state;
    }

    /** To be called before the first byte is handed to the target connection. */
    void onSending();

    /** A part of the response was passed on to the caller; from now on it cannot be repeated unnoticed. */
    void onForwarded();

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
    request_kind m_kind;
    request_state m_state = request_state::NotSent;
    bool m_forwarded = false;
};

}
