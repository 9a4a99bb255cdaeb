#include "sessionstate.h"

#include <algorithm>
#include <cctype>

namespace crocusdeal
{

namespace
{

bool isGroupName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '-' || c == '.';
    });
}

bool parseEntry(std::string_view entry, session_token &token)
{
    const auto colon = entry.find(':');
    if (colon == std::string_view::npos || !isGroupName(entry.substr(0, colon))) {
        return false;
    }
    const auto at = parsePosition(entry.substr(colon + 1));
    return at && token.emplace(group_id(std::string(entry.substr(0, colon))), *at).second;
}

}

std::string toString(const session_token &token)
{
    std::string text;
    for (const auto &[group, at] : token) {
        text += (text.empty() ? "" : ",") + group.str() + ':' + toString(at);
    }
    return text;
}

std::optional<session_token> parseSessionToken(std::string_view text)
{
    session_token token;
    for (;;) {
        const auto comma = text.find(',');
        if (!parseEntry(text.substr(0, comma), token)) {
            return std::nullopt;
        }
        if (comma == std::string_view::npos) {
            return token;
        }
        text.remove_prefix(comma + 1);
    }
}

session_state::session_state(time_point startedAt)
    : m_startedAt(startedAt)
{
}

time_point session_state::startedAt() const
{
    return m_startedAt;
}

// An acknowledged write of the session itself also makes its history known: the primary's log holds every write that
// was acknowledged before it at a lower position.
bool session_state::historyKnown(const group_id &group) const
{
    return m_token.contains(group);
}

std::optional<position> session_state::tokenFor(const group_id &group) const
{
    const auto found = m_token.find(group);
    return found == m_token.end() ? std::nullopt : std::optional(found->second);
}

// The order of positions is enough. A log whose last entry has the token's term has the same history up to the token,
// since one primary wrote that term. A log of a newer term holds every acknowledged write of the older ones.
bool session_state::covers(const group_id &group, position at) const
{
    const auto needed = tokenFor(group);
    return needed && at >= *needed;
}

void session_state::advance(const group_id &group, position at)
{
    auto &current = m_token[group];
    current = std::max(current, at);
}

void session_state::merge(const session_token &token)
{
    for (const auto &[group, at] : token) {
        advance(group, at);
    }
}

const session_token &session_state::token() const
{
    return m_token;
}

}
