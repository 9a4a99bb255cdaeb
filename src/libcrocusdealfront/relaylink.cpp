#include "relaylink.h"

#include "relaycodec.h"
#include "systemclock.h"

#include <utility>
#include <vector>

namespace crocusdeal
{

namespace
{

constexpr duration openingLimit{2000}; // The other instance may have to read the list of the instances first.
constexpr duration busyPingInterval{100};
constexpr duration idlePingInterval{400};
constexpr duration seldomPingInterval{2000};
// A live instance answers within milliseconds; work that changes nothing goes elsewhere then.
constexpr duration silenceLimit{250};
constexpr duration deadLimit{3000}; // A link that is silent for so long is opened anew.

}

relay_link::relay_link(front_context &context, fleet_member self, fleet_member peer)
    : m_context(context)
    , m_self(std::move(self))
    , m_peer(std::move(peer))
    , m_stream(std::make_shared<byte_stream>(context.io))
{
}

void relay_link::open()
{
    const auto self = shared_from_this();
    m_openedAt = systemNow();
    m_stream->onData = [self](std::string &inbound) { self->handleData(inbound); };
    m_stream->onClosed = [self](const std::string &reason) { self->ended(reason); };
    m_stream->connect(m_peer.relayAddress, [self] {
        self->send(relay_hello{self->m_self.id, self->m_self.incarnation});
    });
}

void relay_link::close(const std::string &reason)
{
    m_stream->close();
    ended(reason);
}

const fleet_member &relay_link::peer() const
{
    return m_peer;
}

bool relay_link::isUsable() const
{
    return isAnswering() && !m_isLeaving;
}

bool relay_link::isAnswering() const
{
    return m_isGreeted && !m_isEnded && !m_isSilent;
}

bool relay_link::isEnded() const
{
    return m_isEnded;
}

bool relay_link::isInUse() const
{
    return !m_pending.empty() || m_openTransactions > 0;
}

void relay_link::transactionOpened()
{
    ++m_openTransactions;
}

void relay_link::transactionEnded()
{
    --m_openTransactions;
}

bool relay_link::isPeerIsolated() const
{
    return m_isIsolated;
}

bool relay_link::isPeerStoreAway() const
{
    return m_isPeerStoreAway;
}

time_point relay_link::endedAt() const
{
    return m_endedAt;
}

std::uint64_t relay_link::run(relay_run message, bool isRepeatable, handler done)
{
    const auto number = m_nextNumber++;
    message.number = number;
    m_pending.emplace(number, pending_work{std::move(done), isRepeatable});
    if (!send(message)) {
        // Too long for one message, so that it has to be run here.
        finish(number, {relay_end::NotServed, {}, "the statement is too long"});
    }
    return number;
}

std::uint64_t relay_link::step(relay_step message, handler done)
{
    const auto number = m_nextNumber++;
    message.number = number;
    m_pending.emplace(number, pending_work{std::move(done), false});
    if (m_isEnded || !send(message)) {
        finish(number, {relay_end::NotServed, {}, m_isEnded ? "the link has ended" : "the statement is too long"});
    }
    return number;
}

void relay_link::abandon(std::uint64_t number)
{
    m_pending.erase(number);
    send(relay_abandon{number});
}

void relay_link::rollBack(std::uint64_t transaction)
{
    send(relay_rollback{transaction});
}

void relay_link::askLeases(lease_handler done)
{
    if (m_isEnded) {
        done(std::nullopt);
        return;
    }
    const auto number = m_nextNumber++;
    m_leaseQuestions.emplace(number, lease_inquiry{std::move(done), {}});
    send(lease_question{number});
}

void relay_link::handleLeases(const lease_answer &answer)
{
    const auto found = m_leaseQuestions.find(answer.number);
    if (found == m_leaseQuestions.end()) {
        return;
    }
    const auto question = std::move(found->second);
    m_leaseQuestions.erase(found);
    auto known = answer;
    for (auto &entry : known.entries) {
        const auto named = question.targets.find(entry.service);
        if (named != question.targets.end()) {
            entry.targets = named->second;
        }
    }
    question.done(known);
}

void relay_link::handleLeaseTargets(lease_targets &message)
{
    const auto found = m_leaseQuestions.find(message.number);
    if (found != m_leaseQuestions.end()) {
        found->second.targets = std::move(message.targets);
    }
}

void relay_link::askTargets(const std::vector<service_id> &services, target_handler done)
{
    if (m_isEnded) {
        return;
    }
    const auto number = m_nextNumber++;
    m_targetQuestions.emplace(number, std::move(done));
    send(target_question{number, services});
}

void relay_link::handleTargets(const target_answer &answer)
{
    const auto found = m_targetQuestions.find(answer.number);
    if (found == m_targetQuestions.end()) {
        return;
    }
    const auto done = std::move(found->second);
    m_targetQuestions.erase(found);
    done(answer);
}

void relay_link::askBudget(budget_request message, budget_handler done)
{
    const auto number = m_nextNumber++;
    message.number = number;
    if (m_isEnded || !send(message)) {
        done(std::nullopt);
        return;
    }
    m_budgets.emplace(number, std::move(done));
}

void relay_link::setPingedSeldom(bool isSeldom)
{
    m_isPingedSeldom = isSeldom;
}

duration relay_link::pingInterval() const
{
    if (!m_pending.empty() || !m_budgets.empty()) {
        return busyPingInterval;
    }
    return m_isPingedSeldom ? seldomPingInterval : idlePingInterval;
}

void relay_link::loseBudgets()
{
    for (const auto &[number, done] : std::exchange(m_budgets, {})) {
        done(std::nullopt);
    }
}

void relay_link::tick(time_point now, duration ownStall)
{
    if (m_isEnded) {
        return;
    }
    if (!m_isGreeted) {
        if (now - m_openedAt > openingLimit + ownStall) {
            close("no greeting");
        }
        return;
    }
    if (m_pingSentAt != never) {
        m_pingSentAt = m_pingSentAt + ownStall;
        const auto silence = now - m_pingSentAt;
        if (silence > deadLimit) {
            close("silent");
        } else if (silence > silenceLimit && !std::exchange(m_isSilent, true)) {
            m_context.log.warn("relay_silent")
                .field("peer", m_peer.id.str())
                .field("silent_ms", silence.ms)
                .field("pending", static_cast<std::int64_t>(m_pending.size()));
            loseRepeatable("the other instance is silent");
            loseBudgets();
        }
        return;
    }
    if (now - m_lastPingAt >= pingInterval()) {
        m_lastPingAt = now;
        m_pingSentAt = now;
        m_openPings.push_back({m_nextNumber, now});
        send(relay_ping{m_nextNumber});
    }
}

void relay_link::handleData(std::string &inbound)
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

void relay_link::handleMessage(relay_message &message)
{
    if (const auto *hello = std::get_if<relay_hello>(&message)) {
        if (hello->from != m_peer.id || m_isGreeted) {
            close("greeted by another instance");
            return;
        }
        m_isGreeted = true;
        m_context.log.info("relay_opened")
            .field("peer", m_peer.id.str())
            .field("address", toString(m_peer.relayAddress));
        return;
    }
    m_pingSentAt = never;
    m_isSilent = false;
    if (const auto *pong = std::get_if<relay_pong>(&message)) {
        m_isLeaving = pong->isLeaving;
        m_isIsolated = pong->isIsolated;
        m_isPeerStoreAway = pong->isStoreAway;
        const auto pingSentAt = takePing(*pong);
        if (onPong) {
            onPong(*pong, pingSentAt);
        }
        if (onLoads && !pong->loads.empty()) {
            onLoads(pong->loads);
        }
    } else if (auto *answer = std::get_if<relay_answer>(&message)) {
        const auto number = answer->number;
        const bool isForgotten = !m_pending.contains(number);
        if (isForgotten && answer->isOpen) {
            rollBack(number);
        }
        finish(number, {relay_end::Answered, std::move(*answer), {}});
    } else if (auto *named = std::get_if<lease_targets>(&message)) {
        handleLeaseTargets(*named);
    } else if (const auto *leases = std::get_if<lease_answer>(&message)) {
        handleLeases(*leases);
    } else if (const auto *targets = std::get_if<target_answer>(&message)) {
        handleTargets(*targets);
    } else if (const auto *refused = std::get_if<relay_not_served>(&message)) {
        finish(refused->number, {relay_end::NotServed, {}, "not served there"});
    } else if (const auto *grant = std::get_if<budget_grant>(&message)) {
        const auto found = m_budgets.find(grant->number);
        if (found != m_budgets.end()) {
            const auto done = std::move(found->second);
            m_budgets.erase(found);
            done(*grant);
        }
    } else {
        close("message is not expected");
    }
}

time_point relay_link::takePing(const relay_pong &pong)
{
    if (m_openPings.empty() || m_openPings.front().number != pong.number) {
        return never; // The other instance announces its state unasked.
    }
    const auto sentAt = m_openPings.front().at;
    m_openPings.pop_front();
    return sentAt;
}

void relay_link::finish(std::uint64_t number, relay_result result)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
        return;
    }
    const auto done = std::move(found->second.done);
    m_pending.erase(found);
    done(std::move(result));
}

void relay_link::loseRepeatable(const std::string &reason)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, work] : m_pending) {
        if (work.isRepeatable) {
            numbers.push_back(number);
        }
    }
    for (const auto number : numbers) {
        send(relay_abandon{number});
        finish(number, {relay_end::Lost, {}, reason});
    }
}

bool relay_link::send(const relay_message &message)
{
    std::string encoded;
    if (!encodeRelay(message, encoded)) {
        return false;
    }
    m_stream->send(encoded);
    return true;
}

void relay_link::ended(const std::string &reason)
{
    if (std::exchange(m_isEnded, true)) {
        return;
    }
    const auto self = shared_from_this();
    m_endedAt = systemNow();
    m_context.log.info("relay_ended")
        .field("peer", m_peer.id.str())
        .field("reason", reason)
        .field("pending", static_cast<std::int64_t>(m_pending.size()));
    while (!m_pending.empty()) {
        finish(m_pending.begin()->first, {relay_end::Lost, {}, reason});
    }
    m_targetQuestions.clear();
    for (const auto &[number, question] : std::exchange(m_leaseQuestions, {})) {
        question.done(std::nullopt);
    }
    loseBudgets();
}

}
