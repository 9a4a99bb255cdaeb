#include "budgetdemand.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace crocusdeal
{

namespace
{

constexpr double msPerSecond = 1000;
constexpr double measuringMs = 1000; // Time constant of the measured rate.
constexpr double aheadMs = 100; // Demand that is held in stock: much longer than a question takes.
constexpr double fewestAhead = 2; // Below that nearly all of a stock would lapse.
constexpr duration longestWait{150};
constexpr duration unansweredRetry{200};

}

void budget_demand::admit(time_point now, admission_handler done)
{
    measure(now);
    dropLapsed(now);
    if (m_waiting.empty()) {
        if (const auto lapsesAt = takeOne(now)) {
            askIfNeeded(now);
            done({true, *lapsesAt, {}, false});
            return;
        }
    }
    m_waiting.push_back({now, std::move(done)});
    askIfNeeded(now);
}

void budget_demand::refund(time_point lapsesAt, time_point now)
{
    if (lapsesAt <= now) {
        m_lapsed += 1;
        return;
    }
    const auto place = std::find_if(m_lots.begin(), m_lots.end(), [&](const lot &l) { return l.lapsesAt > lapsesAt; });
    m_lots.insert(place, {1, lapsesAt});
    admitWaiting(now);
}

void budget_demand::answered(double wanted,
                             double granted,
                             time_point askedAt,
                             duration life,
                             duration retryAfter,
                             time_point now)
{
    m_asked = std::max(0.0, m_asked - wanted);
    const auto lapsesAt = askedAt + life;
    if (granted > 0) {
        const auto place =
            std::find_if(m_lots.begin(), m_lots.end(), [&](const lot &l) { return l.lapsesAt > lapsesAt; });
        m_lots.insert(place, {granted, lapsesAt});
    }
    dropLapsed(now);
    if (granted < wanted) {
        m_shortUntil = now + retryAfter;
    }
    admitWaiting(now);
    if (granted < std::min(wanted, 1.0)) {
        refuse(static_cast<std::size_t>(std::ceil(wanted)), {false, never, retryAfter, true});
    }
    askIfNeeded(now);
}

void budget_demand::unanswered(double wanted, time_point now)
{
    m_asked = std::max(0.0, m_asked - wanted);
    m_shortUntil = now + unansweredRetry;
    refuse(static_cast<std::size_t>(std::ceil(wanted)), {false, never, unansweredRetry, false});
    askIfNeeded(now);
}

void budget_demand::tick(time_point now)
{
    dropLapsed(now);
    std::size_t late = 0;
    while (late < m_waiting.size() && now - m_waiting[late].since >= longestWait) {
        ++late;
    }
    refuse(late, {false, never, unansweredRetry, false});
}

std::size_t budget_demand::waiting() const
{
    return m_waiting.size();
}

double budget_demand::available(time_point now)
{
    dropLapsed(now);
    double amount = 0;
    for (const auto &part : m_lots) {
        amount += part.amount;
    }
    return amount;
}

double budget_demand::takeLapsed()
{
    return std::exchange(m_lapsed, 0);
}

void budget_demand::dropLapsed(time_point now)
{
    while (!m_lots.empty() && m_lots.front().lapsesAt <= now) {
        m_lapsed += m_lots.front().amount;
        m_lots.pop_front();
    }
}

void budget_demand::measure(time_point now)
{
    if (m_measuredAt != never) {
        m_perSecond *= std::exp(-static_cast<double>((now - m_measuredAt).ms) / measuringMs);
    }
    m_perSecond += msPerSecond / measuringMs;
    m_measuredAt = now;
}

double budget_demand::ahead(time_point now) const
{
    if (now < m_shortUntil) {
        return 0;
    }
    const double wanted = m_perSecond * aheadMs / msPerSecond;
    return wanted < fewestAhead ? 0 : wanted;
}

std::optional<time_point> budget_demand::takeOne(time_point now)
{
    constexpr double nearlyOne = 1 - 1e-9; // Parts of operations do not add up exactly.
    if (available(now) < nearlyOne) {
        return std::nullopt;
    }
    double missing = 1;
    auto lapsesAt = m_lots.front().lapsesAt;
    while (missing > 0 && !m_lots.empty()) {
        auto &first = m_lots.front();
        const double taken = std::min(first.amount, missing);
        first.amount -= taken;
        missing -= taken;
        if (first.amount <= 0) {
            m_lots.pop_front();
        }
    }
    return lapsesAt;
}

void budget_demand::admitWaiting(time_point now)
{
    std::vector<std::pair<admission_handler, time_point>> admitted;
    while (!m_waiting.empty()) {
        const auto lapsesAt = takeOne(now);
        if (!lapsesAt) {
            break;
        }
        admitted.emplace_back(std::move(m_waiting.front().done), *lapsesAt);
        m_waiting.pop_front();
    }
    for (const auto &[done, lapsesAt] : admitted) {
        done({true, lapsesAt, {}, false});
    }
}

void budget_demand::askIfNeeded(time_point now)
{
    const double stock = available(now);
    const double needed = static_cast<double>(m_waiting.size());
    const double store = ahead(now);
    const bool isForWaiting = needed > stock + m_asked;
    const bool isForStock = store > 0 && stock + m_asked < needed + store / 2;
    if (!isForWaiting && !isForStock) {
        return;
    }
    const double wanted = std::ceil(needed + store - stock - m_asked);
    m_asked += wanted;
    ask(wanted, now);
}

void budget_demand::refuse(std::size_t count, const admission &refusal)
{
    std::vector<admission_handler> refused;
    while (refused.size() < count && !m_waiting.empty()) {
        refused.push_back(std::move(m_waiting.front().done));
        m_waiting.pop_front();
    }
    for (const auto &done : refused) {
        done(refusal);
    }
}

}
