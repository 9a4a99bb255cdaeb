#pragma once

#include "deadlinequeue.h"
#include "linedatabase.h"
#include "metadatastore.h"

#include <map>
#include <string>
#include <vector>

namespace crocusdeal::test
{

/** A metadata store and a promotion authority in memory. Answers come in a later turn of the loop. */
class memory_store : public metadata_store, public promotion_authority
{
public:
    memory_store(asio::io_context &io, deadline_queue &deadlines);

    void setConfiguration(const routing_configuration &configuration);
    void putTarget(const target_entry &entry);
    void removeTarget(const std::string &id);
    /** Forgets the history of all that was changed until now. */
    void forgetHistory();
    /** Puts the claim of another instance on the lease of "svc", over whatever is there. */
    void claimForAnother(const promotion_lease_claim &claim);

    bool isAway = false; ///< Turns every call away.
    std::uint64_t historyFrom = 0; ///< Current watches of targets from before this revision have no history.
    duration staleAge{0}; ///< Watches of targets that may be old tell of a change so much later.
    bool isWatchSilent = false; ///< Current watches of the configuration hear nothing and do not end.
    std::map<std::string, int> calls; ///< By name, answered or not.
    bool loseOrders = false; ///< Orders are carried out and not answered.
    duration orderDelay{0}; ///< Orders that are not answered reach the authority so much later.
    duration promotionTime{100}; ///< From an accepted order until its target leads.
    std::map<std::string, promotion_lease_update> leases;
    struct order {
        std::string target;
        std::uint64_t token = 0;
    };
    std::vector<order> orders; ///< Accepted ones.
    int refusedOrders = 0;
    line_database_group *group = nullptr;

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
    std::map<instance_id, fleet_member> members;
    std::optional<budget_holder_table> budgetHolders;
    void promote(const service_id &service,
                 const target_id &target,
                 const std::string &holder,
                 std::uint64_t fencingToken,
                 std::function<void(promotion_answer, std::string)> done) override;

private:
    /** False if the token is lower than one that was seen. */
    bool carryOut(const target_id &target, std::uint64_t fencingToken);

    template<typename Update>
    void answer(std::function<void(Update)> done, Update update);

    asio::io_context &m_io;
    deadline_queue &m_deadlines;
    std::uint64_t m_revision = 1;
    routing_configuration m_configuration;
    std::uint64_t m_configurationRevision = 0;
    std::map<std::string, target_entry> m_targets;
    std::uint64_t m_targetRevision = 0;
    time_point m_targetChangedAt = never;
    std::uint64_t m_highestToken = 0;
};

}
