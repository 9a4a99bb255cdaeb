#include "memorystore.h"

#include <asio/post.hpp>

#include <utility>

namespace crocusdeal::test
{

namespace
{

constexpr duration pollTime{20}; // A watch of this store answers by looking again.
constexpr duration promotionTime{100};

}

memory_store::memory_store(asio::io_context &io, deadline_queue &deadlines)
    : m_io(io)
    , m_deadlines(deadlines)
{
}

template<typename News>
void memory_store::answer(std::function<void(News)> done, News news)
{
    if (isAway) {
        news = {};
        news.failure = store_failure::TurnedAway;
    }
    asio::post(m_io, [done = std::move(done), news = std::move(news)] { done(news); });
}

void memory_store::setConfiguration(const routing_configuration &configuration)
{
    m_configuration = configuration;
    m_configurationRevision = ++m_revision;
}

void memory_store::putTarget(const target_entry &entry)
{
    m_targets[entry.id.str()] = entry;
    m_targetRevision = ++m_revision;
}

void memory_store::removeTarget(const std::string &id)
{
    m_targets.erase(id);
    m_targetRevision = ++m_revision;
}

void memory_store::readConfiguration(store_reading reading, std::function<void(configuration_news)> done)
{
    ++calls[reading == store_reading::Current ? "read" : "probe"];
    configuration_news news;
    news.revision = m_revision;
    if (m_configurationRevision > 0) {
        news.configuration = m_configuration;
    }
    answer(std::move(done), std::move(news));
}

void memory_store::watchConfiguration(std::uint64_t revision,
                                      duration,
                                      store_reading reading,
                                      std::function<void(configuration_news)> done)
{
    if (isWatchSilent && reading == store_reading::Current) {
        return;
    }
    m_deadlines.scheduleAfter(pollTime, [this, revision, done = std::move(done)] {
        configuration_news news;
        news.revision = m_revision;
        if (m_configurationRevision > revision) {
            ++calls["configuration sent"];
            news.configuration = m_configuration;
        }
        answer(done, std::move(news));
    });
}

void memory_store::listTargets(std::function<void(target_news)> done)
{
    ++calls["list"];
    target_news news;
    news.isComplete = true;
    news.revision = m_revision;
    for (const auto &[id, entry] : m_targets) {
        news.entries.push_back(entry);
    }
    answer(std::move(done), std::move(news));
}

void memory_store::watchTargets(std::uint64_t revision, duration, std::function<void(target_news)> done)
{
    m_deadlines.scheduleAfter(pollTime, [this, revision, done = std::move(done)] {
        if (m_targetRevision > revision) {
            listTargets(done);
            return;
        }
        target_news news;
        news.revision = m_revision;
        answer(done, std::move(news));
    });
}

void memory_store::listDuties(std::function<void(duty_list_news)> done)
{
    ++calls["duties"];
    duty_list_news news;
    news.revision = m_revision;
    for (const auto &[service, duty] : duties) {
        news.entries.push_back({service_id(service), duty.holder, duty.revision, duty.purpose});
    }
    answer(std::move(done), std::move(news));
}

void memory_store::watchDuties(std::uint64_t, duration, std::function<void(duty_list_news)> done)
{
    m_deadlines.scheduleAfter(pollTime, [this, done = std::move(done)] { listDuties(done); });
}

void memory_store::claimDuty(const service_id &service,
                             const std::string &holder,
                             promotion_lease_purpose purpose,
                             std::optional<std::uint64_t> replaces,
                             std::function<void(duty_news)> done)
{
    const auto found = duties.find(service.str());
    const bool isFirst = found == duties.end();
    const bool isAllowed = isFirst ? !replaces : replaces == found->second.revision;
    duty_news news;
    ++calls["claim"];
    if (isAway) {
        answer(std::move(done), std::move(news));
        return;
    }
    if (!isAllowed) {
        news = found->second;
        news.failure = store_failure::Conflict;
    } else {
        news.holder = holder;
        news.revision = ++m_revision;
        news.purpose = purpose;
        duties[service.str()] = news;
    }
    answer(std::move(done), std::move(news));
}

void memory_store::announceMember(const fleet_member &member,
                                  std::function<void(store_failure, std::uint64_t revision)> done)
{
    if (!isAway) {
        members[member.id] = member;
    }
    const auto failure = isAway ? store_failure::TurnedAway : store_failure::None;
    asio::post(m_io, [done = std::move(done), failure, revision = ++m_revision] { done(failure, revision); });
}

void memory_store::withdrawMember(const instance_id &id, std::uint64_t)
{
    members.erase(id);
}

void memory_store::listMembers(std::function<void(member_news)> done)
{
    member_news news;
    news.failure = isAway ? store_failure::TurnedAway : store_failure::None;
    for (const auto &[id, member] : members) {
        news.members.push_back(member);
    }
    answer(std::move(done), std::move(news));
}

void memory_store::promote(const service_id &,
                           const target_id &target,
                           const std::string &,
                           std::uint64_t fencingToken,
                           std::function<void(promotion_answer, std::string)> done)
{
    const bool isLate = loseOrders && orderDelay > duration{};
    if (isLate) {
        m_deadlines.scheduleAfter(orderDelay, [this, target, fencingToken] { carryOut(target, fencingToken); });
        asio::post(m_io, [done = std::move(done)] { done(promotion_answer::Unanswered, "late"); });
        return;
    }
    const bool isAccepted = carryOut(target, fencingToken);
    const auto answer = loseOrders ? promotion_answer::Unanswered
        : isAccepted               ? promotion_answer::Accepted
                                   : promotion_answer::Refused;
    asio::post(m_io, [done = std::move(done), answer] { done(answer, "test"); });
}

bool memory_store::carryOut(const target_id &target, std::uint64_t fencingToken)
{
    if (fencingToken < m_highestToken) {
        ++refusedOrders;
        return false;
    }
    m_highestToken = fencingToken;
    orders.push_back({target.str(), fencingToken});
    if (!group->at(target.str()).isPrimary) {
        m_deadlines.scheduleAfter(promotionTime, [this, target] { group->promote(target.str()); });
    }
    return true;
}

}
