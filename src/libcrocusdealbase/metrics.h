#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace crocusdeal
{

/** A label of a metric, such as {"target", "orders-a"}. */
struct metric_label {
    std::string name;
    std::string value;

    friend auto operator<=>(const metric_label &, const metric_label &) = default;
};

using metric_labels = std::vector<metric_label>;

/** A count that only grows. Cheap to increase from many threads. */
class metric_counter
{
public:
    metric_counter();
    ~metric_counter();
    metric_counter(const metric_counter &) = delete;
    metric_counter &operator=(const metric_counter &) = delete;

    void add(std::uint64_t count = 1) noexcept;
    std::uint64_t value() const noexcept;

private:
    struct shard;
    std::unique_ptr<shard[]> m_shards;
};

/** A value that rises and falls; the last one set is reported. */
class metric_gauge
{
public:
    metric_gauge();
    ~metric_gauge();
    metric_gauge(const metric_gauge &) = delete;
    metric_gauge &operator=(const metric_gauge &) = delete;

    void set(std::int64_t value) noexcept;
    void add(std::int64_t difference) noexcept;
    std::int64_t value() const noexcept;

private:
    struct content;
    std::unique_ptr<content> m_content;
};

/**
 * The distribution of latencies from 100 us to 100 s. Cheap to record from many threads.
 *
 * The relative width of a bucket is 33%.
 */
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram &) = delete;
    latency_histogram &operator=(const latency_histogram &) = delete;

    void record(std::chrono::microseconds latency) noexcept;
    std::uint64_t count() const;
    /** An upper bound of the latency that a @p fraction of the records does not exceed; 0 without records. */
    std::chrono::microseconds quantile(double fraction) const;

private:
    friend class metric_registry;
    /** The cumulated counts and the upper bounds of the buckets, in seconds. */
    std::vector<std::pair<double, std::uint64_t>> cumulated() const;
    std::uint64_t sumMicroseconds() const;

    class content;
    std::unique_ptr<content> m_content;
};

/**
 * All metrics of a process, by name and labels. Safe to use from many threads.
 *
 * The references stay valid as long as the registry, so that a hot path looks its metrics up once only.
 */
class metric_registry
{
public:
    metric_registry();
    ~metric_registry();
    metric_registry(const metric_registry &) = delete;
    metric_registry &operator=(const metric_registry &) = delete;

    /** Gives the metric of this name and these labels, and creates it at first; @p help describes the name. */
    metric_counter &counter(const std::string &name, const std::string &help, const metric_labels &labels = {});
    metric_gauge &gauge(const std::string &name, const std::string &help, const metric_labels &labels = {});
    /** By convention the name ends in "_seconds". */
    latency_histogram &latency(const std::string &name, const std::string &help, const metric_labels &labels = {});

    /** The Prometheus text form, version 0.0.4. */
    std::string render() const;

private:
    class content;
    std::unique_ptr<content> m_content;
};

}
