#include "sessionvalues.h"

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxPreparedPerConnection = 256;

}

std::vector<setup_step> connection_values::setUpFor(const session_values &session,
                                                    const prepared_shape *needed,
                                                    bool isInTransaction)
{
    std::vector<setup_step> steps;
    if (!isInTransaction && needsDiscard(session)) {
        m_values.clear();
        m_preparedNames.clear();
        steps.push_back({setup_step::Discard, {}, {}, effect::Read});
    }
    for (const auto &[name, value] : session.values) {
        const auto held = m_values.find(name);
        if (held == m_values.end() || held->second != value) {
            m_values[name] = value;
            steps.push_back({setup_step::Set, name, value, effect::Read});
        }
    }
    if (needed != nullptr && !m_preparedNames.contains(*needed)) {
        std::string name(1, 's');
        name += std::to_string(m_preparedNames.size() + 1);
        m_preparedNames.emplace(*needed, name);
        steps.push_back({setup_step::Prepare, name, needed->shape, needed->kind});
    }
    return steps;
}

const std::string &connection_values::preparedName(const prepared_shape &prepared) const
{
    return m_preparedNames.at(prepared);
}

bool connection_values::needsDiscard(const session_values &session) const
{
    if (m_preparedNames.size() >= maxPreparedPerConnection) {
        return true;
    }
    for (const auto &[name, value] : m_values) {
        if (!session.values.contains(name)) {
            return true;
        }
    }
    return false;
}

}
