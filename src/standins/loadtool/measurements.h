#pragma once

#include "workkind.h"

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocusdeal
{

/** What happened in one second of the run. */
struct second_counts {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
};

/** Counts and latencies of one kind of work; latencies count from the scheduled arrival. */
class kind_measurements
{
public:
    kind_measurements();

    void onSent();
    void onAnswered(double latencyMs, bool withinDeadline);
    /** @p sqlState may also be "lost" or "timeout". */
    void onRefused(const std::string &sqlState);
    void merge(const kind_measurements &other);

    std::uint64_t sent() const;
    std::uint64_t answered() const;
    std::uint64_t withinDeadline() const;
    std::uint64_t refusedTotal() const;
    const std::map<std::string, std::uint64_t> &refused() const;
    /** Latency in milliseconds below which the share @p quantile of the answers lies, within 1.2%; 0 without answers.
     */
    double latencyAt(double quantile) const;
    double maxLatency() const;

private:
    using axis_type = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type =
        decltype(boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), std::declval<axis_type>()));

    std::uint64_t m_sent = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_withinDeadline = 0;
    double m_maxMs = 0;
    std::map<std::string, std::uint64_t> m_refused;
    histogram_type m_latencies;
};

/** The measurements of a worker or of the whole run. */
struct run_measurements {
    std::array<kind_measurements, workKindCount> kinds;
    std::vector<second_counts> seconds;
    std::vector<double> writeTimesS; ///< When acknowledged writes and transactions were answered.
    std::uint64_t staleOwnReads = 0; ///< Reads older than the session's own acknowledged write.
    std::uint64_t connectFailures = 0;
    std::uint64_t reconnects = 0;

    second_counts &second(double at);
    void merge(const run_measurements &other);
};

}
