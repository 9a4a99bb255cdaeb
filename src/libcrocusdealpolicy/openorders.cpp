#include "openorders.h"

#include <algorithm>

namespace crocusdeal
{

void open_orders::sent(const target_id &target, std::uint64_t incarnation, std::uint64_t token, time_point now)
{
    m_orders.push_back({target, incarnation, token, now, false});
}

void open_orders::leftOpen()
{
    const auto isUnknown = [](const open_order &order) { return !order.target; };
    if (std::none_of(m_orders.begin(), m_orders.end(), isUnknown)) {
        m_orders.emplace_back();
    }
}

void open_orders::accepted(std::uint64_t token)
{
    std::erase_if(m_orders, [token](const open_order &order) { return !order.isAccepted && order.token < token; });
    for (auto &order : m_orders) {
        order.isAccepted = order.isAccepted || order.token == token;
    }
}

void open_orders::refused(std::uint64_t token)
{
    std::erase_if(m_orders, [token](const open_order &order) { return order.target && order.token == token; });
}

void open_orders::fenced()
{
    std::erase_if(m_orders, [](const open_order &order) { return !order.isAccepted; });
}

bool open_orders::targetLeads(const target_id &target, time_point askedAt)
{
    return std::erase_if(m_orders,
                         [&](const open_order &order) { return order.target == target && order.sentAt <= askedAt; })
        > 0;
}

void open_orders::handOver()
{
    m_orders.clear();
}

bool open_orders::isEmpty() const
{
    return m_orders.empty();
}

std::optional<target_id> open_orders::acceptedTarget() const
{
    const auto found =
        std::find_if(m_orders.begin(), m_orders.end(), [](const open_order &order) { return order.isAccepted; });
    return found == m_orders.end() ? std::nullopt : found->target;
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
