#pragma once

#include "clock.h"
#include "errorcode.h"
#include "metrics.h"
#include "routingconfiguration.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace crocusdeal
{

/** What the daemon counts, under the names that operators see. */
class front_metrics
{
public:
    front_metrics();

    /** A statement has ended for its caller; without a code with success. */
    void statementEnded(consistency route, std::string_view code, duration time);
    void statementRefused(std::string_view reason);
    void statementRetried(std::string_view why);
    /** The time from a statement that was sent to a target to the target's answer. */
    void targetAnswered(duration time);
    void waitedForTarget(duration time);
    void promotionEnded(std::string_view outcome);
    /** Operations of the budgets of workspaces: @p side "holder" or "asker", @p what was done with them. */
    void budgetCounted(std::string_view side, std::string_view what, double operations);
    /** An entry of the metadata store names no target. */
    void entryIgnored();
    /** Another instance was asked for the promotion leases. */
    void leasesAsked(std::string_view outcome);
    void sessionOpened();
    void sessionEnded();
    void setConfigurationVersion(std::uint64_t version);
    /** Since when the configuration in force is not known to be the newest; negative if it never was. */
    void setConfigurationAge(duration age);
    void setQueued(std::int64_t count);
    void setTargetConnections(std::int64_t count);
    void setLinesLeftOut(std::uint64_t count);

    /** The Prometheus text form. */
    std::string render() const;

private:
    metric_registry m_registry;
    std::map<std::string, double, std::less<>> m_budgetParts; ///< Below one operation, by side and what.
    latency_histogram &m_targetTime;
    latency_histogram &m_queueTime;
    metric_gauge &m_sessions;
    metric_gauge &m_version;
    metric_gauge &m_age;
    metric_gauge &m_queued;
    metric_gauge &m_connections;
    metric_gauge &m_leftOut;
    metric_counter &m_ignoredEntries;
};

}
