#include "publishattempt.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

publish_attempt::publish_attempt(change_planner planner, std::string changeId, race_policy policy)
    : m_planner(std::move(planner))
    , m_changeId(std::move(changeId))
    , m_policy(policy)
{
}

publish_attempt::step_kind publish_attempt::step() const
{
    return m_step;
}

const fleet_configuration &publish_attempt::update() const
{
    return m_update;
}

const publish_report &publish_attempt::report() const
{
    return m_report;
}

void publish_attempt::onRead(const fleet_configuration &current)
{
    m_planned ? resolve(current) : plan(current);
}

void publish_attempt::plan(const fleet_configuration &current)
{
    auto planned = m_planner(current);
    m_planned = true;
    m_maybeInEffect = false;
    m_base = current;
    m_touched = std::move(planned.touched);
    m_report.changes = difference(current, planned.result);
    m_report.problems = std::move(planned.problems);
    if (!m_report.problems.empty()) {
        finish(publish_outcome::Problems);
        return;
    }
    if (m_report.changes.empty()) {
        m_report.version = current.version;
        finish(publish_outcome::NothingToDo);
        return;
    }
    m_update = std::move(planned.result);
    m_update.version = current.version;
    auto &recent = m_update.recentChanges;
    recent.push_back(m_changeId);
    if (recent.size() > maxRecentChanges) {
        recent.erase(recent.begin(), recent.end() - maxRecentChanges);
    }
    m_step = step_kind::Update;
}

void publish_attempt::onUpdate(update_answer answer, const std::string &detail)
{
    switch (answer) {
    case update_answer::Stored:
        m_report.version = m_base.version + 1;
        finish(publish_outcome::Accepted);
        return;
    case update_answer::Lost:
        m_maybeInEffect = true;
        m_step = step_kind::Read;
        return;
    case update_answer::Conflict:
        m_step = step_kind::Read;
        return;
    case update_answer::NotDone:
        // An earlier update of unknown outcome is looked at again before the next one is sent.
        m_step = m_maybeInEffect ? step_kind::Read : step_kind::Update;
        return;
    case update_answer::Refused:
        break;
    }
    finish(m_maybeInEffect ? publish_outcome::Unknown : publish_outcome::Refused, detail);
}

/** Finds out from @p current what became of the update on m_base. */
void publish_attempt::resolve(const fleet_configuration &current)
{
    const auto &recent = current.recentChanges;
    if (std::find(recent.begin(), recent.end(), m_changeId) != recent.end()) {
        // The condition lets the update take effect as the version after its base only.
        m_report.version = m_base.version + 1;
        finish(publish_outcome::Accepted);
        return;
    }
    if (current.version <= m_base.version) {
        // The update may still be on its way; repeated under the same condition, one of the two takes effect.
        m_step = step_kind::Update;
        return;
    }
    // Each change adds one id, so the list must reach back to the version after the base to tell.
    if (m_maybeInEffect && current.version - m_base.version > recent.size()) {
        finish(publish_outcome::Unknown, "too many changes by others since");
        return;
    }
    onRace(current);
}

void publish_attempt::onRace(const fleet_configuration &current)
{
    auto meanwhile = difference(m_base, current);
    const bool plansAgain =
        m_policy == race_policy::Replan || (m_policy == race_policy::RebaseDisjoint && isDisjoint(meanwhile));
    if (plansAgain) {
        plan(current);
        return;
    }
    m_report.meanwhile = std::move(meanwhile);
    finish(publish_outcome::Raced);
}

bool publish_attempt::isDisjoint(const std::vector<service_change> &changes) const
{
    return std::none_of(changes.begin(), changes.end(), [this](const service_change &change) {
        return m_touched.count(change.service) > 0;
    });
}

void publish_attempt::giveUp(const std::string &detail)
{
    if (m_step != step_kind::Finished) {
        finish(m_maybeInEffect ? publish_outcome::Unknown : publish_outcome::Unavailable, detail);
    }
}

void publish_attempt::finish(publish_outcome outcome, const std::string &detail)
{
    m_report.outcome = outcome;
    m_report.detail = detail;
    m_step = step_kind::Finished;
}

}
