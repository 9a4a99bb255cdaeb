#pragma once

#include "clock.h"
#include "sessionstate.h"
#include "settingreplies.h"

#include <optional>
#include <string>

namespace crocusdeal
{

/** What a caller asked for at start-up. */
struct session_options {
    std::optional<session_token> token;
    std::optional<duration> maxStaleness;
};

/** The parameters "crocusdeal.*" of one session and what it must see of its own writes. */
class session_settings
{
public:
    session_settings(time_point startedAt, const session_options &options);

    /** Runs one SET, SHOW or RESET. */
    setting_result apply(const proxy_setting &setting);

    const session_state &state() const;
    void advance(const group_id &group, position at);
    /** After a write of unknown outcome: the next read has to cover it if it lasts. */
    void forgetHistory(time_point now);
    std::optional<duration> maxStaleness() const;
    /** Empty if none is set. */
    const std::string &requestKey() const;

private:
    setting_result applyToken(const proxy_setting &setting);
    setting_result applyStaleness(const proxy_setting &setting);
    setting_result applyRequestKey(const proxy_setting &setting);

    session_state m_state;
    std::optional<duration> m_maxStaleness;
    std::string m_requestKey;
};

}
