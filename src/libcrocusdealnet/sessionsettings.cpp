#include "sessionsettings.h"

#include "requestkey.h"

#include <charconv>

namespace crocusdeal
{

namespace
{

setting_result failure(std::string reason)
{
    return {false, {}, std::move(reason)};
}

setting_result success(std::string value = {})
{
    return {true, std::move(value), {}};
}

}

session_settings::session_settings(time_point startedAt, const session_options &options)
    : m_state(startedAt)
    , m_maxStaleness(options.maxStaleness)
{
    if (options.token) {
        m_state.merge(*options.token);
    }
}

setting_result session_settings::apply(const proxy_setting &setting)
{
    if (setting.name == "crocusdeal.session") {
        return applyToken(setting);
    }
    if (setting.name == "crocusdeal.max_staleness") {
        return applyStaleness(setting);
    }
    if (setting.name == "crocusdeal.request_key") {
        return applyRequestKey(setting);
    }
    return failure("unrecognized parameter \"" + setting.name + "\"");
}

setting_result session_settings::applyToken(const proxy_setting &setting)
{
    if (setting.action == setting_action::Show) {
        return success(toString(m_state.token()));
    }
    const auto token = parseSessionToken(setting.value);
    if (setting.action == setting_action::Reset || !token) {
        return failure("invalid value for crocusdeal.session: expected group:term/offset");
    }
    m_state.merge(*token);
    return success();
}

setting_result session_settings::applyStaleness(const proxy_setting &setting)
{
    if (setting.action == setting_action::Show) {
        return success(m_maxStaleness ? std::to_string(m_maxStaleness->ms) : "0");
    }
    if (setting.action == setting_action::Reset) {
        m_maxStaleness.reset();
        return success();
    }
    std::int64_t ms = 0;
    const char *end = setting.value.data() + setting.value.size();
    const auto parsed = std::from_chars(setting.value.data(), end, ms);
    if (parsed.ec != std::errc() || parsed.ptr != end || ms < 0) {
        return failure("invalid value for crocusdeal.max_staleness: expected milliseconds of 0 or more");
    }
    m_maxStaleness = ms > 0 ? std::optional(duration{ms}) : std::nullopt;
    return success();
}

setting_result session_settings::applyRequestKey(const proxy_setting &setting)
{
    if (setting.action == setting_action::Show) {
        return success(m_requestKey);
    }
    if (setting.action == setting_action::Set && !isValidRequestKey(setting.value)) {
        return failure("invalid value for crocusdeal.request_key: expected 1 to 256 printable ASCII characters");
    }
    m_requestKey = setting.action == setting_action::Set ? setting.value : std::string();
    return success();
}

const session_state &session_settings::state() const
{
    return m_state;
}

void session_settings::advance(const group_id &group, position at)
{
    m_state.advance(group, at);
}

void session_settings::forgetHistory(time_point now)
{
    m_state = session_state(now);
}

std::optional<duration> session_settings::maxStaleness() const
{
    return m_maxStaleness;
}

const std::string &session_settings::requestKey() const
{
    return m_requestKey;
}

}
