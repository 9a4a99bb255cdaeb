#include "configurationchange.h"

#include "backoff.h"
#include "instancequery.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <random>
#include <thread>

namespace crocusdeal
{

namespace
{

using steady_clock = std::chrono::steady_clock;

constexpr backoff_settings retryDelays{duration{100}, duration{1000}};
/** A lost answer must leave time to read back within the whole limit. */
constexpr int stepsPerLimit = 4;
constexpr std::chrono::milliseconds pollInterval{500};
constexpr duration statusLimit{1000};

/** Distinct for each run of the program on any machine; 128 random bits. */
std::string makeChangeId()
{
    constexpr int words = 4;
    constexpr std::string_view digits = "0123456789abcdef";
    std::random_device random;
    std::string id;
    for (int i = 0; i < words; ++i) {
        auto word = random();
        for (unsigned shift = 0; shift < 32U; shift += 4U) {
            id += digits[(word >> shift) & 15U];
        }
    }
    return id;
}

void sleepFor(duration time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.ms));
}

update_answer answerOf(put_outcome outcome)
{
    switch (outcome) {
    case put_outcome::Stored:
        return update_answer::Stored;
    case put_outcome::Conflict:
        return update_answer::Conflict;
    case put_outcome::Unknown:
        return update_answer::Lost;
    case put_outcome::Unavailable:
        return update_answer::NotDone;
    case put_outcome::Refused:
        break;
    }
    return update_answer::Refused;
}

/** Executes the steps of a publish_attempt until it is finished or the time is over. */
class attempt_runner
{
public:
    attempt_runner(operator_platform &platform, publish_attempt &attempt, duration limit)
        : m_platform(platform)
        , m_attempt(attempt)
        , m_stepLimit(limit / stepsPerLimit)
        , m_deadline(steady_clock::now() + std::chrono::milliseconds(limit.ms))
        , m_backoff(retryDelays)
        , m_random(std::random_device()())
    {
    }

    /** Gives the problems of a published configuration that cannot be understood. */
    std::vector<settings_problem> run()
    {
        while (m_attempt.step() != publish_attempt::step_kind::Finished) {
            auto problems = m_attempt.step() == publish_attempt::step_kind::Read ? read() : update();
            if (!problems.empty()) {
                m_attempt.giveUp("the published configuration cannot be understood");
                return problems;
            }
            if (steady_clock::now() >= m_deadline) {
                m_attempt.giveUp(toString(m_lastFailure));
            }
        }
        return {};
    }

private:
    std::vector<settings_problem> read()
    {
        auto published = m_platform.readConfiguration(m_stepLimit);
        if (published.configuration) {
            m_attempt.onRead(*published.configuration);
        } else if (published.problems.empty()) {
            pause(published.failure);
        }
        return published.problems;
    }

    std::vector<settings_problem> update()
    {
        const auto result = m_platform.update(m_attempt.update(), m_stepLimit);
        m_attempt.onUpdate(answerOf(result.outcome), toString(result.failure));
        if (result.outcome == put_outcome::Unavailable || result.outcome == put_outcome::Unknown) {
            pause(result.failure);
        }
        return {};
    }

    void pause(const platform_failure &failure)
    {
        m_lastFailure = failure;
        const auto delay = m_backoff.next(std::uniform_real_distribution<>()(m_random));
        sleepFor(std::max(delay, failure.retryAfter));
    }

    operator_platform &m_platform;
    publish_attempt &m_attempt;
    duration m_stepLimit;
    steady_clock::time_point m_deadline;
    backoff m_backoff;
    std::minstd_rand m_random;
    platform_failure m_lastFailure;
};

struct force_report {
    bool isKnown = false; ///< False if the platform's list of instances could not be read.
    std::size_t instances = 0;
    std::vector<instance_version> behind;
};

force_report queryForce(operator_platform &platform, std::uint64_t version)
{
    const auto instances = platform.instances(statusLimit);
    if (!instances.value) {
        return {};
    }
    std::vector<instance_version> versions;
    for (auto &status : queryStatus(*instances.value, statusLimit)) {
        versions.push_back(std::move(status.version));
    }
    return {true, versions.size(), notInForce(versions, version)};
}

