#include "loadestimate.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace crocusdeal
{

namespace
{

constexpr duration halfLife{500}; // Of the weight of what is known.
constexpr duration oldest{4000};
constexpr duration slownessHalfLife{10000};
constexpr double hintWeight = 0.5; // Other instances may send other statements.
constexpr double leastOwnWeight = 0.02; // Without fresh hints, the last own figure counts, however old it is.
constexpr std::size_t maxReporters = 16; // Of one target.

double decay(duration age, duration half = halfLife)
{
    return std::exp2(-static_cast<double>(std::max<std::int64_t>(0, age.ms)) / static_cast<double>(half.ms));
}

}

bool load_estimates::record(const instance_id &from, const reported_load &load, time_point now)
{
    if (load.age > oldest || load.age < duration{0} || !std::isfinite(load.answerMs) || load.answerMs < 0) {
        return false;
    }
    auto &hints = m_hints[load.target];
    std::erase_if(hints, [&](const auto &entry) { return now - entry.second.at > oldest; });
    if (hints.contains(from) || hints.size() < maxReporters) {
        hints[from] = {load, now - load.age};
    }
    return true;
}

load_estimate load_estimates::estimate(const target_id &target,
                                       std::uint64_t incarnation,
                                       const own_load &own,
                                       time_point now) const
{
    load_estimate result;
    const bool isOwnKnown = own.answeredAt != never;
    result.age = isOwnKnown ? now - own.answeredAt : oldest;
    double weights = std::max(leastOwnWeight, isOwnKnown ? decay(result.age) : 0);
    double sum = own.answerMs * weights;
    const auto found = m_hints.find(target);
    if (found != m_hints.end()) {
        for (const auto &[from, known] : found->second) {
            const auto age = now - known.at;
            if (known.load.incarnation != incarnation || age > oldest) {
                continue;
            }
            const double weight = decay(age);
            weights += weight * hintWeight;
            sum += weight * hintWeight * known.load.answerMs;
            result.age = std::min(result.age, age);
            result.othersInFlight += known.load.inFlight;
            result.fullness = std::max(result.fullness, known.load.isFull ? weight : 0);
            ++result.reporters;
        }
    }
    result.answerMs = sum / weights;
    return result;
}

void load_estimates::forgetOld(time_point now)
{
    for (auto &[target, hints] : m_hints) {
        std::erase_if(hints, [&](const auto &entry) { return now - entry.second.at > oldest; });
    }
    std::erase_if(m_hints, [](const auto &entry) { return entry.second.empty(); });
}

std::size_t load_estimates::size() const
{
    std::size_t sum = 0;
    for (const auto &[target, hints] : m_hints) {
        sum += hints.size();
    }
    return sum;
}

double fadedAnswerMs(double answerMs, duration age, double usualMs)
{
    return answerMs <= usualMs ? answerMs : usualMs + (answerMs - usualMs) * decay(age, slownessHalfLife);
}

std::vector<reported_load> mostTelling(std::vector<reported_load> loads, std::size_t count)
{
    const auto rank = [](const reported_load &load) {
        return std::tuple(load.behindAt.has_value(), load.isFull, load.inFlight, -load.age.ms);
    };
    std::stable_sort(
        loads.begin(), loads.end(), [&](const reported_load &a, const reported_load &b) { return rank(a) > rank(b); });
    loads.resize(std::min(loads.size(), count));
    return loads;
}

}
