#include "metrics.h"

#include <boost/histogram.hpp>

#include <array>
#include <atomic>
#include <charconv>
#include <map>
#include <mutex>

namespace crocusdeal
{

namespace
{

namespace histogram = boost::histogram;

/** More shards than worker threads in the usual settings, so that two threads seldom share a cache line. */
constexpr std::size_t shardCount = 8;
constexpr std::size_t cacheLine = 64;

constexpr unsigned bucketCount = 48;
constexpr double lowestSeconds = 1e-4;
constexpr double highestSeconds = 1e2;
constexpr double microsecondsPerSecond = 1e6;

std::size_t shardOfThread() noexcept
{
    static std::atomic<std::size_t> next{0};
    thread_local const std::size_t shard = next++ % shardCount;
    return shard;
}

using latency_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using atomic_counts = histogram::dense_storage<histogram::accumulators::count<std::uint64_t, true>>;
using atomic_histogram = histogram::histogram<std::tuple<latency_axis>, atomic_counts>;

atomic_histogram makeHistogram()
{
    return histogram::make_histogram_with(atomic_counts(), latency_axis(bucketCount, lowestSeconds, highestSeconds));
}

/** Bounds are written with few digits, so that they read as chosen. */
constexpr int boundDigits = 6;
constexpr int sumDigits = 15;

std::string number(double value, int digits)
{
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::general, digits);
    return {text.data(), end.ptr};
}

std::string escaped(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '\\' || c == '"') {
            text += '\\';
        }
        text += c;
    }
    return text;
}

std::string labelText(const metric_labels &labels, const std::string &bound = "")
{
    std::string text;
    for (const auto &label : labels) {
        text += (text.empty() ? "" : ",") + label.name + "=\"" + escaped(label.value) + '"';
    }
    if (!bound.empty()) {
        text += (text.empty() ? "le=\"" : ",le=\"") + bound + '"';
    }
    return text.empty() ? text : '{' + text + '}';
}

void renderHead(std::string &text, const std::string &name, const std::string &help, const char *type)
{
    text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void renderLine(std::string &text, const std::string &name, const std::string &labels, const std::string &value)
{
    text += name + labels + ' ' + value + '\n';
}

}

struct alignas(cacheLine) metric_counter::shard {
    std::atomic<std::uint64_t> count{0};
};

metric_counter::metric_counter()
    : m_shards(std::make_unique<shard[]>(shardCount))
{
}

metric_counter::~metric_counter() = default;

void metric_counter::add(std::uint64_t count) noexcept
{
    m_shards[shardOfThread()].count.fetch_add(count, std::memory_order_relaxed);
}

std::uint64_t metric_counter::value() const noexcept
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < shardCount; ++i) {
        sum += m_shards[i].count.load(std::memory_order_relaxed);
    }
    return sum;
}

struct metric_gauge::content {
    std::atomic<std::int64_t> value{0};
};

metric_gauge::metric_gauge()
    : m_content(std::make_unique<content>())
{
}

metric_gauge::~metric_gauge() = default;

void metric_gauge::set(std::int64_t value) noexcept
{
    m_content->value.store(value, std::memory_order_relaxed);
}

void metric_gauge::add(std::int64_t difference) noexcept
{
    m_content->value.fetch_add(difference, std::memory_order_relaxed);
}

std::int64_t metric_gauge::value() const noexcept
{
    return m_content->value.load(std::memory_order_relaxed);
}

class latency_histogram::content
{
public:
    struct alignas(cacheLine) shard {
        atomic_histogram counts = makeHistogram();
        std::atomic<std::uint64_t> sumMicroseconds{0};
    };

    std::array<shard, shardCount> shards;
};

latency_histogram::latency_histogram()
    : m_content(std::make_unique<content>())
{
}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(std::chrono::microseconds latency) noexcept
{
    auto &shard = m_content->shards[shardOfThread()];
    // The axis is logarithmic, so 0 belongs below its lowest bound.
    const auto micros = std::max<std::int64_t>(latency.count(), 1);
    shard.counts(static_cast<double>(micros) / microsecondsPerSecond);
    shard.sumMicroseconds.fetch_add(static_cast<std::uint64_t>(micros), std::memory_order_relaxed);
}

