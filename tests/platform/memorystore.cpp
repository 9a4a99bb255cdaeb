#include "memorystore.h"

#include "systemclock.h"

#include <asio/post.hpp>

#include <utility>

namespace crocusdeal::test
{

namespace
{

constexpr duration pollTime{20}; // A watch of this store answers by looking again.

}

memory_store::memory_store(asio::io_context &io, deadline_queue &deadlines)
    : m_io(io)
    , m_deadlines(deadlines)
{
}

template<typename Update>
void memory_store::answer(std::function<void(Update)> done, Update update)
{
    if (isAway) {
        update = {};
        update.failure = store_failure::TurnedAway;
    }
    asio::post(m_io, [done = std::move(done), update = std::move(update)] { done(update); });
}

void memory_store::setConfiguration(const routing_configuration &configuration)
{
    m_configuration = configuration;
    m_configurationRevision = ++m_revision;
}

void memory_store::putTarget(const target_entry &entry)
{
    m_targetRevision = ++m_revision;
    m_targetChangedAt = systemNow();
    auto &stored = m_targets[entry.id.str()] = entry;
    stored.revision = m_targetRevision;
}

void memory_store::removeTarget(const std::string &id)
{
    m_targets.erase(id);
    m_targetRevision = ++m_revision;
    m_targetChangedAt = systemNow();
}

void memory_store::forgetHistory()
{
    historyFrom = ++m_revision;
}

void memory_store::endConfigurationWatches()
{
    // A watch of this store that is never answered holds nothing.
}

void memory_store::readConfiguration(store_reading reading, std::function<void(configuration_update)> done)
{
    ++calls[reading == store_reading::Current ? "read" : "probe"];
    configuration_update update;
    update.revision = m_revision;
    if (m_configurationRevision > 0) {
        update.configuration = m_configuration;
    }
    answer(std::move(done), std::move(update));
}

void memory_store::watchConfiguration(std::uint64_t revision,
                                      duration,
                                      store_reading reading,
                                      std::function<void(configuration_update)> done)
{
    if (isWatchSilent && reading == store_reading::Current) {
        return;
    }
    m_deadlines.scheduleAfter(pollTime, [this, revision, done = std::move(done)] {
        configuration_update update;
        update.revision = m_revision;
        if (m_configurationRevision > revision) {
            ++calls["configuration sent"];
            update.configuration = m_configuration;
        }
        answer(done, std::move(update));
    });
}

void memory_store::listTargets(std::function<void(target_update)> done)
{
    ++calls["list"];
    target_update update;
    update.isComplete = true;
    update.revision = m_revision;
    for (const auto &[id, entry] : m_targets) {
        update.entries.push_back(entry);
    }
    answer(std::move(done), std::move(update));
}

void memory_store::endTargetWatch()
{
    // As with those of the configuration.
}

void memory_store::watchTargets(std::uint64_t revision,
                                duration,
                                store_reading reading,
                                std::function<void(target_update)> done)
{
    m_deadlines.scheduleAfter(pollTime, [this, revision, reading, done = std::move(done)] {
        const bool isHidden = reading == store_reading::MayBeOld && systemNow() - m_targetChangedAt < staleAge;
        if (m_targetRevision > revision && !isHidden) {
            listTargets(done);
            return;
        }
        target_update update;
        update.revision = isHidden ? revision : m_revision;
        if (reading == store_reading::Current && revision < historyFrom) {
            update.failure = store_failure::HistoryGone;
        }
        answer(done, std::move(update));
    });
}

void memory_store::listPromotionLeases(std::function<void(promotion_lease_list_update)> done)
{
    ++calls["duties"];
    promotion_lease_list_update update;
    update.revision = m_revision;
    for (const auto &[service, lease] : leases) {
        update.entries.push_back(
            {service_id(service), lease.holder, lease.revision, lease.purpose, lease.openSince, lease.targets});
    }
    answer(std::move(done), std::move(update));
}

void memory_store::watchPromotionLeases(std::uint64_t, duration, std::function<void(promotion_lease_list_update)> done)
{
    m_deadlines.scheduleAfter(pollTime, [this, done = std::move(done)] { listPromotionLeases(done); });
}

void memory_store::claimPromotionLease(const service_id &service,
                                       const promotion_lease_claim &claim,
                                       std::optional<std::uint64_t> replaces,
                                       std::function<void(promotion_lease_update)> done)
{
    const auto found = leases.find(service.str());
    const bool isFirst = found == leases.end();
    const bool isAllowed = isFirst ? !replaces : replaces == found->second.revision;
    promotion_lease_update update;
    ++calls["claim"];
    if (isAway) {
        answer(std::move(done), std::move(update));
        return;
    }
    if (!isAllowed) {
        update = found->second;
        update.failure = store_failure::Conflict;
    } else {
        update.holder = claim.holder;
        update.revision = ++m_revision;
        update.purpose = claim.purpose;
        update.openSince = claim.openSince;
        update.targets = claim.targets;
        leases[service.str()] = update;
    }
    answer(std::move(done), std::move(update));
}

void memory_store::claimForAnother(const promotion_lease_claim &claim)
{
    const auto found = leases.find("svc");
    const auto replaces = found == leases.end() ? std::nullopt : std::optional(found->second.revision);
    claimPromotionLease(service_id("svc"), claim, replaces, [](const promotion_lease_update &) {});
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

void memory_store::listMembers(std::function<void(member_update)> done)
{
    member_update update;
    update.failure = isAway ? store_failure::TurnedAway : store_failure::None;
    for (const auto &[id, member] : members) {
        update.members.push_back(member);
    }
    answer(std::move(done), std::move(update));
}

void memory_store::readBudgetHolders(store_reading, std::function<void(budget_holder_update)> done)
{
    ++calls["budget holders"];
    budget_holder_update update;
    update.failure = budgetHolders ? store_failure::None : store_failure::NotFound;
    update.table = budgetHolders.value_or(budget_holder_table{});
    answer(std::move(done), std::move(update));
}

void memory_store::writeBudgetHolders(const budget_holder_table &table,
                                      std::optional<std::uint64_t> replaces,
                                      std::function<void(store_failure)> done)
{
    const std::uint64_t stored = budgetHolders ? budgetHolders->revision : 0;
    const bool isAllowed = !isAway && replaces.value_or(0) == stored;
    if (isAllowed) {
        budgetHolders = table;
        budgetHolders->revision = ++m_revision;
    }
    const auto failure = isAway ? store_failure::TurnedAway : isAllowed ? store_failure::None : store_failure::Conflict;
    asio::post(m_io, [done = std::move(done), failure] { done(failure); });
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
        m_deadlines.scheduleAfter(promotionTime, [this, target] {
            if (!group->at(target.str()).isPrimary) {
                group->promote(target.str());
            }
        });
    }
    return true;
}

}
