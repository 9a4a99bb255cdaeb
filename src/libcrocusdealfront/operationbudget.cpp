#include "operationbudget.h"

#include "systemclock.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr duration answerLimit{70}; // Of one holder, which may ask those of the other data centres.
constexpr std::size_t mostHoldersAsked = 2; // For one question, since an operation waits no longer.
constexpr duration otherAnswerLimit{30};
constexpr duration avoidTime{500};
constexpr duration readInterval{10000};
constexpr duration missingReadInterval{500}; // While there is no table.
constexpr duration failedReadInterval{2000};
constexpr duration holdInterval{1000};
constexpr duration planInterval{500};
constexpr duration silenceLimit{2000};
constexpr duration probeInterval{500};
constexpr duration longestTableWait{6000};
constexpr double mostWanted = 1e6; // Operations.

/** A number that another instance has sent, between 0 and @p most. */
double operationsOf(double sent, double most)
{
    return sent > 0 ? std::min(sent, most) : 0; // Also for what is not a number.
}

}

struct operation_budget::question {
    workspace_id workspace;
    double wanted = 0;
    double gathered = 0;
    time_point askedAt;
    std::vector<instance_id> holders; ///< Still to be asked.
    std::size_t asked = 0;
    instance_id current;
    std::size_t attempt = 0; ///< Counts the holders, so that a late answer is known.
    deadline_queue::handle limit = 0;
    bool isOver = false;
};

operation_budget::operation_budget(front_context &context, metadata_store &store, budget_surroundings surroundings)
    : m_context(context)
    , m_store(store)
    , m_surroundings(std::move(surroundings))
    , m_holding(m_surroundings.self.id, m_surroundings.self.dataCentre)
    , m_plan(m_surroundings.self.id)
{
    m_holding.askOthers = [this](const workspace_id &workspace, double wanted) { askOthers(workspace, wanted); };
}

void operation_budget::setConfiguration(const routing_configuration &configuration)
{
    const auto now = systemNow();
    m_terms.clear();
    if (configuration.workspaces) {
        for (const auto &entry : configuration.workspaces->entries()) {
            if (entry.limit) {
                m_terms.emplace(entry.name, budgetTerms(*entry.limit, m_surroundings.bound));
            }
        }
    }
    if (!m_terms.empty() && m_limitedSince == never) {
        m_limitedSince = now;
    }
    if (!m_surroundings.relays) {
        const auto &self = m_surroundings.self;
        m_holding.tableRead({1, {{self.dataCentre, {self.id}}}, {}}, now, now);
    }
    m_holding.setTerms(m_terms, now);
    watchTable(now);
}

void operation_budget::setMembers(const std::vector<fleet_member> &members)
{
    m_members = members;
    m_areMembersKnown = true;
}

budget_demand &operation_budget::demandOf(const workspace_id &workspace)
{
    const auto [place, isNew] = m_demands.try_emplace(workspace);
    if (isNew) {
        place->second.ask = [this, workspace](double wanted, time_point askedAt) { ask(workspace, wanted, askedAt); };
    }
    return place->second;
}

void operation_budget::admit(const workspace_id &workspace, admission_handler done)
{
    const auto now = systemNow();
    if (m_isStopped) {
        done({false, never, silenceLimit, false});
        return;
    }
    if (!m_terms.contains(workspace)) {
        done({true, now, {}, false});
        return;
    }
    demandOf(workspace).admit(now, [this, workspace, done = std::move(done)](const admission &result) {
        auto &used = m_usage[workspace];
        ++(result.isAdmitted ? used.admitted : used.refused);
        count("asker", result.isAdmitted ? "granted" : "refused", 1);
        done(result);
    });
}

void operation_budget::refund(const workspace_id &workspace, time_point lapsesAt)
{
    const auto found = m_demands.find(workspace);
    if (found != m_demands.end()) {
        found->second.refund(lapsesAt, systemNow());
    }
}

