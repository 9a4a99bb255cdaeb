#include "platformanswer.h"

#include "jsonsplit.h"

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

namespace leaf = boost::leaf;

namespace crocusdeal
{

namespace
{

constexpr int ok = 200;
constexpr int notModified = 304;
constexpr int notFound = 404;
constexpr int conflict = 409;

constexpr json_limits bodyLimits{8388608, 32};
constexpr json_limits elementLimits{2097152, 32};

enum class answer_error { NotJson, MissingKey, UnexpectedStatus };

/** The key or status that was not as expected. */
struct answer_detail {
    std::string text;
};

leaf::result<nlohmann::json> parseBody(const http_answer &answer)
{
    if (answer.status != ok && answer.status != conflict) {
        return leaf::new_error(answer_error::UnexpectedStatus,
                               answer_detail{"status " + std::to_string(answer.status)});
    }
    std::string problem = "JSON object expected";
    auto value = parseLimited(answer.body, bodyLimits, problem);
    if (!value || !value->is_object()) {
        return leaf::new_error(answer_error::NotJson, answer_detail{problem});
    }
    return std::move(*value);
}

/** The text of the array under @p key in a good answer. */
leaf::result<std::string_view> arrayText(const http_answer &answer, const char *key)
{
    if (answer.status != ok) {
        return leaf::new_error(answer_error::UnexpectedStatus,
                               answer_detail{"status " + std::to_string(answer.status)});
    }
    const auto text = memberText(answer.body, key);
    if (text.empty()) {
        return leaf::new_error(answer_error::MissingKey, answer_detail{std::string("array expected as ") + key});
    }
    return text;
}

/**
 * Reads the elements of a list one by one, so that one which cannot be read does not hide the others.
 *
 * What was left out is named in the failure beside the value.
 */
template<typename T, typename Read>
leaf::result<platform_result<std::vector<T>>> readEach(std::string_view list, const Read &read)
{
    platform_result<std::vector<T>> result{std::vector<T>(), {}};
    std::size_t ignored = 0;
    const auto take = [&](std::string_view text) {
        auto element = leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<T>> {
                std::string problem;
                const auto value = parseLimited(text, elementLimits, problem);
                if (!value) {
                    return leaf::new_error(answer_error::NotJson, answer_detail{problem});
                }
                BOOST_LEAF_AUTO(content, read(*value));
                return std::optional<T>(std::move(content));
            },
            [&](answer_error, const answer_detail &detail) {
                result.failure.detail = detail.text;
                return std::optional<T>();
            },
            [] { return std::optional<T>(); });
        if (element) {
            result.value->push_back(std::move(*element));
            return;
        }
        ++ignored;
    };
    if (!forEachElement(list, take)) {
        return leaf::new_error(answer_error::NotJson, answer_detail{"array expected"});
    }
    if (ignored > 0) {
        result.failure.error = platform_error::Malformed;
        result.failure.detail = std::to_string(ignored) + " ignored, the last: " + result.failure.detail;
    }
    return result;
}

leaf::result<const nlohmann::json *> member(const nlohmann::json &value, const char *key)
{
    const auto found = value.is_object() ? value.find(key) : value.end();
    if (!value.is_object() || found == value.end()) {
        return leaf::new_error(answer_error::MissingKey, answer_detail{std::string("key ") + key + " expected"});
    }
    return &*found;
}

leaf::result<std::uint64_t> versionOf(const nlohmann::json &value)
{
    BOOST_LEAF_AUTO(version, member(value, "version"));
    if (!version->is_number_unsigned()) {
        return leaf::new_error(answer_error::MissingKey, answer_detail{"whole number expected as version"});
    }
    return version->get<std::uint64_t>();
}

leaf::result<std::string> textOf(const nlohmann::json &value, const char *key)
{
    BOOST_LEAF_AUTO(text, member(value, key));
    if (!text->is_string()) {
        return leaf::new_error(answer_error::MissingKey, answer_detail{std::string("string expected as ") + key});
    }
    return text->get<std::string>();
}

leaf::result<platform_object> objectOf(const nlohmann::json &value, std::string name)
{
    BOOST_LEAF_AUTO(version, versionOf(value));
    BOOST_LEAF_AUTO(content, member(value, "value"));
    return platform_object{std::move(name), version, content->dump()};
}

leaf::result<instance_entry> instanceOf(const nlohmann::json &value)
{
    BOOST_LEAF_AUTO(id, textOf(value, "id"));
    BOOST_LEAF_AUTO(dataCentre, textOf(value, "data_centre"));
    BOOST_LEAF_AUTO(caller, textOf(value, "caller_address"));
    BOOST_LEAF_AUTO(control, textOf(value, "control_address"));
    BOOST_LEAF_AUTO(admin, textOf(value, "admin_address"));
    BOOST_LEAF_AUTO(state, textOf(value, "state"));
    instance_entry entry{instance_id(id), data_centre_id(dataCentre), {}, {}, {}, instance_state::Live};
    entry.callerAddress = parseHostPort(caller);
    entry.controlAddress = parseHostPort(control);
    entry.adminAddress = parseHostPort(admin);
    entry.state = instanceStateNames.value(state).value_or(instance_state::Live);
    return entry;
}

/** Calls @p read; an error becomes a failure with the error Malformed. */
template<typename T, typename Read>
platform_result<T> readAnswer(Read read)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<platform_result<T>> {
            BOOST_LEAF_AUTO(value, read());
            return platform_result<T>{std::move(value), {}};
        },
        [](answer_error, const answer_detail &detail) {
            return platform_result<T>{std::nullopt, {platform_error::Malformed, {}, detail.text}};
        },
        [] {
            return platform_result<T>{std::nullopt, {platform_error::Malformed, {}, "unknown"}};
        });
}

