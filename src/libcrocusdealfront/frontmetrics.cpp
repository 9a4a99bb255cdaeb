#include "frontmetrics.h"

#include <chrono>
#include <cmath>

namespace crocusdeal
{

namespace
{

std::chrono::microseconds toMicroseconds(duration time)
{
    return std::chrono::milliseconds(time.ms);
}

}

front_metrics::front_metrics()
    : m_targetTime(m_registry.latency("crocusdeal_target_seconds", "From a statement sent to a target to its answer"))
    , m_queueTime(m_registry.latency("crocusdeal_queue_seconds", "How long statements waited for a target"))
    , m_sessions(m_registry.gauge("crocusdeal_sessions", "Sessions of callers"))
    , m_version(m_registry.gauge("crocusdeal_configuration_version", "Version of the configuration in force"))
    , m_age(m_registry.gauge("crocusdeal_configuration_age_milliseconds",
                             "Time since the configuration in force was known to be the newest"))
    , m_queued(m_registry.gauge("crocusdeal_queued_statements", "Statements that wait for a target"))
    , m_connections(m_registry.gauge("crocusdeal_target_connections", "Connections to targets"))
    , m_leftOut(m_registry.gauge("crocusdeal_log_lines_left_out", "Log lines beyond the budget of their event"))
    , m_ignoredEntries(m_registry.counter("crocusdeal_ignored_entries", "Entries that name no target"))
{
}

void front_metrics::statementEnded(consistency route, std::string_view code, duration time)
{
    const std::string kind(consistencyNames.name(route));
    m_registry
        .counter("crocusdeal_statements",
                 "Statements that targets had to run, by outcome",
                 {{"route", kind}, {"outcome", std::string(code)}})
        .add();
    m_registry.latency("crocusdeal_statement_seconds", "From a statement to its answer", {{"route", kind}})
        .record(toMicroseconds(time));
}

void front_metrics::statementRefused(std::string_view reason)
{
    m_registry.counter("crocusdeal_refusals", "Statements refused, by reason", {{"reason", std::string(reason)}}).add();
}

void front_metrics::statementRetried(std::string_view why)
{
    m_registry.counter("crocusdeal_retries", "Statements sent again, by reason", {{"why", std::string(why)}}).add();
}

void front_metrics::targetAnswered(duration time)
{
    m_targetTime.record(toMicroseconds(time));
}

void front_metrics::waitedForTarget(duration time)
{
    m_queueTime.record(toMicroseconds(time));
}

void front_metrics::promotionEnded(std::string_view outcome)
{
    m_registry
        .counter("crocusdeal_promotion_attempts", "Attempts to change a primary", {{"outcome", std::string(outcome)}})
        .add();
}

void front_metrics::budgetCounted(std::string_view side, std::string_view what, double operations)
{
    auto &part = m_budgetParts[std::string(side) + "/" + std::string(what)];
    part += operations;
    const double whole = std::floor(part);
    if (whole < 1) {
        return;
    }
    part -= whole;
    m_registry
        .counter("crocusdeal_budget_operations",
                 "Operations of the budgets of workspaces",
                 {{"side", std::string(side)}, {"what", std::string(what)}})
        .add(static_cast<std::uint64_t>(whole));
}

void front_metrics::entryIgnored()
{
    m_ignoredEntries.add();
}

void front_metrics::leasesAsked(std::string_view outcome)
{
    m_registry
        .counter("crocusdeal_leases_from_instances",
                 "Readings of the leases through another instance, by outcome",
                 {{"outcome", std::string(outcome)}})
        .add();
}

void front_metrics::sessionOpened()
{
    m_sessions.add(1);
}

void front_metrics::sessionEnded()
{
    m_sessions.add(-1);
}

void front_metrics::setConfigurationVersion(std::uint64_t version)
{
    m_version.set(static_cast<std::int64_t>(version));
}

void front_metrics::setConfigurationAge(duration age)
{
    m_age.set(age.ms);
}

void front_metrics::setQueued(std::int64_t count)
{
    m_queued.set(count);
}

void front_metrics::setTargetConnections(std::int64_t count)
{
    m_connections.set(count);
}

void front_metrics::setLinesLeftOut(std::uint64_t count)
{
    m_leftOut.set(static_cast<std::int64_t>(count));
}

std::string front_metrics::render() const
{
    return m_registry.render();
}

}
