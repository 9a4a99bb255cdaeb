#include "sessionvalues.h"

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxPreparedPerConnection = 256;

}

std::vector<preparation_step> connection_values::prepareFor(const session_values &session,
                                                            const prepared_shape *needed,
                                                            bool isInTransaction)
{
    std::vector<preparation_step> steps;
    if (!isInTransaction && mustDiscard(session)) {
        m_values.clear();
        m_names.clear();
        steps.push_back({preparation_step::Discard, {}, {}, effect::Read});
    }
    for (const auto &[name, value] : session.values) {
        const auto held = m_values.find(name);
        if (held == m_values.end() || held->second != value) {
            m_values[name] = value;
            steps.push_back({preparation_step::Set, name, value, effect::Read});
        }
    }
    if (needed != nullptr && !m_names.contains(*needed)) {
        std::string name(1, 's');
        name += std::to_string(m_names.size() + 1);
        m_names.emplace(*needed, name);
        steps.push_back({preparation_step::Prepare, name, needed->shape, needed->kind});
    }
    return steps;
}

const std::string &connection_values::nameOf(const prepared_shape &prepared) const
{
    return m_names.at(prepared);
}

bool connection_values::mustDiscard(const session_values &session) const
{
    if (m_names.size() >= maxPreparedPerConnection) {
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
