#include "request.h"

namespace crocusdeal
{

namespace
{

constexpr std::string_view tooManyRequests = "53300";
constexpr std::string_view notAvailable = "57P03";
constexpr std::string_view outcomeUnknown = "08007";
constexpr std::string_view adminShutdown = "57P01";
constexpr std::string_view serializationFailure = "40001";
constexpr std::string_view connectionFailure = "08006";

}

void request::setScope(const request_scope &scope)
{
    m_scope = scope;
}

void request::onSending()
{
    // A part of a frame may reach the target even if writing fails, so the request counts as sent before it is written.
    if (m_state == request_state::NotSent) {
        m_state = request_state::Sent;
    }
}

void request::onForwarded()
{
    m_forwarded = true;
}

void request::onCommitted()
{
    m_state = request_state::Sent;
    m_scope.mayCommit = true;
}

void request::onAnswered()
{
    m_state = request_state::Answered;
}

void request::onRefusedByTarget()
{
    if (m_state == request_state::Sent && !m_forwarded) {
        m_state = request_state::NotSent;
    }
}

bool request::mayRetry(request_failure failure) const
{
    const bool isFinal = failure == request_failure::Refused || failure == request_failure::DeadlinePassed
        || failure == request_failure::NotConfirmed || failure == request_failure::Shutdown;
    if (isFinal || m_forwarded || m_scope.inTransaction) {
        return false;
    }
    if (failure == request_failure::ReadOnlyTarget) {
        // A batch with an end of a transaction may have committed its first part before the refusal.
        return m_state == request_state::NotSent && !m_scope.endsTransaction;
    }
    return m_state == request_state::NotSent || (m_state == request_state::Sent && !m_scope.mayCommit);
}

void request::onRetry()
{
    m_state = request_state::NotSent;
}

error_answer request::unknownOutcome(request_failure failure) const
{
    constexpr std::string_view hint = "Look whether the write took effect before repeating it.";
    // The caller will want to look whether the write is there, which needs a read that covers it.
    constexpr auto effect = session_effect::HistoryUnknown;
    switch (failure) {
    case request_failure::ConnectionLost:
        return {outcomeUnknown, "the outcome of the write is unknown: the target connection was lost", hint, effect};
    case request_failure::NotConfirmed:
        return {outcomeUnknown, "the outcome of the write is unknown: it could not be confirmed", hint, effect};
    default:
        return {outcomeUnknown, "the outcome of the write is unknown", hint, effect};
    }
}

error_answer request::fail(request_failure failure)
{
    const auto state = m_state;
    m_state = request_state::Answered;
    if (state == request_state::Answered) {
        if (failure == request_failure::Shutdown) {
            return {adminShutdown, "the instance is shutting down", {}, session_effect::Closes};
        }
        return {outcomeUnknown, "the request has ended already", {}, session_effect::Closes};
    }
    if (state == request_state::Sent && m_scope.mayCommit) {
        return unknownOutcome(failure);
    }
    if (failure == request_failure::Refused) {
        return {tooManyRequests, "not run: refused by the admission queue", {}, session_effect::None};
    }
    if (m_scope.inTransaction) {
        // An open transaction is lost with its connection, also if this statement was not sent.
        return {serializationFailure,
                "the transaction was rolled back: its target connection was lost",
                {},
                m_scope.endsTransaction ? session_effect::None : session_effect::TransactionFailed};
    }
    if (state == request_state::NotSent) {
        return {notAvailable, "not run: no target is available", {}, session_effect::None};
    }
    return {connectionFailure, "the target connection was lost while reading", {}, session_effect::None};
}

}
