#include "responserelay.h"

#include <utility>

namespace crocusdeal
{

namespace
{

/** Rows above this size are forwarded as they arrive instead of being buffered whole. */
constexpr std::size_t largeRowBytes = std::size_t{64} * 1024;

constexpr std::string_view parseCompleteFrame("1\0\0\0\4", 5);
constexpr std::string_view closeCompleteFrame("3\0\0\0\4", 5);

constexpr std::string_view groupStateParameter = "group_state";

}

void response_relay::beginSimple(bool holdCompletion)
{
    m_replies.clear();
    m_newNames.clear();
    m_held.clear();
    m_error.reset();
    m_rowBytesLeft = 0;
    m_simple = true;
    m_holdCompletion = holdCompletion;
    m_holding = false;
    m_hasRows = false;
}

void response_relay::beginExtended(translated_batch &batch, bool holdCompletion)
{
    beginSimple(holdCompletion);
    m_simple = false;
    extend(batch, holdCompletion);
}

void response_relay::extend(translated_batch &batch, bool holdCompletion)
{
    m_holdCompletion = m_holdCompletion || holdCompletion;
    // After an error the target ignores everything up to the Sync.
    for (const auto reply : batch.replies) {
        if (!m_error || reply == expected_reply::Sync) {
            m_replies.push_back(reply);
        }
    }
    if (!m_error) {
        m_newNames.insert(m_newNames.end(), batch.newNames.begin(), batch.newNames.end());
    }
}

void response_relay::setPinned(bool pinned)
{
    m_pinned = pinned;
}

char response_relay::transactionStatus() const
{
    return m_status;
}

const std::optional<pg_error> &response_relay::error() const
{
    return m_error;
}

bool response_relay::hasRows() const
{
    return m_hasRows;
}

bool response_relay::isMidRow() const
{
    return m_rowBytesLeft > 0;
}

std::string response_relay::takeHeld()
{
    m_holding = false;
    return std::exchange(m_held, {});
}

bool response_relay::isHolding() const
{
    return m_holding;
}

std::string &response_relay::sink(std::string &out)
{
    return m_holding ? m_held : out;
}

void response_relay::writeLocalReplies(std::string &out)
{
    while (!m_replies.empty()) {
        if (m_replies.front() == expected_reply::LocalParse) {
            sink(out).append(parseCompleteFrame);
        } else if (m_replies.front() == expected_reply::LocalClose) {
            sink(out).append(closeCompleteFrame);
        } else {
            return;
        }
        m_replies.pop_front();
    }
}

void response_relay::answered(expected_reply reply)
{
    if (!m_replies.empty() && m_replies.front() == reply) {
        m_replies.pop_front();
    }
}

void response_relay::parseComplete(const pg_frame &frame, std::string &out, const relay_hooks &hooks)
{
    if (!m_newNames.empty()) {
        hooks.onPrepared(m_newNames.front());
        m_newNames.pop_front();
    }
    if (!m_replies.empty() && m_replies.front() == expected_reply::InjectedParse) {
        m_replies.pop_front();
        return;
    }
    answered(expected_reply::Parse);
    sink(out).append(frame.raw);
}

void response_relay::parameter(const pg_frame &frame, std::string &out, const relay_hooks &hooks)
{
    payload_reader reader(frame.payload);
    const auto name = reader.readString();
    const auto value = reader.readString();
    if (name == groupStateParameter) {
        hooks.onGroupState(value);
        return;
    }
    if (m_pinned) {
        sink(out).append(frame.raw);
    }
}

response_relay::progress response_relay::errorFrame(const pg_frame &frame, std::string &out)
{
    if (!m_error) {
        m_error = readError(frame.payload);
    }
    sink(out).append(frame.raw);
    if (m_simple) {
        return progress::More;
    }
    m_newNames.clear();
    const bool synced = !m_replies.empty() && m_replies.back() == expected_reply::Sync;
    m_replies.clear();
    if (!synced) {
        return progress::Flushed;
    }
    m_replies.push_back(expected_reply::Sync);
    return progress::More;
}

response_relay::progress response_relay::frame(const pg_frame &frame, std::string &out, const relay_hooks &hooks)
{
    switch (frame.type) {
    case 'D':
        m_hasRows = true;
        sink(out).append(frame.raw);
        return progress::More;
    case 'C':
        m_holding = m_holding || m_holdCompletion;
        [[fallthrough]];
    case 'I':
    case 's':
        answered(expected_reply::Execute);
        sink(out).append(frame.raw);
        return progress::More;
    case 'T':
    case 'n':
        answered(expected_reply::Describe);
        sink(out).append(frame.raw);
        return progress::More;
    case 't':
        sink(out).append(frame.raw);
        return progress::More;
    case '1':
        parseComplete(frame, out, hooks);
        return progress::More;
    case '2':
        answered(expected_reply::Bind);
        sink(out).append(frame.raw);
        return progress::More;
    case '3':
        answered(expected_reply::Close);
        sink(out).append(frame.raw);
        return progress::More;
    case 'E':
        return errorFrame(frame, out);
    case 'S':
        parameter(frame, out, hooks);
        return progress::More;
    case 'N':
        sink(out).append(frame.raw);
        return progress::More;
    case 'A':
        if (m_pinned) {
            sink(out).append(frame.raw);
        }
        return progress::More;
    case 'Z':
        m_status = frame.payload.empty() ? 'I' : frame.payload.front();
        m_replies.clear();
        return frame.payload.empty() ? progress::Broken : progress::Done;
    default:
        return progress::Broken;
    }
}

bool response_relay::passLargeRow(frame_reader &from, std::string &out)
{
    if (m_rowBytesLeft == 0) {
        const auto length = from.frontLength();
        if (length <= largeRowBytes || length <= from.unread() || from.frontType() != 'D') {
            return false;
        }
        m_rowBytesLeft = length;
        m_hasRows = true;
    }
    const auto bytes = from.takeRaw(m_rowBytesLeft);
    sink(out).append(bytes);
    m_rowBytesLeft -= bytes.size();
    return !bytes.empty();
}

response_relay::progress response_relay::consume(frame_reader &from, std::string &out, const relay_hooks &hooks)
{
    while (true) {
        writeLocalReplies(out);
        if (passLargeRow(from, out)) {
            continue;
        }
        if (m_rowBytesLeft > 0) {
            return progress::More;
        }
        const auto next = from.next();
        if (!next) {
            break;
        }
        const auto result = frame(*next, out, hooks);
        if (result != progress::More) {
            return result;
        }
    }
    if (from.error()) {
        return progress::Broken;
    }
    return !m_simple && m_replies.empty() ? progress::Flushed : progress::More;
}

}
