#include "request.h"

namespace crocusdeal
{

namespace
{

constexpr std::string_view tooManyRequests = "53300";
constexpr std::string_view notAvailable = "57P03";
constexpr std::string_view outcomeUnknown = "08007";
constexpr std::string_view adminShutdown = "57P01";

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
        || failure == request_failure::Shutdown;
    if (isFinal || m_forwarded || m_kind == request_kind::InTransaction) {
        return false;
    }
    return m_state == request_state::NotSent || (m_state == request_state::Sent && m_kind == request_kind::Read);
}

void request::onRetry()
{
    m_state = request_state::NotSent;
}

error_answer request::fail(request_failure failure)
{
    const auto state = m_state;
    m_state = request_state::Answered;
    if (state == request_state::Answered) {
        return {failure == request_failure::Shutdown ? adminShutdown : outcomeUnknown, true};
    }
    // An open transaction is lost with its connection, also if this statement was not sent.
    const bool transactionLost = m_kind == request_kind::InTransaction && failure != request_failure::Refused;
    if (state == request_state::NotSent) {
        return {failure == request_failure::Refused ? tooManyRequests : notAvailable, transactionLost};
    }
    return {outcomeUnknown, true};
}

}
