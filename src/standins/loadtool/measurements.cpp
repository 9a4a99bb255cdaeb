#include "measurements.h"

#include <algorithm>
#include <cmath>

namespace crocusdeal
{

namespace
{

constexpr unsigned bins = 1400;
constexpr double lowestMs = 0.01;
constexpr double highestMs = 100000;

// Bins are visited by number: GCC 12 warns of uninitialised memory in indexed() and operator+= of the library when
// sanitizers are on.

}

kind_measurements::kind_measurements()
    : m_latencies(
        boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), axis_type(bins, lowestMs, highestMs)))
{
}

void kind_measurements::onSent()
{
    ++m_sent;
}

void kind_measurements::onAnswered(double latencyMs, bool withinDeadline)
{
    ++m_answered;
    m_withinDeadline += withinDeadline ? 1 : 0;
    m_maxMs = std::max(m_maxMs, latencyMs);
    m_latencies(std::max(latencyMs, lowestMs));
}

void kind_measurements::onRefused(const std::string &sqlState)
{
    ++m_refused[sqlState];
}

void kind_measurements::merge(const kind_measurements &other)
{
    m_sent += other.m_sent;
    m_answered += other.m_answered;
    m_withinDeadline += other.m_withinDeadline;
    m_maxMs = std::max(m_maxMs, other.m_maxMs);
    for (const auto &[state, count] : other.m_refused) {
        m_refused[state] += count;
    }
    for (int bin = -1; bin <= m_latencies.axis(0).size(); ++bin) {
        m_latencies.at(bin) += other.m_latencies.at(bin);
    }
}

std::uint64_t kind_measurements::sent() const
{
    return m_sent;
}

std::uint64_t kind_measurements::answered() const
{
    return m_answered;
}

std::uint64_t kind_measurements::withinDeadline() const
{
    return m_withinDeadline;
}

std::uint64_t kind_measurements::refusedTotal() const
{
    std::uint64_t total = 0;
    for (const auto &[state, count] : m_refused) {
        total += count;
    }
    return total;
}

const std::map<std::string, std::uint64_t> &kind_measurements::refused() const
{
    return m_refused;
}

double kind_measurements::latencyAt(double quantile) const
{
    const auto wanted = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(m_answered)));
    std::uint64_t seen = 0;
    const auto &axis = m_latencies.axis(0);
    for (int bin = -1; bin <= axis.size(); ++bin) {
        seen += m_latencies.at(bin);
        if (wanted > 0 && seen >= wanted) {
            return std::min(axis.value(bin + 1), m_maxMs);
        }
    }
    return 0;
}

double kind_measurements::maxLatency() const
{
    return m_maxMs;
}

second_counts &run_measurements::second(double at)
{
    const auto index = static_cast<std::size_t>(std::max(0.0, at));
    if (index >= seconds.size()) {
        seconds.resize(index + 1);
    }
    return seconds[index];
}

void run_measurements::merge(const run_measurements &other)
{
    for (std::size_t i = 0; i < workKindCount; ++i) {
        kinds[i].merge(other.kinds[i]);
    }
    for (std::size_t i = 0; i < other.seconds.size(); ++i) {
        auto &own = second(static_cast<double>(i));
        own.sent += other.seconds[i].sent;
        own.answered += other.seconds[i].answered;
        own.refused += other.seconds[i].refused;
    }
    writeTimesS.insert(writeTimesS.end(), other.writeTimesS.begin(), other.writeTimesS.end());
    staleOwnReads += other.staleOwnReads;
    connectFailures += other.connectFailures;
    reconnects += other.reconnects;
}

}
