#include "platformanswer.h"

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
    auto value = nlohmann::json::parse(answer.body, nullptr, false);
    if (!value.is_object()) {
        return leaf::new_error(answer_error::NotJson, answer_detail{"JSON object expected"});
    }
    return value;
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

leaf::result<const nlohmann::json *> arrayOf(const nlohmann::json &value, const char *key)
{
    BOOST_LEAF_AUTO(array, member(value, key));
    if (!array->is_array()) {
        return leaf::new_error(answer_error::MissingKey, answer_detail{std::string("array expected as ") + key});
    }
    return array;
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
    return readAnswer<std::vector<platform_object>>([&]() -> leaf::result<std::vector<platform_object>> {
        BOOST_LEAF_AUTO(body, parseBody(answer));
        BOOST_LEAF_AUTO(values, arrayOf(body, "objects"));
        std::vector<platform_object> objects;
        for (const auto &value : *values) {
            BOOST_LEAF_AUTO(name, textOf(value, "name"));
            BOOST_LEAF_AUTO(object, objectOf(value, name));
            objects.push_back(std::move(object));
        }
        return objects;
    });
}

platform_result<std::vector<instance_entry>> readInstances(const http_answer &answer)
{
    return readAnswer<std::vector<instance_entry>>([&]() -> leaf::result<std::vector<instance_entry>> {
        BOOST_LEAF_AUTO(body, parseBody(answer));
        BOOST_LEAF_AUTO(values, arrayOf(body, "instances"));
        std::vector<instance_entry> instances;
        for (const auto &value : *values) {
            BOOST_LEAF_AUTO(instance, instanceOf(value));
            instances.push_back(std::move(instance));
        }
        return instances;
    });
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
    const auto first = nlohmann::json::parse(a, nullptr, false);
    const auto second = nlohmann::json::parse(b, nullptr, false);
    return !first.is_discarded() && !second.is_discarded() && first == second;
}

}
