#pragma once

#include "clock.h"
#include "identifiers.h"
#include "position.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace crocusdeal
{

/** The positions a session must see, one for each group. */
using session_token = std::map<group_id, position>;

/** The text form "group:term/offset", several groups separated by commas. */
std::string toString(const session_token &token);

/** Reads the text form; nothing if @p text is anything else, names a group twice or is empty. */
std::optional<session_token> parseSessionToken(std::string_view text);

/** What a session must see to read its own writes. */
class session_state
{
public:
    /** A session begins at @p startedAt, before any statement of it was read. */
    explicit session_state(time_point startedAt);

    time_point startedAt() const;

    /** Whether the position before which this session's caller may have written is known for @p group. */
    bool historyKnown(const group_id &group) const;

    /** The position that a read in @p group must include; nothing while the history is unknown. */
    std::optional<position> tokenFor(const group_id &group) const;

    /** Whether data at @p at includes everything the session must see in @p group. False for an unknown history. */
    bool covers(const group_id &group, position at) const;

    /** Moves the token of @p group forward to @p at, after an acknowledged write or a read index; never back. */
    void advance(const group_id &group, position at);

    /** Moves every group of @p token forward; never back. */
    void merge(const session_token &token);

    const session_token &token() const;

private:
    time_point m_startedAt;
    session_token m_token;
};

}