force_report waitInForce(operator_platform &platform, std::uint64_t version, duration limit)
{
    const auto deadline = steady_clock::now() + std::chrono::milliseconds(limit.ms);
    for (;;) {
        auto report = queryForce(platform, version);
        const bool done = report.isKnown && report.behind.empty();
        if (done || steady_clock::now() + pollInterval >= deadline) {
            return report;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

exit_code codeOf(const publish_report &report, const force_report &force)
{
    switch (report.outcome) {
    case publish_outcome::Accepted:
    case publish_outcome::NothingToDo:
        return force.isKnown && force.behind.empty() ? exit_code::Done : exit_code::NotInForce;
    case publish_outcome::Unknown:
    case publish_outcome::Unavailable:
        return exit_code::Unavailable;
    case publish_outcome::Problems:
    case publish_outcome::Raced:
    case publish_outcome::Refused:
        break;
    }
    return exit_code::Refused;
}

std::string describe(const instance_version &instance)
{
    const auto state = instance.version ? "has version " + std::to_string(*instance.version) : instance.failure;
    return instance.instance.str() + ": " + state;
}

void printJson(const publish_report &report, const force_report &force)
{
    auto behind = nlohmann::json::array();
    for (const auto &instance : force.behind) {
        behind.push_back({{"instance", instance.instance.str()},
                          {"version", instance.version ? nlohmann::json(*instance.version) : nlohmann::json()},
                          {"failure", instance.failure}});
    }
    nlohmann::json value{{"outcome", std::string(publishOutcomeNames.name(report.outcome))},
                         {"version", report.version},
                         {"changes", nlohmann::json::parse(toJson(report.changes))},
                         {"meanwhile", nlohmann::json::parse(toJson(report.meanwhile))},
                         {"problems", nlohmann::json::parse(toJson(report.problems))},
                         {"detail", report.detail},
                         {"instances_known", force.isKnown},
                         {"instances", force.instances},
                         {"not_in_force", std::move(behind)}};
    std::cout << value.dump() << '\n';
}

void printForce(const publish_report &report, const force_report &force)
{
    if (!force.isKnown) {
        printError("version " + std::to_string(report.version)
                   + " is accepted; the instances are not known, since the "
                     "platform does not answer");
    } else if (force.behind.empty()) {
        std::cout << "version " << report.version << " is in force everywhere (" << force.instances << " instances)\n";
    } else {
        printError("version " + std::to_string(report.version) + " is accepted, but not in force at:");
        for (const auto &instance : force.behind) {
            std::cerr << "  " << describe(instance) << '\n';
        }
    }
}

void printText(const publish_report &report, const force_report &force)
{
    switch (report.outcome) {
    case publish_outcome::NothingToDo:
        std::cout << "nothing to do\n";
        printForce(report, force);
        return;
    case publish_outcome::Accepted:
        std::cout << describe(report.changes);
        printForce(report, force);
        return;
    case publish_outcome::Problems:
        printProblems(report.problems, false);
        return;
    case publish_outcome::Raced:
        printError("nothing done: others have changed the configuration meanwhile:");
        std::cerr << describe(report.meanwhile);
        return;
    case publish_outcome::Unknown:
        printError("the outcome is unknown (" + report.detail + "); \"crocusdeal diff\" shows what is in force");
        return;
    case publish_outcome::Unavailable:
        printError("nothing done: the platform does not answer: " + report.detail);
        return;
    case publish_outcome::Refused:
        printError("nothing done: the platform does not take the update: " + report.detail);
        return;
    }
}

}

void addChangeOptions(command_line &line)
{
    constexpr duration defaultWait{13'000};
    line.addPlatform();
    line.addMilliseconds("wait-ms", defaultWait, "how long to wait until all instances have the change in force");
    line.addFlag("json", "print the report as JSON");
}

configuration_change changeOf(const command_line &line, change_planner planner, race_policy policy)
{
    return {
        std::move(planner), policy, line.milliseconds("timeout-ms"), line.milliseconds("wait-ms"), line.flag("json")};
}

exit_code runChange(operator_platform &platform, const configuration_change &change)
{
    publish_attempt attempt(change.planner, makeChangeId(), change.policy);
    const auto problems = attempt_runner(platform, attempt, change.platformLimit).run();
    if (!problems.empty()) {
        printProblems(problems, change.printsJson);
        return exit_code::Refused;
    }
    const auto &report = attempt.report();
    force_report force;
    if (report.outcome == publish_outcome::Accepted || report.outcome == publish_outcome::NothingToDo) {
        force = waitInForce(platform, report.version, change.waitLimit);
    }
    change.printsJson ? printJson(report, force) : printText(report, force);
    return codeOf(report, force);
}

}
