#pragma once

#include "budgetholders.h"
#include "ratebudget.h"

#include <functional>
#include <map>
#include <optional>

namespace crocusdeal
{

/** The parts of budgets that this instance holds, by the table of the holders. */
class budget_holding
{
public:
    using handler = std::function<void(const std::optional<budget_answer> &)>;

    budget_holding(instance_id self, data_centre_id dataCentre);

    /** Asks the holders of the workspace's other parts; the answer is handed to othersAnswered(). */
    std::function<void(const workspace_id &, double wanted)> askOthers;

    void setTerms(std::map<workspace_id, budget_terms> terms, time_point now);
    void tableRead(const budget_holder_table &table, time_point askedAt, time_point now);
    const std::optional<budget_holder_table> &table() const;
    bool mayAct(time_point now) const;

    /** Answers now or later; nothing if this instance is no holder, or the workspace has no limit here. */
    void serve(const workspace_id &workspace, double wanted, bool isFromHolder, time_point now, const handler &done);
    void othersAnswered(const workspace_id &workspace, double granted, time_point now);
    /** Takes over what time has changed; to be called often, so that no part fills while it may not. */
    void tick(time_point now);

private:
    budget_part &partOf(const workspace_id &workspace, const budget_terms &terms, time_point now);
    bool isHolder(const workspace_id &workspace, time_point now) const;

    instance_id m_self;
    data_centre_id m_dataCentre;
    budget_tenure m_tenure;
    std::map<workspace_id, budget_terms> m_terms;
    std::map<workspace_id, budget_part> m_parts; ///< Of workspaces that were asked for.
};

}