std::vector<std::pair<double, std::uint64_t>> latency_histogram::cumulated() const
{
    std::vector<std::pair<double, std::uint64_t>> buckets;
    buckets.reserve(bucketCount + 2);
    const auto &axis = m_content->shards[0].counts.axis();
    std::uint64_t sum = 0;
    // Index -1 holds what lies below the lowest bound, index bucketCount what lies above the highest.
    for (int index = -1; index <= static_cast<int>(bucketCount); ++index) {
        for (const auto &shard : m_content->shards) {
            sum += shard.counts.at(index).value();
        }
        buckets.emplace_back(axis.value(index + 1), sum);
    }
    return buckets;
}

std::uint64_t latency_histogram::sumMicroseconds() const
{
    std::uint64_t sum = 0;
    for (const auto &shard : m_content->shards) {
        sum += shard.sumMicroseconds.load(std::memory_order_relaxed);
    }
    return sum;
}

std::uint64_t latency_histogram::count() const
{
    return cumulated().back().second;
}

std::chrono::microseconds latency_histogram::quantile(double fraction) const
{
    const auto buckets = cumulated();
    const auto wanted = fraction * static_cast<double>(buckets.back().second);
    if (buckets.back().second == 0) {
        return std::chrono::microseconds(0);
    }
    for (const auto &[bound, sum] : buckets) {
        if (static_cast<double>(sum) >= wanted) {
            const auto finite = std::min(bound, highestSeconds);
            return std::chrono::microseconds(static_cast<std::int64_t>(finite * microsecondsPerSecond));
        }
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(highestSeconds * microsecondsPerSecond));
}

class metric_registry::content
{
public:
    template<typename Metric>
    struct metric_family {
        std::string help;
        std::map<metric_labels, std::unique_ptr<Metric>> metrics;
    };

    template<typename Metric>
    using families = std::map<std::string, metric_family<Metric>>;

    template<typename Metric>
    Metric &find(families<Metric> &all, const std::string &name, const std::string &help, const metric_labels &labels)
    {
        const std::lock_guard lock(mutex);
        auto &family = all[name];
        if (family.metrics.empty()) {
            family.help = help;
        }
        auto &metric = family.metrics[labels];
        if (!metric) {
            metric = std::make_unique<Metric>();
        }
        return *metric;
    }

    template<typename Metric>
    static void renderValues(std::string &text, const families<Metric> &all, const char *type)
    {
        for (const auto &[name, family] : all) {
            renderHead(text, name, family.help, type);
            for (const auto &[labels, metric] : family.metrics) {
                renderLine(text, name, labelText(labels), std::to_string(metric->value()));
            }
        }
    }

    mutable std::mutex mutex;
    families<metric_counter> counters;
    families<metric_gauge> gauges;
    families<latency_histogram> latencies;
};

metric_registry::metric_registry()
    : m_content(std::make_unique<content>())
{
}

metric_registry::~metric_registry() = default;

metric_counter &metric_registry::counter(const std::string &name, const std::string &help, const metric_labels &labels)
{
    return m_content->find(m_content->counters, name, help, labels);
}

metric_gauge &metric_registry::gauge(const std::string &name, const std::string &help, const metric_labels &labels)
{
    return m_content->find(m_content->gauges, name, help, labels);
}

latency_histogram &metric_registry::latency(const std::string &name,
                                            const std::string &help,
                                            const metric_labels &labels)
{
    return m_content->find(m_content->latencies, name, help, labels);
}

std::string metric_registry::render() const
{
    const std::lock_guard lock(m_content->mutex);
    std::string text;
    content::renderValues(text, m_content->counters, "counter");
    content::renderValues(text, m_content->gauges, "gauge");
    for (const auto &[name, family] : m_content->latencies) {
        renderHead(text, name, family.help, "histogram");
        for (const auto &[labels, latency] : family.metrics) {
            const auto buckets = latency->cumulated();
            for (std::size_t i = 0; i < buckets.size(); ++i) {
                const auto bound = i + 1 == buckets.size() ? "+Inf" : number(buckets[i].first, boundDigits);
                renderLine(text, name + "_bucket", labelText(labels, bound), std::to_string(buckets[i].second));
            }
            const auto sum = static_cast<double>(latency->sumMicroseconds()) / microsecondsPerSecond;
            renderLine(text, name + "_sum", labelText(labels), number(sum, sumDigits));
            renderLine(text, name + "_count", labelText(labels), std::to_string(buckets.back().second));
        }
    }
    return text;
}

}
