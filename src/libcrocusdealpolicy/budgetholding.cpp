#include "budgetholding.h"

#include <utility>

namespace crocusdeal
{

budget_holding::budget_holding(instance_id self, data_centre_id dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_tenure(m_self, m_dataCentre)
{
}

void budget_holding::setTerms(std::map<workspace_id, budget_terms> terms, time_point now)
{
    tick(now);
    m_terms = std::move(terms);
    tick(now);
}

void budget_holding::tableRead(const budget_holder_table &table, time_point askedAt, time_point now)
{
    tick(now); // What filled until now did so by the table before.
    m_tenure.tableRead(table, askedAt, now);
    tick(now);
}

const std::optional<budget_holder_table> &budget_holding::table() const
{
    return m_tenure.table();
}

bool budget_holding::mayAct(time_point now) const
{
    return m_tenure.mayAct(now);
}

bool budget_holding::isHolder(const workspace_id &workspace, time_point now) const
{
    return m_tenure.mayAct(now) && budgetHolder(m_tenure.table()->names, workspace, m_dataCentre) == m_self;
}

budget_part &budget_holding::partOf(const workspace_id &workspace, const budget_terms &terms, time_point now)
{
    auto &part = m_parts[workspace];
    const double share = m_tenure.share(workspace, now);
    part.setShare(terms.perSecond * share, terms.capacity * share, now);
    part.askOthers = [this, workspace](double wanted) { askOthers(workspace, wanted); };
    return part;
}

void budget_holding::serve(const workspace_id &workspace,
                           double wanted,
                           bool isFromHolder,
                           time_point now,
                           const handler &done)
{
    const auto terms = m_terms.find(workspace);
    if (terms == m_terms.end() || !isHolder(workspace, now)) {
        done(std::nullopt);
        return;
    }
    auto &part = partOf(workspace, terms->second, now);
    part.serve(wanted, isFromHolder, now, [done](const budget_answer &answer) { done(answer); });
}

void budget_holding::othersAnswered(const workspace_id &workspace, double granted, time_point now)
{
    const auto terms = m_terms.find(workspace);
    if (terms != m_terms.end()) {
        partOf(workspace, terms->second, now);
    }
    if (const auto part = m_parts.find(workspace); part != m_parts.end()) {
        part->second.othersAnswered(granted, now);
    }
}

void budget_holding::tick(time_point now)
{
    for (const auto &[workspace, terms] : m_terms) {
        // A part fills from when it is held, not from its first request.
        if (m_parts.contains(workspace) || isHolder(workspace, now)) {
            partOf(workspace, terms, now);
        }
    }
    std::erase_if(m_parts, [this](const auto &part) { return !m_terms.contains(part.first) && part.second.isIdle(); });
    for (auto &[workspace, part] : m_parts) {
        if (!m_terms.contains(workspace)) {
            part.setShare(0, 0, now);
        }
    }
}

}
