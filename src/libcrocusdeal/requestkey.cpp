#include "requestkey.h"

#include <openssl/evp.h>

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

// First character of the text form.
constexpr char framesMark = 'f';
constexpr char tagMark = 't';
// A request that fails each time, for example because it makes the database crash, must not be repeated for ever.
constexpr int maxAttempts = 3;

std::string toBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0'); // EVP_EncodeBlock adds a null.
    const auto *input = reinterpret_cast<const unsigned char *>(bytes.data());
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), input, static_cast<int>(bytes.size()));
    text.resize(length);
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    const auto *input = reinterpret_cast<const unsigned char *>(text.data());
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), input, static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    // The decoded length counts the padding.
    const auto padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    bytes.resize(length - padding);
    // EVP_DecodeBlock accepts padding anywhere; only the canonical form was written here.
    return toBase64(bytes) == text ? std::optional(std::move(bytes)) : std::nullopt;
}

/** A string literal. Keys are printable ASCII and outcomes have no backslash, so only the quote needs care. */
std::string quoted(std::string_view text)
{
    std::string literal = "'";
    for (const char c : text) {
        literal += c;
        if (c == '\'') {
            literal += c;
        }
    }
    return literal + '\'';
}

}

std::string encodeOutcome(const request_outcome &outcome)
{
    if (outcome.frames.empty() || outcome.frames.size() > maxOutcomeBytes) {
        return tagMark + outcome.commandTag;
    }
    return framesMark + outcome.commandTag + ' ' + toBase64(outcome.frames);
}

std::optional<request_outcome> decodeOutcome(std::string_view text)
{
    if (text.starts_with(tagMark)) {
        return request_outcome{{}, std::string(text.substr(1))};
    }
    // Command tags contain spaces, base64 does not.
    const auto space = text.rfind(' ');
    if (!text.starts_with(framesMark) || space == std::string_view::npos) {
        return std::nullopt;
    }
    auto frames = fromBase64(text.substr(space + 1));
    if (!frames) {
        return std::nullopt;
    }
    return request_outcome{std::move(*frames), std::string(text.substr(1, space - 1))};
}

bool isValidRequestKey(std::string_view key)
{
    // A backslash would be an escape in a session without standard_conforming_strings.
    return !key.empty() && key.size() <= maxRequestKeyBytes
        && std::all_of(key.begin(), key.end(), [](char c) { return c >= ' ' && c <= '~' && c != '\\'; });
}

std::string request_key_statements::claim(std::string_view key)
{
    return "INSERT INTO crocusdeal_requests (request_key) VALUES (" + quoted(key) + ") ON CONFLICT DO NOTHING";
}

std::string request_key_statements::store(std::string_view key, const request_outcome &outcome)
{
    return "UPDATE crocusdeal_requests SET outcome = " + quoted(encodeOutcome(outcome))
        + " WHERE request_key = " + quoted(key);
}

std::string request_key_statements::find(std::string_view key)
{
    return "SELECT outcome FROM crocusdeal_requests WHERE request_key = " + quoted(key);
}

std::string request_key_statements::rewrite(std::string_view key)
{
    return "UPDATE crocusdeal_requests SET outcome = outcome WHERE request_key = " + quoted(key);
}

key_step request_key::onClaimed(bool inserted)
{
    m_statementSent = m_statementSent || inserted;
    return m_step = inserted ? key_step::Run : key_step::Find;
}

key_step request_key::onRun(request_outcome outcome)
{
    m_outcome = std::move(outcome);
    return m_step = key_step::Store;
}

key_step request_key::onStored()
{
    return m_step = key_step::Commit;
}

key_step request_key::onCommitted()
{
    return m_step = key_step::AnswerOutcome;
}

key_step request_key::onFound(const std::optional<std::string> &text)
{
    auto found = text ? decodeOutcome(*text) : std::nullopt;
    if (!found) {
        // The key existed a moment ago, so somebody else deletes or changes rows of the table.
        return m_step = key_step::AnswerUnknown;
    }
    m_outcome = std::move(*found);
    return m_step = key_step::AnswerOutcome;
}

key_step request_key::onError(std::string_view sqlState, bool mayRetry)
{
    // A commit that fails by a deferred constraint or a serialization failure is rolled back. Other errors of a commit,
    // such as that of a fence, leave the outcome open.
    const bool rolledBack = m_step != key_step::Commit || sqlState.starts_with("23") || sqlState.starts_with("40");
    if (m_step == key_step::Find || !rolledBack) {
        return onConnectionLost(mayRetry);
    }
    return m_step = key_step::AnswerError;
}

key_step request_key::onConnectionLost(bool mayRetry)
{
    if (mayRetry && m_attempts < maxAttempts) {
        ++m_attempts;
        return m_step = key_step::Claim;
    }
    return m_step = m_statementSent ? key_step::AnswerUnknown : key_step::AnswerNotRun;
}

}
