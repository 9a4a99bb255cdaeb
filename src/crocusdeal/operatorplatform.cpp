#include "operatorplatform.h"

#include <future>

namespace crocusdeal
{

namespace
{

/** The platform's limit for one value. */
constexpr std::size_t maxValueBytes = std::size_t{1} << 20U;

object_key configurationKey()
{
    return {std::string(configurationKind), std::string(configurationName)};
}

/** Starts a call with a callback and waits for its result. */
template<typename Result, typename Call>
Result await(Call call)
{
    std::promise<Result> done;
    call([&done](Result result) { done.set_value(std::move(result)); });
    return done.get_future().get();
}

}

operator_platform::operator_platform(host_port address)
    : m_client({std::move(address), "", 1, 1})
{
}

published_configuration operator_platform::readConfiguration(duration limit)
{
    const auto object =
        await<platform_result<platform_object>>([&](auto done) { m_client.get(configurationKey(), limit, done); });
    if (!object.value) {
        return {std::nullopt, {}, object.failure};
    }
    if (object.value->version == 0) {
        return {fleet_configuration{}, {}, {}};
    }
    auto parsed = parseFleetConfiguration(object.value->value, object.value->version, configuration_reader::Command);
    return {std::move(parsed.value), std::move(parsed.problems), {}};
}

platform_result<std::vector<instance_entry>> operator_platform::instances(duration limit)
{
    return await<platform_result<std::vector<instance_entry>>>([&](auto done) { m_client.instances(limit, done); });
}

put_result operator_platform::update(const fleet_configuration &configuration, duration limit)
{
    const auto value = toJson(configuration);
    if (value.size() > maxValueBytes) {
        const auto detail = "the configuration would have " + std::to_string(value.size())
            + " bytes, above the limit of " + std::to_string(maxValueBytes);
        return {put_outcome::Refused, 0, {platform_error::Refused, {}, detail}};
    }
    return await<put_result>(
        [&](auto done) { m_client.put(configurationKey(), configuration.version, value, limit, done); });
}

}
