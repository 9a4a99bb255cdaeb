#include "storeview.h"

#include <utility>

namespace crocusdeal::test
{

namespace
{

constexpr duration callLimit{1000};

}

store_view::store_view(metadata_store &store, deadline_queue &deadlines)
    : m_store(store)
    , m_deadlines(deadlines)
{
}

template<typename Update>
std::function<void(Update)> store_view::judged(std::function<void(Update)> done)
{
    return [this, done = std::move(done)](Update update) {
        if (isSilent) {
            m_deadlines.scheduleAfter(callLimit, [done] {
                Update lost;
                lost.failure = store_failure::Unreachable;
                done(lost);
            });
            return;
        }
        if (isAway) {
            update = {};
            update.failure = store_failure::TurnedAway;
        }
        done(std::move(update));
    };
}

void store_view::endConfigurationWatches()
{
    m_store.endConfigurationWatches();
}

void store_view::readConfiguration(store_reading reading, std::function<void(configuration_update)> done)
{
    m_store.readConfiguration(reading, judged(std::move(done)));
}

void store_view::watchConfiguration(std::uint64_t revision,
                                    duration wait,
                                    store_reading reading,
                                    std::function<void(configuration_update)> done)
{
    m_store.watchConfiguration(revision, wait, reading, judged(std::move(done)));
}

void store_view::listTargets(std::function<void(target_update)> done)
{
    m_store.listTargets(judged(std::move(done)));
}

void store_view::endTargetWatch()
{
    m_store.endTargetWatch();
}

void store_view::watchTargets(std::uint64_t revision,
                              duration wait,
                              store_reading reading,
                              std::function<void(target_update)> done)
{
    m_store.watchTargets(revision, wait, reading, judged(std::move(done)));
}

void store_view::listPromotionLeases(std::function<void(promotion_lease_list_update)> done)
{
    ++calls["leases"];
    m_store.listPromotionLeases([this, done = judged(std::move(done))](const promotion_lease_list_update &update) {
        m_deadlines.scheduleAfter(answerDelay, [done, update] { done(update); });
    });
}

void store_view::watchPromotionLeases(std::uint64_t revision,
                                      duration wait,
                                      std::function<void(promotion_lease_list_update)> done)
{
    m_store.watchPromotionLeases(revision, wait, judged(std::move(done)));
}

void store_view::claimPromotionLease(const service_id &service,
                                     const promotion_lease_claim &claim,
                                     std::optional<std::uint64_t> replaces,
                                     std::function<void(promotion_lease_update)> done)
{
    if (isAway || isSilent) {
        judged(std::move(done))({});
        return;
    }
    m_store.claimPromotionLease(service, claim, replaces, std::move(done));
}

void store_view::announceMember(const fleet_member &member,
                                std::function<void(store_failure, std::uint64_t revision)> done)
{
    if (isAway || isSilent) {
        m_deadlines.scheduleAfter({}, [done = std::move(done)] { done(store_failure::TurnedAway, 0); });
        return;
    }
    m_store.announceMember(member, std::move(done));
}

void store_view::withdrawMember(const instance_id &id, std::uint64_t revision)
{
    m_store.withdrawMember(id, revision);
}

void store_view::listMembers(std::function<void(member_update)> done)
{
    m_store.listMembers(judged(std::move(done)));
}

void store_view::readBudgetHolders(store_reading reading, std::function<void(budget_holder_update)> done)
{
    m_store.readBudgetHolders(reading, judged(std::move(done)));
}

void store_view::writeBudgetHolders(const budget_holder_table &table,
                                    std::optional<std::uint64_t> replaces,
                                    std::function<void(store_failure)> done)
{
    if (isAway) {
        done(store_failure::Unreachable);
        return;
    }
    m_store.writeBudgetHolders(table, replaces, std::move(done));
}

}
