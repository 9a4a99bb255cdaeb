#include "statementcosts.h"

#include <algorithm>
#include <cmath>

namespace crocusdeal
{

namespace
{

constexpr double meanGain = 1.0 / 8;
constexpr double deviationGain = 1.0 / 4;
constexpr double priorGain = 1.0 / 16;
// Hysteresis keeps a shape close to the bound from moving between the two classes on every execution.
constexpr double shortAgainFraction = 0.75;
constexpr double baselineQuantile = 0.25;
constexpr double baselineGain = 0.2;
// A target under constant contention must not teach its inflated times as the baseline within a demand peak, so the
// baseline takes at least this long to double.
constexpr double baselineDoublingMs = 60'000;
// The clock counts whole milliseconds; an execution below one is taken as half of one.
constexpr double leastMs = 0.5;
// After so many own executions a shape that was assumed to be long counts by its own times. One short execution may be
// an exception, such as a query without rows to read.
constexpr int trustedSamples = 3;
// An early execution that is so much shorter than the earlier ones replaces them: those waited in the target for a slot
// that long statements held. Counted as long, a point read would wait for permits behind them.
constexpr double muchShorter = 0.25;
constexpr duration correctsFor{30000};

duration roundedUp(double ms)
{
    return {std::max<std::int64_t>(1, static_cast<std::int64_t>(std::ceil(ms - 1e-9)))};
}

}

statement_costs::statement_costs(statement_costs_settings settings)
    : m_settings(settings)
    , m_prior(static_cast<double>(settings.prior.ms))
{
}

cost_estimate statement_costs::estimateOf(const shape &known) const
{
    const auto assumed = std::max(known.adopted, known.runningFor);
    if (known.samples < trustedSamples && assumed > known.mean) {
        return {roundedUp(assumed), roundedUp(assumed * 2), true, true};
    }
    return {roundedUp(known.mean), roundedUp(known.mean + 2 * known.deviation), known.isLong, true};
}

cost_estimate statement_costs::estimate(std::uint64_t fingerprint) const
{
    const auto found = m_shapes.find(fingerprint);
    if (found != m_shapes.end()
        && (found->second.samples > 0 || found->second.adopted + found->second.runningFor > 0)) {
        return estimateOf(found->second);
    }
    // An unknown shape never needs a permit: most shapes are short, and a wrong guess shows while it runs.
    const auto prior = roundedUp(std::min(m_prior, static_cast<double>(m_settings.longStatement.ms)));
    return {prior, prior * 4, false, false};
}

cost_estimate statement_costs::estimateRunning(std::uint64_t fingerprint, duration ranFor) const
{
    auto expected = estimate(fingerprint);
    if (ranFor <= expected.high) {
        return expected;
    }
    // With heavy-tailed running times the expected remaining time grows with the time already taken.
    expected.expected = std::max(expected.expected, ranFor * 2);
    expected.high = expected.expected * 2;
    expected.isLong = expected.isLong || expected.expected > m_settings.longStatement;
    return expected;
}

bool statement_costs::isLong(std::uint64_t fingerprint) const
{
    return estimate(fingerprint).isLong;
}

double statement_costs::baseline(std::uint64_t fingerprint) const
{
    const auto found = m_shapes.find(fingerprint);
    return found == m_shapes.end() ? 0 : found->second.baseline;
}

void statement_costs::record(std::uint64_t fingerprint, duration ran, time_point now)
{
    if (fingerprint == 0) {
        return;
    }
    const auto ms = std::max(leastMs, static_cast<double>(ran.ms));
    if (shapeOf(fingerprint).samples == 0) {
        m_prior += priorGain * (ms - m_prior);
    }
    learn(fingerprint, ms, now);
}

void statement_costs::recordAborted(std::uint64_t fingerprint, duration ran, time_point now)
{
    if (fingerprint != 0 && ran > estimate(fingerprint).expected) {
        learn(fingerprint, static_cast<double>(ran.ms), now);
    }
}

bool statement_costs::isTrusted(std::uint64_t fingerprint) const
{
    const auto found = m_shapes.find(fingerprint);
    return found != m_shapes.end() && found->second.samples >= trustedSamples;
}

void statement_costs::recordRunning(std::uint64_t fingerprint, duration ranFor)
{
    if (fingerprint == 0 || ranFor <= m_settings.longStatement || isTrusted(fingerprint)) {
        return;
    }
    auto &known = shapeOf(fingerprint);
    known.runningFor = std::max(known.runningFor, static_cast<double>(ranFor.ms));
}

void statement_costs::recordEnded(std::uint64_t fingerprint)
{
    // Other executions that still run are recorded again within 100 ms. A statement that ended with its connection,
    // such as a write during a promotion, must not leave its shape waiting for permits.
    if (const auto found = m_shapes.find(fingerprint); found != m_shapes.end()) {
        found->second.runningFor = 0;
    }
}

void statement_costs::adopt(const shared_shape &learnt, time_point now)
{
    if (learnt.fingerprint == 0) {
        return;
    }
    const bool trusted = isTrusted(learnt.fingerprint);
    if (!learnt.isLong) {
        const auto found = m_shapes.find(learnt.fingerprint);
        if (found != m_shapes.end() && !trusted) {
            auto &known = found->second;
            known.adopted = 0;
            known.mean = std::min(known.mean, static_cast<double>(learnt.expected.ms));
            known.isLong = false;
            m_measuredLong.erase(learnt.fingerprint);
        }
        return;
    }
    if (!trusted) {
        shapeOf(learnt.fingerprint).adopted = static_cast<double>(learnt.expected.ms);
    } else if (!m_shapes.at(learnt.fingerprint).isLong) {
        m_corrections[learnt.fingerprint] = now;
    }
}

std::vector<shared_shape> statement_costs::measured(time_point now)
{
    std::vector<shared_shape> shapes;
    std::erase_if(m_corrections, [&](const auto &correction) {
        const auto found = m_shapes.find(correction.first);
        const bool holds = found != m_shapes.end() && !found->second.isLong && now - correction.second < correctsFor;
        if (holds) {
            shapes.push_back({correction.first, roundedUp(found->second.mean), false});
        }
        return !holds;
    });
    for (const auto fingerprint : m_measuredLong) {
        shapes.push_back({fingerprint, roundedUp(m_shapes.at(fingerprint).mean), true});
    }
    return shapes;
}

statement_costs::shape &statement_costs::shapeOf(std::uint64_t fingerprint)
{
    const auto found = m_shapes.find(fingerprint);
    if (found != m_shapes.end()) {
        m_recent.splice(m_recent.begin(), m_recent, found->second.recent);
        return found->second;
    }
    if (m_shapes.size() >= m_settings.maxShapes && !m_recent.empty()) {
        m_shapes.erase(m_recent.back());
        m_measuredLong.erase(m_recent.back());
        m_recent.pop_back();
    }
    m_recent.push_front(fingerprint);
    auto &added = m_shapes[fingerprint];
    added.recent = m_recent.begin();
    return added;
}

void statement_costs::learn(std::uint64_t fingerprint, double ran, time_point now)
{
    auto &known = shapeOf(fingerprint);
    const bool isEarly = known.samples < trustedSamples;
    if (known.samples == 0 || (isEarly && ran < known.mean * muchShorter)) {
        known.mean = ran;
        known.deviation = ran / 2;
    } else {
        // The first samples weigh as in a plain average.
        const auto gain = std::max(meanGain, 1.0 / (known.samples + 1));
        known.deviation += deviationGain * (std::abs(ran - known.mean) - known.deviation);
        known.mean += gain * (ran - known.mean);
    }
    learnBaseline(known, ran, now);
    known.samples = std::min(known.samples + 1, 1000);
    const auto bound = static_cast<double>(m_settings.longStatement.ms) * (known.isLong ? shortAgainFraction : 1);
    known.isLong = known.mean > bound;
    if (known.isLong) {
        m_measuredLong.insert(fingerprint);
        m_corrections.erase(fingerprint);
    } else if (m_measuredLong.erase(fingerprint) > 0) {
        m_corrections[fingerprint] = now; // Others may have taken it over as long.
    }
}

void statement_costs::learnBaseline(shape &known, double ran, time_point now)
{
    if (known.samples == 0) {
        known.baseline = ran;
    } else if (ran < known.baseline) {
        known.baseline = std::max(ran, known.baseline * (1 - baselineGain * (1 - baselineQuantile)));
    } else {
        const auto elapsed = std::max<double>(0, static_cast<double>((now - known.baselineAt).ms));
        const auto growth = std::min(baselineGain * baselineQuantile, elapsed / baselineDoublingMs);
        known.baseline = std::min(ran, known.baseline * (1 + growth));
    }
    known.baselineAt = now;
}

}