void operation_budget::serve(const budget_request &request, std::function<void(const budget_grant &)> done)
{
    const auto answered = [this, done = std::move(done)](const std::optional<budget_answer> &answer) {
        budget_grant grant;
        grant.isHolder = answer.has_value();
        if (answer) {
            grant.granted = answer->granted;
            grant.retryAfter = answer->retryAfter;
            count("holder", "granted", answer->granted);
        }
        done(grant);
    };
    const double wanted = operationsOf(request.wanted, mostWanted);
    count("holder", "asked", wanted);
    m_holding.serve(request.workspace, wanted, request.isFromHolder, systemNow(), answered);
}

bool operation_budget::send(const instance_id &holder, const budget_request &request, const answer_handler &done)
{
    if (holder == m_surroundings.self.id) {
        serve(request, [done](const budget_grant &grant) { done(grant); });
        return true;
    }
    const auto avoided = m_avoidUntil.find(holder);
    if (!m_surroundings.relays || (avoided != m_avoidUntil.end() && systemNow() < avoided->second)) {
        return false;
    }
    const auto link = m_surroundings.relays->budgetLink(holder);
    if (!link) {
        return false;
    }
    link->askBudget(request, done);
    return true;
}

void operation_budget::ask(const workspace_id &workspace, double wanted, time_point askedAt)
{
    const auto asked = std::make_shared<question>();
    asked->workspace = workspace;
    asked->wanted = wanted;
    asked->askedAt = askedAt;
    if (const auto &table = m_holding.table()) {
        asked->holders = budgetHolders(table->names, workspace, m_surroundings.self.dataCentre);
    }
    count("asker", "asked", wanted);
    askNext(asked);
}

void operation_budget::askNext(const std::shared_ptr<question> &asked)
{
    const auto self = shared_from_this();
    while (!asked->isOver && !asked->holders.empty() && asked->asked < mostHoldersAsked) {
        asked->current = asked->holders.front();
        asked->holders.erase(asked->holders.begin());
        const auto attempt = ++asked->attempt;
        asked->limit = m_context.deadlines.scheduleAfter(answerLimit, [self, asked] {
            asked->limit = 0;
            self->m_avoidUntil[asked->current] = systemNow() + avoidTime;
            self->askNext(asked);
        });
        const budget_request request{0, asked->workspace, asked->wanted, false};
        const bool isSent = send(asked->current, request, [self, asked, attempt](const auto &grant) {
            const bool isUseful = grant && grant->isHolder;
            if (isUseful || attempt == asked->attempt) {
                self->takeAnswer(asked, grant);
            }
        });
        if (isSent) {
            ++asked->asked;
            return;
        }
        m_context.deadlines.cancel(asked->limit);
    }
    giveUp(asked);
}

void operation_budget::takeAnswer(const std::shared_ptr<question> &asked, const std::optional<budget_grant> &grant)
{
    const auto now = systemNow();
    const auto terms = m_terms.find(asked->workspace);
    const auto life = terms == m_terms.end() ? duration{} : terms->second.life;
    if (grant) {
        noteAnswer();
    }
    const double granted = grant ? operationsOf(grant->granted, asked->wanted) : 0;
    auto &demand = demandOf(asked->workspace);
    if (asked->isOver) {
        // Another holder was asked meanwhile, or nobody waits; what came may be used all the same.
        demand.answered(0, granted, asked->askedAt, life, {}, now);
        return;
    }
    m_context.deadlines.cancel(asked->limit);
    if (!grant || !grant->isHolder) {
        m_nextReadAt = std::min(m_nextReadAt, now + holdInterval);
        askNext(asked);
        return;
    }
    asked->isOver = true;
    m_usage[asked->workspace].isShort |= granted < asked->wanted;
    demand.answered(asked->wanted, granted, asked->askedAt, life, grant->retryAfter, now);
}

void operation_budget::giveUp(const std::shared_ptr<question> &asked)
{
    if (std::exchange(asked->isOver, true)) {
        return;
    }
    noteSilence(asked->workspace);
    demandOf(asked->workspace).unanswered(asked->wanted, systemNow());
}

void operation_budget::askOthers(const workspace_id &workspace, double wanted)
{
    const auto asked = std::make_shared<question>();
    asked->workspace = workspace;
    asked->wanted = wanted;
    asked->holders = otherBudgetHolders(m_holding.table()->names, workspace, m_surroundings.self.dataCentre, m_turn++);
    askNextOther(asked);
}

