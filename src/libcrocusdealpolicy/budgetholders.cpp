#include "budgetholders.h"

#include "rendezvous.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxNames = 16; // In each data centre.
constexpr duration actingTime{30000}; // For which a reading of the table allows to act by it.
// Longer than acting by the earlier table, and than what was given out by it lives.
constexpr duration takeoverTime{35000};
constexpr duration goneTime{10000};
constexpr duration firstTableDelay{3000}; // In which a fleet that starts becomes known.
constexpr duration turnTime{1000};
constexpr const char *orderKey = "budget-holders";

}

instance_id budgetHolder(const budget_holder_names &names,
                         const workspace_id &workspace,
                         const data_centre_id &dataCentre)
{
    const auto found = names.find(dataCentre);
    if (found == names.end() || found->second.empty()) {
        return {};
    }
    const auto &ids = found->second;
    return *std::max_element(ids.begin(), ids.end(), [&](const auto &a, const auto &b) {
        return rendezvousWeight(workspace.str(), a) < rendezvousWeight(workspace.str(), b);
    });
}

std::vector<instance_id> otherBudgetHolders(const budget_holder_names &names,
                                            const workspace_id &workspace,
                                            const data_centre_id &dataCentre,
                                            std::size_t turn)
{
    std::vector<instance_id> holders;
    for (const auto &[other, ids] : names) {
        if (other != dataCentre && !ids.empty()) {
            holders.push_back(budgetHolder(names, workspace, other));
        }
    }
    if (!holders.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(turn % holders.size());
        std::rotate(holders.begin(), holders.begin() + first, holders.end());
    }
    return holders;
}

std::vector<instance_id> budgetHolders(const budget_holder_names &names,
                                       const workspace_id &workspace,
                                       const data_centre_id &dataCentre)
{
    auto holders = otherBudgetHolders(names, workspace, dataCentre, 0);
    if (const auto own = budgetHolder(names, workspace, dataCentre); !own.empty()) {
        holders.insert(holders.begin(), own);
    }
    return holders;
}

double budgetShare(const budget_holder_names &names,
                   const workspace_id &workspace,
                   const data_centre_id &dataCentre,
                   const instance_id &instance)
{
    if (budgetHolder(names, workspace, dataCentre) != instance || instance.empty()) {
        return 0;
    }
    const auto parts = std::count_if(names.begin(), names.end(), [](const auto &part) { return !part.second.empty(); });
    return 1.0 / static_cast<double>(parts);
}

budget_tenure::budget_tenure(instance_id self, data_centre_id dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

void budget_tenure::tableRead(const budget_holder_table &table, time_point askedAt, time_point now)
{
    m_askedAt = std::max(m_askedAt, askedAt);
    if (m_table && m_table->revision == table.revision) {
        return;
    }
    std::erase_if(m_earlier, [&](const auto &earlier) { return earlier.until <= now; });
    if (m_table) {
        m_earlier.push_back({m_table->names, now + takeoverTime});
    }
    if (!table.before.empty()) {
        m_earlier.push_back({table.before, now + takeoverTime});
    }
    m_table = table;
}

const std::optional<budget_holder_table> &budget_tenure::table() const
{
    return m_table;
}

bool budget_tenure::mayAct(time_point now) const
{
    return m_table && now - m_askedAt < actingTime;
}

double budget_tenure::share(const workspace_id &workspace, time_point now) const
{
    if (!mayAct(now)) {
        return 0;
    }
    double share = budgetShare(m_table->names, workspace, m_dataCentre, m_self);
    for (const auto &earlier : m_earlier) {
        if (now < earlier.until) {
            share = std::min(share, budgetShare(earlier.names, workspace, m_dataCentre, m_self));
        }
    }
    return share;
}

budget_table_plan::budget_table_plan(instance_id self)
    : m_self(std::move(self))
{
}

void budget_table_plan::observe(const std::vector<fleet_member> &members, time_point now)
{
    m_startedAt = m_startedAt == never ? now : m_startedAt;
    m_members.clear();
    for (const auto &member : members) {
        m_members[member.id] = member.dataCentre;
        m_seenAt[member.id] = now;
    }
}

bool budget_table_plan::isGone(const instance_id &id, time_point now) const
{
    const auto seen = m_seenAt.find(id);
    return now - (seen == m_seenAt.end() ? m_startedAt : seen->second) >= goneTime;
}

bool budget_table_plan::isWanting(const budget_holder_table &table, time_point now) const
{
    for (const auto &[dataCentre, names] : table.names) {
        if (std::any_of(names.begin(), names.end(), [&](const auto &id) { return isGone(id, now); })) {
            return true;
        }
    }
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto &member) {
        const auto found = table.names.find(member.second);
        return found == table.names.end() || found->second.empty();
    });
}

budget_holder_names budget_table_plan::namesFrom(const budget_holder_names &kept, time_point now) const
{
    budget_holder_names names;
    for (const auto &[dataCentre, ids] : kept) {
        for (const auto &id : ids) {
            if (!isGone(id, now)) {
                names[dataCentre].push_back(id);
            }
        }
    }
    std::map<data_centre_id, std::vector<instance_id>> members;
    for (const auto &[id, dataCentre] : m_members) {
        members[dataCentre].push_back(id);
    }
    for (auto &[dataCentre, ids] : members) {
        auto &chosen = names[dataCentre];
        for (const auto &id : rendezvousOrder(orderKey, std::move(ids))) {
            if (chosen.size() < maxNames && std::find(chosen.begin(), chosen.end(), id) == chosen.end()) {
                chosen.push_back(id);
            }
        }
        std::sort(chosen.begin(), chosen.end());
    }
    return names;
}

duration budget_table_plan::turn() const
{
    std::vector<instance_id> ids;
    for (const auto &[id, dataCentre] : m_members) {
        ids.push_back(id);
    }
    const auto order = rendezvousOrder(orderKey, std::move(ids));
    const auto place = std::find(order.begin(), order.end(), m_self) - order.begin();
    return turnTime * place;
}

std::optional<budget_holder_names> budget_table_plan::due(const std::optional<budget_holder_table> &table,
                                                          time_point now)
{
    if (m_startedAt == never || !m_members.contains(m_self)) {
        return std::nullopt;
    }
    if (table && (m_revisionSince == never || table->revision != m_revision)) {
        m_revision = table->revision;
        m_revisionSince = now;
        m_wantingSince = never;
    }
    const auto since = table ? m_revisionSince : m_startedAt;
    if (now - since < (table ? takeoverTime : firstTableDelay) || (table && !isWanting(*table, now))) {
        m_wantingSince = never;
        return std::nullopt;
    }
    m_wantingSince = m_wantingSince == never ? now : m_wantingSince;
    if (now - m_wantingSince < turn()) {
        return std::nullopt;
    }
    return namesFrom(table ? table->names : budget_holder_names{}, now);
}

}
