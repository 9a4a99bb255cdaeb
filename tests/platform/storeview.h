#pragma once

#include "deadlinequeue.h"
#include "metadatastore.h"

#include <map>
#include <string>

namespace crocusdeal::test
{

/** A store as one instance reaches it, while other instances may reach the same store otherwise. */
class store_view : public metadata_store
{
public:
    store_view(metadata_store &store, deadline_queue &deadlines);

    bool isAway = false; ///< Turns every call away, also those that are under way.
    bool isSilent = false; ///< Calls are answered by their time limit only.
    duration answerDelay{0}; ///< Of the leases.
    std::map<std::string, int> calls; ///< By name, answered or not.

    void endConfigurationWatches() override;
    void readConfiguration(store_reading reading, std::function<void(configuration_update)> done) override;
    void watchConfiguration(std::uint64_t revision,
                            duration wait,
                            store_reading reading,
                            std::function<void(configuration_update)> done) override;
    void listTargets(std::function<void(target_update)> done) override;
    void endTargetWatch() override;
    void watchTargets(std::uint64_t revision,
                      duration wait,
                      store_reading reading,
                      std::function<void(target_update)> done) override;
    void listPromotionLeases(std::function<void(promotion_lease_list_update)> done) override;
    void watchPromotionLeases(std::uint64_t revision,
                              duration wait,
                              std::function<void(promotion_lease_list_update)> done) override;
    void claimPromotionLease(const service_id &service,
                             const promotion_lease_claim &claim,
                             std::optional<std::uint64_t> replaces,
                             std::function<void(promotion_lease_update)> done) override;
    void announceMember(const fleet_member &member,
                        std::function<void(store_failure, std::uint64_t revision)> done) override;
    void withdrawMember(const instance_id &id, std::uint64_t revision) override;
    void listMembers(std::function<void(member_update)> done) override;
    void readBudgetHolders(store_reading reading, std::function<void(budget_holder_update)> done) override;
    void writeBudgetHolders(const budget_holder_table &table,
                            std::optional<std::uint64_t> replaces,
                            std::function<void(store_failure)> done) override;

private:
    template<typename Update>
    std::function<void(Update)> judged(std::function<void(Update)> done);

    metadata_store &m_store;
    deadline_queue &m_deadlines;
};

}