void operation_budget::askNextOther(const std::shared_ptr<question> &asked)
{
    const auto self = shared_from_this();
    while (!asked->holders.empty() && asked->gathered < asked->wanted) {
        asked->current = asked->holders.front();
        asked->holders.erase(asked->holders.begin());
        const auto attempt = ++asked->attempt;
        asked->limit = m_context.deadlines.scheduleAfter(otherAnswerLimit, [self, asked] {
            asked->limit = 0;
            ++asked->attempt; // What comes later would live longer than those that it is for.
            self->m_avoidUntil[asked->current] = systemNow() + avoidTime;
            self->askNextOther(asked);
        });
        const budget_request request{0, asked->workspace, asked->wanted - asked->gathered, true};
        const bool isSent = send(asked->current, request, [self, asked, attempt](const auto &grant) {
            if (attempt != asked->attempt) {
                return;
            }
            self->m_context.deadlines.cancel(asked->limit);
            asked->gathered += grant ? operationsOf(grant->granted, asked->wanted) : 0;
            self->askNextOther(asked);
        });
        if (isSent) {
            return;
        }
        m_context.deadlines.cancel(asked->limit);
    }
    ++asked->attempt;
    // In a turn of its own, since the part that asks is not ready for the answer yet.
    m_context.deadlines.scheduleAfter({}, [self, asked] { self->answerOthers(asked->workspace, asked->gathered); });
}

void operation_budget::answerOthers(const workspace_id &workspace, double gathered)
{
    m_holding.othersAnswered(workspace, gathered, systemNow());
}

void operation_budget::tick(time_point now)
{
    if (m_isStopped || m_terms.empty()) {
        return;
    }
    for (auto &[workspace, demand] : m_demands) {
        demand.tick(now);
        count("asker", "lapsed", demand.takeLapsed());
    }
    watchTable(now);
    probeHolders(now);
    if (now - m_heldAt >= holdInterval) {
        m_heldAt = now;
        m_holding.tick(now);
        keepLinks();
        tellUsage();
        std::erase_if(m_avoidUntil, [&](const auto &avoided) { return avoided.second <= now; });
    }
}

bool operation_budget::isHolderName() const
{
    const auto &table = m_holding.table();
    if (!table) {
        return true; // It may become one.
    }
    const auto here = table->names.find(m_surroundings.self.dataCentre);
    return here != table->names.end()
        && std::find(here->second.begin(), here->second.end(), m_surroundings.self.id) != here->second.end();
}

void operation_budget::watchTable(time_point now)
{
    if (m_terms.empty() || m_isStopped) {
        return;
    }
    if (!m_surroundings.relays) {
        const auto &self = m_surroundings.self;
        m_holding.tableRead({1, {{self.dataCentre, {self.id}}}, {}}, now, now);
        return;
    }
    if (now >= m_nextReadAt) {
        readTable(now);
    }
    if (!m_areMembersKnown || m_isWriting || now - m_plannedAt < planInterval) {
        return;
    }
    m_plannedAt = now;
    m_plan.observe(m_members, now);
    if (const auto names = m_plan.due(m_holding.table(), now)) {
        writeTable(*names);
    }
}

void operation_budget::readTable(time_point now)
{
    if (std::exchange(m_isReading, true)) {
        return;
    }
    const auto reading = isHolderName() ? store_reading::Current : store_reading::MayBeOld;
    // What may be old tells whom to ask, but allows nobody to act by it.
    const auto actFrom = reading == store_reading::Current ? now : never;
    m_store.readBudgetHolders(reading, [self = shared_from_this(), actFrom](const budget_holder_update &update) {
        self->m_isReading = false;
        self->handleTable(update, actFrom);
    });
}

