#include "report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <ostream>
#include <stdexcept>

namespace crocusdeal
{

namespace
{

struct named_quantile {
    const char *name;
    double value;
};

constexpr named_quantile quantiles[] = {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}};

std::string formatted(const char *format, double value)
{
    char text[64];
    std::snprintf(text, sizeof text, format, value);
    return text;
}

void printKind(std::ostream &output, std::string_view name, const kind_measurements &kind)
{
    char line[256];
    std::snprintf(line,
                  sizeof line,
                  "%-12.*s %9lu %9lu %9lu %9lu",
                  static_cast<int>(name.size()),
                  name.data(),
                  kind.sent(),
                  kind.answered(),
                  kind.withinDeadline(),
                  kind.refusedTotal());
    output << line;
    for (const auto &quantile : quantiles) {
        output << formatted(" %9.2f", kind.latencyAt(quantile.value));
    }
    output << formatted(" %9.2f", kind.maxLatency());
    for (const auto &[state, count] : kind.refused()) {
        output << ' ' << state << ':' << count;
    }
    output << '\n';
}

nlohmann::json kindJson(const kind_measurements &kind)
{
    nlohmann::json json = {{"sent", kind.sent()},
                           {"answered", kind.answered()},
                           {"within_deadline", kind.withinDeadline()},
                           {"refused", kind.refused()},
                           {"max_ms", kind.maxLatency()}};
    for (const auto &quantile : quantiles) {
        json[std::string(quantile.name) + "_ms"] = kind.latencyAt(quantile.value);
    }
    return json;
}

}

write_gap longestGap(std::vector<double> writeTimesS, double durationS)
{
    write_gap longest;
    if (writeTimesS.empty()) {
        return longest;
    }
    std::sort(writeTimesS.begin(), writeTimesS.end());
    writeTimesS.push_back(std::max(durationS, writeTimesS.back()));
    double previous = 0;
    for (const auto at : writeTimesS) {
        if (at - previous > longest.lengthS) {
            longest = {previous, at - previous};
        }
        previous = at;
    }
    return longest;
}

void printReport(std::ostream &output, const load_report &report)
{
    const auto &m = report.measurements;
    output
        << "kind              sent  answered in-deadl.   refused   p50(ms)   p90(ms)   p99(ms) p99.9(ms)   max(ms)\n";
    std::uint64_t answered = 0;
    std::uint64_t inTime = 0;
    for (std::size_t i = 0; i < workKindCount; ++i) {
        if (m.kinds[i].sent() > 0) {
            printKind(output, workKindNames.name(static_cast<work_kind>(i)), m.kinds[i]);
        }
        answered += m.kinds[i].answered();
        inTime += m.kinds[i].withinDeadline();
    }
    output << "answered per second: " << formatted("%.0f", static_cast<double>(answered) / report.durationS)
           << ", within the deadline: " << formatted("%.0f", static_cast<double>(inTime) / report.durationS) << '\n';
    output << "longest gap between writes: " << formatted("%.3f s", report.gap.lengthS)
           << formatted(" from %.3f s\n", report.gap.startS);
    output << "failed connects: " << m.connectFailures << ", reconnects: " << m.reconnects << '\n';
    output << "reads older than the session's own write: " << m.staleOwnReads << '\n';
    const auto &check = report.check;
    if (check.done) {
        output << "writes acknowledged: " << check.acknowledged << ", lost: " << check.lost
               << ", doubled: " << check.doubled << ", refused but present: " << check.refusedButPresent
               << ", outcome unknown: " << check.unknown << " (" << check.unknownPresent << " inserts present)\n";
    } else {
        output << "no check of the writes" << (check.failure.empty() ? "" : ": " + check.failure) << '\n';
    }
}

void writeJsonReport(const std::string &file, const load_report &report)
{
    const auto &m = report.measurements;
    nlohmann::json json = {{"duration_s", report.durationS},
                           {"longest_write_gap_s", report.gap.lengthS},
                           {"longest_write_gap_start_s", report.gap.startS},
                           {"connect_failures", m.connectFailures},
                           {"reconnects", m.reconnects},
                           {"stale_own_reads", m.staleOwnReads}};
    for (std::size_t i = 0; i < workKindCount; ++i) {
        json["kinds"][std::string(workKindNames.name(static_cast<work_kind>(i)))] = kindJson(m.kinds[i]);
    }
    for (const auto &second : m.seconds) {
        json["seconds"].push_back({{"sent", second.sent}, {"answered", second.answered}, {"refused", second.refused}});
    }
    const auto &check = report.check;
    json["check"] = {{"done", check.done},
                     {"failure", check.failure},
                     {"acknowledged", check.acknowledged},
                     {"lost", check.lost},
                     {"doubled", check.doubled},
                     {"refused_but_present", check.refusedButPresent},
                     {"unknown", check.unknown},
                     {"unknown_present", check.unknownPresent}};
    std::ofstream output(file);
    output << json.dump(2) << '\n';
    if (!output.flush()) {
        throw std::runtime_error("cannot write " + file);
    }
}

}
