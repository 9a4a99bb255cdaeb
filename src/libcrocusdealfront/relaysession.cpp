#include "relaysession.h"

#include "relaycodec.h"
#include "systemclock.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace crocusdeal
{

namespace
{

constexpr duration greetingTime{1500}; // In which the list of the instances is read afresh.
constexpr std::size_t maxRunning = 2000; // Of one other instance.
constexpr std::size_t maxUnsentBytes = 8'388'608; // One that does not read is cut off.

/** Whether the name can be one field of a message to a target. */
bool isWord(const workspace_id &workspace)
{
    const auto &name = workspace.str();
    return std::none_of(name.begin(), name.end(), [](char c) { return static_cast<unsigned char>(c) <= ' '; });
}

std::map<service_id, std::vector<target_id>> namedTargets(const promotion_lease_list_update &update)
{
    std::map<service_id, std::vector<target_id>> named;
    for (const auto &entry : update.entries) {
        if (entry.targets) {
            named.emplace(entry.service, *entry.targets);
        }
    }
    return named;
}

}

relay_session::relay_session(front_context &context,
                             std::shared_ptr<byte_stream> stream,
                             relay_surroundings surroundings)
    : m_context(context)
    , m_stream(std::move(stream))
    , m_surroundings(std::move(surroundings))
{
}

void relay_session::start()
{
    const auto self = shared_from_this();
    m_stream->onData = [self](std::string &inbound) { self->handleData(inbound); };
    m_stream->onClosed = [self](const std::string &reason) { self->ended(reason); };
    m_greetingLimit = m_context.deadlines.scheduleAfter(greetingTime, [self] {
        self->m_greetingLimit = 0;
        self->refuseGreeting();
    });
    m_stream->startReading();
}

void relay_session::close(const std::string &reason)
{
    m_stream->close();
    ended(reason);
}

bool relay_session::hasWork() const
{
    return !m_running.empty() || !m_transactions.empty();
}

void relay_session::announceState()
{
    if (!m_peer.empty()) {
        send(stateOf(0));
    }
}

relay_pong relay_session::stateOf(std::uint64_t number) const
{
    relay_pong state;
    state.number = number;
    state.isLeaving = m_surroundings.isLeaving();
    state.isIsolated = m_surroundings.isIsolated();
    state.isStoreAway = m_surroundings.isStoreAway();
    state.configuration = m_surroundings.reportConfiguration();
    state.loads = m_surroundings.loads();
    return state;
}

void relay_session::endTransactions()
{
    // One with a statement under way goes on, as its caller waits for an answer.
    std::vector<std::uint64_t> resting;
    for (const auto &[number, transaction] : m_transactions) {
        if (!isStepRunning(number)) {
            resting.push_back(number);
        }
    }
    for (const auto number : resting) {
        endTransaction(number);
    }
}

void relay_session::expire()
{
    const auto self = shared_from_this();
    m_isExpiring = true;
    const auto running = m_running;
    for (const auto &[number, run] : running) {
        if (run) {
            run->expire();
        }
    }
    const auto steps = m_steps;
    for (const auto &[number, opened] : steps) {
        const auto found = m_transactions.find(opened);
        if (found != m_transactions.end()) {
            const auto transaction = found->second;
            transaction->expire();
        }
    }
}

bool relay_session::isStepRunning(std::uint64_t transaction) const
{
    return std::any_of(m_steps.begin(), m_steps.end(), [&](const auto &step) { return step.second == transaction; });
}

void relay_session::handleData(std::string &inbound)
{
    if (m_isEnded) {
        return;
    }
    const auto self = shared_from_this();
    const bool isReadable = takeRelayMessages(inbound, [this](relay_message &message) {
        handleMessage(message);
        return !m_isEnded;
    });
    if (!isReadable) {
        close("message cannot be read");
    }
}

void relay_session::handleMessage(const relay_message &message)
{
    if (const auto *hello = std::get_if<relay_hello>(&message)) {
        handleHello(*hello);
        return;
    }
    if (m_peer.empty()) {
        close("greeting expected");
        return;
    }
    if (const auto *ping = std::get_if<relay_ping>(&message)) {
        send(stateOf(ping->number));
    } else if (const auto *run = std::get_if<relay_run>(&message)) {
        handleRun(*run);
    } else if (const auto *step = std::get_if<relay_step>(&message)) {
        handleStep(*step);
    } else if (const auto *abandon = std::get_if<relay_abandon>(&message)) {
        handleAbandon(abandon->number);
    } else if (const auto *rollback = std::get_if<relay_rollback>(&message)) {
        endTransaction(rollback->transaction);
    } else if (const auto *question = std::get_if<service_question>(&message)) {
        handleQuestion(*question);
    } else if (const auto *leases = std::get_if<lease_question>(&message)) {
        handleLeaseQuestion(*leases);
    } else if (const auto *targets = std::get_if<target_question>(&message)) {
        handleTargetQuestion(*targets);
    } else if (const auto *request = std::get_if<budget_request>(&message)) {
        handleBudgetRequest(*request);
    } else {
        close("message is not expected");
    }
}

void relay_session::handleQuestion(const service_question &question)
{
    m_surroundings.describe(question.service,
                            [self = shared_from_this(), number = question.number](const instance_knowledge &knowledge) {
                                self->send(service_answer{number, knowledge});
                            });
}

void relay_session::handleLeaseQuestion(const lease_question &question)
{
    m_surroundings.readLeases(
        [self = shared_from_this(), number = question.number](const promotion_lease_list_update &update) {
            lease_answer answer;
            answer.number = number;
            answer.isRead = update.failure == store_failure::None;
            answer.revision = update.revision;
            answer.entries = update.entries;
            self->send(lease_targets{number, namedTargets(update)});
            self->send(answer);
        });
}

void relay_session::handleTargetQuestion(const target_question &question)
{
    auto answer = m_surroundings.listTargets(question.services);
    answer.number = question.number;
    send(answer);
}

void relay_session::handleBudgetRequest(const budget_request &request)
{
    m_surroundings.grantBudget(request,
                               [self = shared_from_this(), number = request.number](const budget_grant &grant) {
                                   auto message = grant;
                                   message.number = number;
                                   self->send(message);
                               });
}

void relay_session::handleHello(const relay_hello &hello)
{
    if (!m_peer.empty() || m_waiting) {
        close("greeted twice");
        return;
    }
    m_waiting = hello;
    if (m_surroundings.isMember(hello.from)) {
        greet();
    }
}

void relay_session::membersChanged()
{
    if (m_waiting && m_surroundings.isMember(m_waiting->from)) {
        greet();
    }
}

void relay_session::greet()
{
    m_context.deadlines.cancel(m_greetingLimit);
    m_peer = m_waiting->from;
    m_waiting.reset();
    send(relay_hello{m_surroundings.self.id, m_surroundings.self.incarnation});
}

void relay_session::refuseGreeting()
{
    m_context.log.warn("relay_refused")
        .field("peer", m_waiting ? m_waiting->from.str() : "none")
        .field("reason", m_waiting ? "no member of the fleet is known by this name" : "no greeting");
    close("greeting refused");
}

void relay_session::handleRun(const relay_run &message)
{
    // After a stall of this process the other instance may have given up, and the caller as well.
    const bool isExpired = message.arrivedAgo + m_surroundings.recentStall() >= message.route.statementTimeout;
    if (m_surroundings.isLeaving() || isExpired) {
        send(relay_not_served{message.number});
        return;
    }
    if (m_running.size() >= maxRunning) {
        refuse(message.number, error_code::Busy, "too many statements of one instance");
        return;
    }
    if (!isCarried(message.number, message.request, message.prepared, message.values)) {
        return;
    }
    if (!isWord(message.workspace)) {
        refuse(message.number, error_code::Malformed, "the workspace cannot be named to a target");
        return;
    }
    const auto now = systemNow();
    statement_order order;
    order.request = message.request;
    order.kind = message.kind;
    order.prepared = message.prepared;
    order.opens = message.opens;
    order.route = message.route;
    order.access.workspace = message.workspace;
    order.access.decidedBy = message.accessDecidedBy;
    if (message.accessValidFor) {
        order.access.validUntil = now + *message.accessValidFor;
    }
    order.ownCommit = message.ownCommit;
    order.arrivedAt = now - message.arrivedAgo;
    order.startedAt = now - message.startedAgo;
    if (m_surroundings.mayRestOnLostKey(order.access)) {
        m_context.log.info("relayed_access_refused")
            .field("id", order.request.id)
            .field("workspace", order.access.workspace.str())
            .field("peer", m_peer.str())
            .field("decided_by", static_cast<std::int64_t>(order.access.decidedBy));
        refuse(message.number, error_code::Busy, "a key of the workspace was taken away since the access was decided");
        return;
    }
    session_values values;
    values.values = message.values;
    const auto number = message.number;
    if (!m_running.emplace(number, nullptr).second) {
        close("two statements of one number");
        return;
    }
    auto run = m_surroundings.run(order, values, [self = shared_from_this(), number](const statement_outcome &outcome) {
        self->answerRun(number, outcome);
    });
    const auto found = m_running.find(number);
    if (!run) {
        m_running.erase(number);
        send(relay_not_served{number});
    } else if (found != m_running.end()) {
        found->second = std::move(run);
    }
}

bool relay_session::isCarried(std::uint64_t number,
                              const caller_request &request,
                              const std::optional<prepared_shape> &prepared,
                              const std::map<std::string, std::string> &values)
{
    // An instance of another version may have let through what ends a message of a target.
    const auto canCarry = [this](const std::string &text) { return m_context.targets.canCarry(text); };
    const bool isRequestCarried = canCarry(request.id) && canCarry(request.what.text) && canCarry(request.what.name)
        && canCarry(request.what.argument) && (!prepared || canCarry(prepared->shape));
    const bool areValuesCarried = std::all_of(values.begin(), values.end(), [&](const auto &value) {
        return canCarry(value.first) && canCarry(value.second);
    });
    if (!isRequestCarried || !areValuesCarried) {
        refuse(number, error_code::Malformed, "the statement cannot be sent to a target");
        return false;
    }
    return true;
}

void relay_session::answerRun(std::uint64_t number, const statement_outcome &outcome)
{
    m_running.erase(number);
    if (m_isExpiring && outcome.error && *outcome.error != error_code::InDoubt) {
        answerExpired(number, *outcome.error);
        return;
    }
    if (outcome.transaction && m_isEnded) {
        outcome.transaction->end();
        return;
    }
    if (outcome.transaction) {
        m_transactions.emplace(number, outcome.transaction);
    }
    answer(number, outcome);
}

void relay_session::answerExpired(std::uint64_t number, error_code code)
{
    if (hasNotRun(code)) {
        send(relay_not_served{number});
    }
    // What may have run and keeps nothing is served by another instance once the link has ended.
}

void relay_session::handleStep(const relay_step &message)
{
    const auto found = m_transactions.find(message.transaction);
    if (found == m_transactions.end()) {
        refuse(message.number, error_code::Aborted, "the transaction was rolled back");
        return;
    }
    if (isStepRunning(message.transaction)) {
        close("two statements of one transaction at once");
        return;
    }
    if (!isCarried(message.number, message.request, message.prepared, message.values)) {
        return;
    }
    session_values values;
    values.values = message.values;
    const auto number = message.number;
    const auto transaction = found->second;
    m_steps.emplace(number, message.transaction);
    transaction->run(message.request,
                     message.prepared,
                     values,
                     message.limit,
                     [self = shared_from_this(), number, opened = message.transaction](
                         const statement_outcome &outcome) { self->answerStep(number, opened, outcome); });
}

void relay_session::answerStep(std::uint64_t number, std::uint64_t transaction, const statement_outcome &outcome)
{
    m_steps.erase(number);
    if (!outcome.transaction) {
        m_transactions.erase(transaction);
    }
    answer(number, outcome);
}

void relay_session::handleAbandon(std::uint64_t number)
{
    const auto running = m_running.find(number);
    if (running != m_running.end()) {
        const auto run = running->second;
        m_running.erase(running);
        if (run) {
            run->abandon();
        }
        return;
    }
    const auto step = m_steps.find(number);
    endTransaction(step == m_steps.end() ? number : step->second);
}

void relay_session::endTransaction(std::uint64_t number)
{
    const auto found = m_transactions.find(number);
    if (found == m_transactions.end()) {
        return;
    }
    const auto transaction = found->second;
    m_transactions.erase(found);
    std::erase_if(m_steps, [&](const auto &step) { return step.second == number; });
    transaction->end();
}

void relay_session::answer(std::uint64_t number, const statement_outcome &outcome)
{
    relay_answer message;
    message.number = number;
    message.reply = outcome.reply;
    message.error = outcome.error;
    message.errorText = outcome.errorText;
    message.isOpen = outcome.transaction != nullptr;
    send(message);
}

void relay_session::refuse(std::uint64_t number, error_code code, std::string text)
{
    relay_answer message;
    message.number = number;
    message.error = code;
    message.errorText = std::move(text);
    send(message);
}

void relay_session::send(const relay_message &message)
{
    if (m_isEnded) {
        return;
    }
    std::string encoded;
    if (!encodeRelay(message, encoded)) {
        close("answer is too long");
        return;
    }
    if (m_stream->unsentBytes() + encoded.size() > maxUnsentBytes) {
        close("the other instance does not read");
        return;
    }
    m_stream->send(encoded);
}

void relay_session::ended(const std::string &reason)
{
    if (std::exchange(m_isEnded, true)) {
        return;
    }
    const auto self = shared_from_this();
    m_context.deadlines.cancel(m_greetingLimit);
    m_context.log.info("relayed_session_ended")
        .field("peer", m_peer.str())
        .field("reason", reason)
        .field("running", static_cast<std::int64_t>(m_running.size()))
        .field("transactions", static_cast<std::int64_t>(m_transactions.size()));
    for (const auto &[number, run] : std::exchange(m_running, {})) {
        if (run) {
            run->abandon();
        }
    }
    m_steps.clear();
    for (const auto &[number, transaction] : std::exchange(m_transactions, {})) {
        transaction->end();
    }
    const auto handler = std::exchange(onEnded, nullptr);
    if (handler) {
        handler();
    }
}

}
