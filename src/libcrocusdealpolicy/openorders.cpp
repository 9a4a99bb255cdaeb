#include "openorders.h"

#include <algorithm>

namespace crocusdeal
{

void open_orders::sent(const open_order &order)
{
    m_orders.push_back(order);
}

void open_orders::leftOpen(const std::optional<std::vector<target_id>> &targets)
{
    const bool isAnyNamed = targets && !targets->empty();
    if (!isAnyNamed) {
        add({});
        return;
    }
    for (const auto &target : *targets) {
        // Whether it was carried out is not known.
        add({target, 0, never, true, true});
    }
}

void open_orders::add(const open_order &left)
{
    const bool isKnown = std::any_of(m_orders.begin(), m_orders.end(), [&](const open_order &order) {
        return order.target == left.target && order.isAccepted == left.isAccepted;
    });
    if (!isKnown) {
        m_orders.push_back(left);
    }
}

void open_orders::accepted(std::uint64_t token)
{
    std::erase_if(m_orders, [](const open_order &order) { return !order.target; });
    for (auto &order : m_orders) {
        order.isAccepted = order.isAccepted || order.token <= token;
    }
}

void open_orders::refused(std::uint64_t token)
{
    std::erase_if(m_orders, [token](const open_order &order) { return order.target && order.token == token; });
}

void open_orders::fenced()
{
    std::erase_if(m_orders, [](const open_order &order) { return !order.target; });
    for (auto &order : m_orders) {
        order.isAccepted = true;
    }
}

bool open_orders::targetLeads(const target_id &target, time_point askedAt)
{
    return std::erase_if(m_orders,
                         [&](const open_order &order) { return order.target == target && order.sentAt <= askedAt; })
        > 0;
}

bool open_orders::endGone(const std::function<bool(const target_id &)> &isGone)
{
    return std::erase_if(m_orders, [&](const open_order &order) { return order.target && isGone(*order.target); }) > 0;
}

void open_orders::handOver()
{
    std::erase_if(m_orders, [](const open_order &order) { return order.isRecorded || !order.target; });
}

bool open_orders::isEmpty() const
{
    return m_orders.empty();
}

std::optional<target_id> open_orders::target() const
{
    const auto found = std::find_if(
        m_orders.begin(), m_orders.end(), [](const open_order &order) { return order.target.has_value(); });
    return found == m_orders.end() ? std::nullopt : found->target;
}

bool open_orders::isFenceOfUse() const
{
    return std::any_of(m_orders.begin(), m_orders.end(), [](const open_order &order) { return !order.isAccepted; });
}

std::optional<std::vector<target_id>> open_orders::targets() const
{
    std::vector<target_id> targets;
    for (const auto &order : m_orders) {
        const bool isNew = order.target && std::find(targets.begin(), targets.end(), *order.target) == targets.end();
        if (isNew) {
            targets.push_back(*order.target);
        }
    }
    // Known names are never given up for one that is not known.
    const bool isAnyKnown = !targets.empty() || m_orders.empty();
    return isAnyKnown ? std::optional(targets) : std::nullopt;
}

std::string open_orders::describe() const
{
    std::string text;
    for (const auto &order : m_orders) {
        text += text.empty() ? "" : ", ";
        text += order.target ? order.target->str() : "unknown";
        text += order.isAccepted ? " accepted" : " not answered";
    }
    return text.empty() ? "none" : text;
}

}
