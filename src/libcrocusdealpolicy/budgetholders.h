#pragma once

#include "clock.h"
#include "identifiers.h"
#include "servingplan.h"
#include "workspaceid.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crocusdeal
{

using budget_holder_names = std::map<data_centre_id, std::vector<instance_id>>;

/** The instances that may hold budgets, as the metadata store lists them. */
struct budget_holder_table {
    std::uint64_t revision = 0;
    budget_holder_names names;
    budget_holder_names before; ///< Of the table that this one replaced; empty for the first one.

    friend bool operator==(const budget_holder_table &, const budget_holder_table &) = default;
};

/** The holder of a workspace's part in one data centre; empty if the data centre has none. */
instance_id budgetHolder(const budget_holder_names &names,
                         const workspace_id &workspace,
                         const data_centre_id &dataCentre);

/** The holders of a workspace's parts in the order in which an instance of the data centre asks them. */
std::vector<instance_id> budgetHolders(const budget_holder_names &names,
                                       const workspace_id &workspace,
                                       const data_centre_id &dataCentre);

/**
 * The holders of the other data centres' parts. Each @p turn begins with another one, so that no part is full, and
 * loses what flows in, while another is used up.
 */
std::vector<instance_id> otherBudgetHolders(const budget_holder_names &names,
                                            const workspace_id &workspace,
                                            const data_centre_id &dataCentre,
                                            std::size_t turn);

/** Which share of a workspace's budget the instance holds under these names; 0 if none. */
double budgetShare(const budget_holder_names &names,
                   const workspace_id &workspace,
                   const data_centre_id &dataCentre,
                   const instance_id &instance);

/** What this instance knows of the table, and which shares it may fill by it. */
class budget_tenure
{
public:
    budget_tenure(instance_id self, data_centre_id dataCentre);

    /** The store held @p table when asked at @p askedAt. */
    void tableRead(const budget_holder_table &table, time_point askedAt, time_point now);
    const std::optional<budget_holder_table> &table() const;
    /** Whether the table was read lately enough to hold anything by it; one who reads it may be replaced by then. */
    bool mayAct(time_point now) const;
    /**
     * The share that this instance may fill: the least by the table and by those before it, until every instance that
     * may still go by one of these has stopped.
     */
    double share(const workspace_id &workspace, time_point now) const;

private:
    struct earlier_table {
        budget_holder_names names;
        time_point until; ///< When nobody goes by it any more.
    };

    instance_id m_self;
    data_centre_id m_dataCentre;
    std::optional<budget_holder_table> m_table;
    time_point m_askedAt = never;
    std::vector<earlier_table> m_earlier;
};

/** Decides when the table has to be written, and what. */
class budget_table_plan
{
public:
    explicit budget_table_plan(instance_id self);

    /** Takes in the members; to be called about once a second. */
    void observe(const std::vector<fleet_member> &members, time_point now);
    /**
     * The names to write, if the table is missing or has to change and it is this instance's turn. A table is left
     * alone until nobody goes by the one before it.
     */
    std::optional<budget_holder_names> due(const std::optional<budget_holder_table> &table, time_point now);

private:
    bool isWanting(const budget_holder_table &table, time_point now) const;
    budget_holder_names namesFrom(const budget_holder_names &kept, time_point now) const;
    /** How long this instance leaves the writing to those before it in the order. */
    duration turn() const;
    bool isGone(const instance_id &id, time_point now) const;

    instance_id m_self;
    std::map<instance_id, data_centre_id> m_members;
    std::map<instance_id, time_point> m_seenAt; ///< Also of members that are gone.
    time_point m_startedAt = never;
    std::uint64_t m_revision = 0;
    time_point m_revisionSince = never;
    time_point m_wantingSince = never;
};

}
