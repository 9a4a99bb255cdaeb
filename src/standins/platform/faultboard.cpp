#include "faultboard.h"

#include <nlohmann/json.hpp>

namespace platform_standin
{

namespace
{

void read(const std::string &key, const nlohmann::json &value, fault_settings &faults)
{
    if (key == "outage") {
        faults.outage = value.get<bool>();
    } else if (key == "delay_ms") {
        faults.delay = std::chrono::milliseconds(value.get<int>());
    } else if (key == "drop_answers_after_effect") {
        faults.dropAnswersAfterEffect = value.get<int>();
    } else if (key == "instance_list_lag_ms") {
        faults.instanceListLag = std::chrono::milliseconds(value.get<int>());
    } else if (key == "cut") {
        faults.cut = value.get<std::set<std::string>>();
    } else {
        throw std::invalid_argument("unknown fault " + key);
    }
}

}

std::optional<std::string> fault_board::update(const std::string &json)
{
    const std::lock_guard lock(m_mutex);
    auto faults = m_faults;
    try {
        const auto values = nlohmann::json::parse(json);
        for (const auto &[key, value] : values.items()) {
            read(key, value, faults);
        }
    } catch (const std::exception &error) {
        return error.what();
    }
    m_faults = faults;
    return std::nullopt;
}

fault_settings fault_board::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

bool fault_board::isCut(const std::string &instance) const
{
    const std::lock_guard lock(m_mutex);
    return m_faults.cut.count(instance) > 0;
}

bool fault_board::isOutage() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults.outage;
}

bool fault_board::takeDroppedAnswer()
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.dropAnswersAfterEffect <= 0) {
        return false;
    }
    --m_faults.dropAnswersAfterEffect;
    return true;
}

}
