#include "ratebudget.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace crocusdeal
{

namespace
{

constexpr double msPerSecond = 1000;
constexpr duration longestLife{500};
// Of the bound: statements that run again after a loss or at a second target, and clocks that do not run alike.
constexpr double reserveShare = 0.02;
constexpr duration vainTime{200}; // In which the other holders are not asked again.
constexpr duration longestRetryAfter{1000};

double seconds(duration span)
{
    return static_cast<double>(span.ms) / msPerSecond;
}

}

budget_terms budgetTerms(const rate_limit &limit, const rate_limit_bound &bound)
{
    const double window = seconds(bound.window);
    const double allowed = (limit.perSecond * window + limit.burst) * (1 + bound.overage) + bound.slack;
    const double room = allowed * (1 - reserveShare) - limit.perSecond * window;
    budget_terms terms{limit.perSecond, 0, longestLife};
    if (limit.perSecond <= 0) {
        terms.capacity = std::max(0.0, room);
        return terms;
    }
    const double spare = std::max(0.0, room - limit.burst / 2);
    const auto longest = static_cast<std::int64_t>(std::floor(spare / limit.perSecond * msPerSecond));
    terms.life = std::min(longestLife, duration{longest});
    terms.capacity = std::max(0.0, room - limit.perSecond * seconds(terms.life));
    return terms;
}

void budget_bucket::setShare(double perSecond, double capacity, time_point now)
{
    refill(now);
    m_perSecond = perSecond;
    m_capacity = capacity;
    m_level = std::min(m_level, m_capacity);
}

void budget_bucket::refill(time_point now)
{
    if (m_refilledAt != never && now > m_refilledAt) {
        m_level = std::min(m_capacity, m_level + m_perSecond * seconds(now - m_refilledAt));
    }
    m_refilledAt = std::max(m_refilledAt, now);
}

double budget_bucket::available(time_point now)
{
    refill(now);
    return m_level;
}

double budget_bucket::take(double wanted, time_point now)
{
    const double taken = std::clamp(wanted, 0.0, available(now));
    m_level -= taken;
    return taken;
}

duration budget_bucket::timeTo(double amount, time_point now)
{
    const double missing = amount - available(now);
    if (missing <= 0) {
        return {};
    }
    if (m_perSecond <= 0) {
        return longestRetryAfter;
    }
    const duration needed{static_cast<std::int64_t>(std::ceil(missing / m_perSecond * msPerSecond))};
    return std::min(needed, longestRetryAfter);
}

void budget_part::setShare(double perSecond, double capacity, time_point now)
{
    m_bucket.setShare(perSecond, capacity, now);
}

bool budget_part::isIdle() const
{
    return m_waiting.empty();
}

budget_answer budget_part::takeOwn(double wanted, time_point now)
{
    budget_answer answer;
    answer.granted = m_bucket.take(wanted, now);
    if (answer.granted < wanted) {
        answer.retryAfter = m_bucket.timeTo(1, now);
    }
    return answer;
}

void budget_part::serve(double wanted, bool isFromHolder, time_point now, budget_answer_handler done)
{
    const double available = m_bucket.available(now);
    if (isFromHolder) {
        done(takeOwn(std::min(wanted, available / 2), now));
        return;
    }
    if (m_waiting.empty() && available >= std::min(wanted, 1.0)) {
        done(takeOwn(wanted, now));
        return;
    }
    if (!askOthers || now - m_vainAt < vainTime) {
        done({0, std::max(duration{1}, m_bucket.timeTo(1, now))});
        return;
    }
    m_waiting.push_back({wanted, std::move(done)});
    askIfNeeded(now);
}

void budget_part::askIfNeeded(time_point now)
{
    if (m_askedFor > 0 || m_waiting.empty()) {
        return;
    }
    double wanted = 0;
    for (const auto &request : m_waiting) {
        wanted += request.wanted;
    }
    m_askedFor = m_waiting.size();
    askOthers(std::max(0.0, wanted - m_bucket.available(now)));
}

void budget_part::othersAnswered(double granted, time_point now)
{
    double left = std::max(0.0, granted);
    bool isVain = true;
    std::vector<std::pair<budget_answer_handler, budget_answer>> answers;
    const auto count = std::min(std::exchange(m_askedFor, 0), m_waiting.size());
    for (std::size_t i = 0; i < count; ++i) {
        auto request = std::move(m_waiting.front());
        m_waiting.pop_front();
        budget_answer answer;
        if (left + m_bucket.available(now) >= std::min(request.wanted, 1.0)) {
            const double ofOthers = std::min(left, request.wanted);
            left -= ofOthers;
            answer.granted = ofOthers + m_bucket.take(request.wanted - ofOthers, now);
            isVain = false;
        }
        if (answer.granted < request.wanted) {
            answer.retryAfter = std::max(duration{1}, m_bucket.timeTo(1, now));
        }
        answers.emplace_back(std::move(request.done), answer);
    }
    if (isVain) {
        m_vainAt = now;
        for (auto &request : std::exchange(m_waiting, {})) {
            answers.emplace_back(std::move(request.done), budget_answer{0, m_bucket.timeTo(1, now) + duration{1}});
        }
    }
    askIfNeeded(now);
    for (const auto &[done, answer] : answers) {
        done(answer);
    }
}

}