void operation_budget::handleTable(const budget_holder_update &update, time_point askedAt)
{
    const auto now = systemNow();
    if (update.failure == store_failure::NotFound) {
        m_nextReadAt = now + missingReadInterval;
        return;
    }
    if (update.failure != store_failure::None) {
        m_nextReadAt = now + failedReadInterval;
        m_context.log.warn("budget_holders_unread")
            .field("outcome", storeFailureNames.name(update.failure))
            .field("detail", update.detail);
        return;
    }
    m_nextReadAt = now + readInterval;
    const auto &known = m_holding.table();
    const bool isNew = !known || known->revision != update.table.revision;
    const bool wasHolderName = known && isHolderName();
    m_holding.tableRead(update.table, askedAt, now);
    if (!isNew) {
        return;
    }
    std::size_t instances = 0;
    for (const auto &[dataCentre, ids] : update.table.names) {
        instances += ids.size();
    }
    m_context.log.info("budget_holders_known")
        .field("revision", static_cast<std::int64_t>(update.table.revision))
        .field("instances", static_cast<std::int64_t>(instances))
        .field("data_centres", static_cast<std::int64_t>(update.table.names.size()))
        .field("holds_here", isHolderName() ? 1 : 0);
    if (isHolderName() && !wasHolderName) {
        m_nextReadAt = now; // As a holder, from an answer that is not old.
    }
    keepLinks();
}

void operation_budget::writeTable(const budget_holder_names &names)
{
    m_isWriting = true;
    const auto known = m_holding.table();
    budget_holder_table table{0, names, known ? known->names : budget_holder_names{}};
    const auto replaces = known ? std::optional(known->revision) : std::nullopt;
    m_store.writeBudgetHolders(table, replaces, [self = shared_from_this()](store_failure failure) {
        self->m_isWriting = false;
        self->m_context.log.info("budget_holders_written").field("outcome", storeFailureNames.name(failure));
        self->m_nextReadAt = never; // It may have been done, by this instance or another one.
        self->readTable(systemNow());
    });
}

void operation_budget::keepLinks()
{
    const auto &table = m_holding.table();
    if (!m_surroundings.relays || !table) {
        return;
    }
    const auto &self = m_surroundings.self;
    std::set<instance_id> holders;
    for (const auto &[workspace, terms] : m_terms) {
        const auto own = budgetHolder(table->names, workspace, self.dataCentre);
        if (own != self.id) {
            holders.insert(own);
            continue;
        }
        const auto others = otherBudgetHolders(table->names, workspace, self.dataCentre, 0);
        holders.insert(others.begin(), others.end());
    }
    holders.erase(instance_id());
    m_surroundings.relays->setBudgetHolders(std::move(holders));
}

void operation_budget::noteAnswer()
{
    m_silentSince = never;
    if (std::exchange(m_isSilenceTold, false)) {
        m_context.log.info("budget_holders_answer");
    }
}

void operation_budget::noteSilence(const workspace_id &workspace)
{
    const auto now = systemNow();
    if (!m_holding.table()) {
        return;
    }
    m_silentSince = m_silentSince == never ? now : m_silentSince;
    if (now - m_silentSince >= silenceLimit && !std::exchange(m_isSilenceTold, true)) {
        m_context.log.warn("budget_holders_silent")
            .field("workspace", workspace.str())
            .field("silent_ms", (now - m_silentSince).ms);
    }
}

void operation_budget::tellUsage()
{
    for (const auto &[workspace, used] : std::exchange(m_usage, {})) {
        if (used.isShort || used.refused > 0) {
            m_context.log.info("workspace_limited")
                .field("workspace", workspace.str())
                .field("admitted", used.admitted)
                .field("refused", used.refused);
        }
    }
}

void operation_budget::probeHolders(time_point now)
{
    // Without callers, which a balancer keeps away from here, nothing else asks.
    if (m_silentSince == never || now - m_probedAt < probeInterval) {
        return;
    }
    m_probedAt = now;
    ask(m_terms.begin()->first, 0, now);
}

bool operation_budget::isReady(time_point now) const
{
    if (m_terms.empty()) {
        return true;
    }
    const bool isTableDue = !m_holding.table() && now - m_limitedSince < longestTableWait;
    const bool isSilent = m_silentSince != never && now - m_silentSince >= silenceLimit;
    return !isTableDue && !isSilent;
}

void operation_budget::count(const char *side, const char *what, double operations)
{
    m_context.metrics.budgetCounted(side, what, operations);
}

void operation_budget::stop()
{
    m_isStopped = true;
}

}