/** Reads the array under @p key element by element; an answer without one is a failure with the error Malformed. */
template<typename T, typename Read>
platform_result<std::vector<T>> readList(const http_answer &answer, const char *key, const Read &read)
{
    using list_result = platform_result<std::vector<T>>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<list_result> {
            BOOST_LEAF_AUTO(text, arrayText(answer, key));
            return readEach<T>(text, read);
        },
        [](answer_error, const answer_detail &detail) {
            return list_result{std::nullopt, {platform_error::Malformed, {}, detail.text}};
        },
        [] {
            return list_result{std::nullopt, {platform_error::Malformed, {}, "unknown"}};
        });
}

}

platform_result<platform_object> readObject(const http_answer &answer, const std::string &name, std::uint64_t after)
{
    if (answer.status == notFound) {
        return {platform_object{name, 0, ""}, {}};
    }
    if (answer.status == notModified) {
        return {platform_object{name, after, ""}, {}};
    }
    return readAnswer<platform_object>([&]() -> leaf::result<platform_object> {
        BOOST_LEAF_AUTO(body, parseBody(answer));
        return objectOf(body, name);
    });
}

platform_result<std::vector<platform_object>> readObjects(const http_answer &answer)
{
    return readList<platform_object>(answer, "objects", [](const auto &value) -> leaf::result<platform_object> {
        BOOST_LEAF_AUTO(name, textOf(value, "name"));
        return objectOf(value, name);
    });
}

platform_result<std::vector<instance_entry>> readInstances(const http_answer &answer)
{
    return readList<instance_entry>(answer, "instances", instanceOf);
}

put_result readPut(const http_answer &answer)
{
    const auto version = readAnswer<std::uint64_t>([&]() -> leaf::result<std::uint64_t> {
        BOOST_LEAF_AUTO(body, parseBody(answer));
        return versionOf(body);
    });
    if (!version.value) {
        return {put_outcome::Unknown, 0, version.failure};
    }
    return {answer.status == conflict ? put_outcome::Conflict : put_outcome::Stored, *version.value, {}};
}

put_result readPutFailure(const platform_failure &failure)
{
    switch (failure.error) {
    case platform_error::Unreachable:
    case platform_error::Unavailable:
    case platform_error::Throttled:
    case platform_error::Stopped:
        return {put_outcome::Unavailable, 0, failure};
    case platform_error::Refused:
        return {put_outcome::Refused, 0, failure};
    case platform_error::AnswerLost:
    case platform_error::Malformed:
        break;
    }
    return {put_outcome::Unknown, 0, failure};
}

bool isSameJson(std::string_view a, std::string_view b)
{
    std::string problem;
    const auto first = parseLimited(a, bodyLimits, problem);
    const auto second = parseLimited(b, bodyLimits, problem);
    return first && second && *first == *second;
}

}
