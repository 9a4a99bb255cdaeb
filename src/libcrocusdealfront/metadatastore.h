#pragma once

#include "budgetholders.h"
#include "clock.h"
#include "nametable.h"
#include "promotionlease.h"
#include "routingconfiguration.h"
#include "servingplan.h"
#include "targetentry.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

enum class store_failure {
    None,
    Unreachable, ///< The call may have been executed, now or later.
    TurnedAway, ///< Nothing was done.
    Conflict, ///< Another change came first.
    NotFound,
    HistoryGone, ///< The watch has to start from a new list.
    BadAnswer,
};

inline constexpr auto storeFailureNames = makeNameTable<store_failure>("none",
                                                                       "unreachable",
                                                                       "turned_away",
                                                                       "conflict",
                                                                       "not_found",
                                                                       "history_gone",
                                                                       "bad_answer");

/** The latest configuration, or none if there is none or it cannot be read. */
struct configuration_update {
    store_failure failure = store_failure::None;
    std::string detail;
    std::optional<routing_configuration> configuration;
    std::uint64_t revision = 0; ///< Of the store, to watch from.
};

/** An object among the entries of the targets that names none. */
struct ignored_entry {
    std::string name; ///< Empty if it cannot be read.
    std::string reason;

    friend bool operator==(const ignored_entry &, const ignored_entry &) = default;
};

/** A complete list of the targets, or changes since a revision. */
struct target_update {
    store_failure failure = store_failure::None;
    std::string detail;
    bool isComplete = false;
    std::vector<target_entry> entries; ///< Present, or changed.
    std::vector<target_id> removed;
    std::vector<ignored_entry> ignored;
    std::uint64_t revision = 0;
};

/** The answer to a claim: the record as it is now. */
struct promotion_lease_update {
    store_failure failure = store_failure::None;
    std::string detail;
    std::string holder;
    std::uint64_t revision = 0;
    promotion_lease_purpose purpose = promotion_lease_purpose::Promotion;
    std::optional<std::uint64_t> openSince; ///< As in promotion_lease_record.
    std::optional<std::vector<target_id>> targets{}; ///< As in promotion_lease_record.
};

/** Who promotes for which services. */
struct promotion_lease_entry {
    service_id service;
    std::string holder;
    std::uint64_t revision = 0; ///< Of the record.
    promotion_lease_purpose purpose = promotion_lease_purpose::Promotion;
    std::optional<std::uint64_t> openSince; ///< As in promotion_lease_record.
    std::optional<std::vector<target_id>> targets{}; ///< As in promotion_lease_record.
};

/** What a claim writes. */
struct promotion_lease_claim {
    std::string holder;
    promotion_lease_purpose purpose = promotion_lease_purpose::Promotion;
    std::optional<std::uint64_t> openSince = 0; ///< As in promotion_lease_record.
    std::optional<std::vector<target_id>> targets{}; ///< As in promotion_lease_record.
};

/** All records, or those that have changed since a revision. */
struct promotion_lease_list_update {
    store_failure failure = store_failure::None;
    std::string detail;
    std::vector<promotion_lease_entry> entries;
    std::uint64_t revision = 0; ///< Of the store.
};

/** The instances that have announced themselves. */
struct member_update {
    store_failure failure = store_failure::None;
    std::string detail;
    std::vector<fleet_member> members;
    std::vector<ignored_entry> ignored;
};

/** The table of the instances that hold the budgets of workspaces; NotFound if there is none. */
struct budget_holder_update {
    store_failure failure = store_failure::None;
    std::string detail;
    budget_holder_table table;
};

/** How new an answer of the store has to be. */
enum class store_reading {
    Current,
    MayBeOld, ///< By seconds at worst, for a tenth of the cost.
};

/** What the product needs of the store that outlives it. Hooks are called from the loop, once a call. */
class metadata_store
{
public:
    virtual ~metadata_store() = default;

    /** Ends the watches of the configuration that are under way, without an answer. */
    virtual void endConfigurationWatches() = 0;
    virtual void readConfiguration(store_reading reading, std::function<void(configuration_update)> done) = 0;
    /**
     * Waits up to @p wait for a change after @p revision; without one there is no configuration in the answer. There
     * may be one watch of each reading at a time.
     */
    virtual void watchConfiguration(std::uint64_t revision,
                                    duration wait,
                                    store_reading reading,
                                    std::function<void(configuration_update)> done) = 0;
    virtual void listTargets(std::function<void(target_update)> done) = 0;
    /** Ends the watch of the targets that may be old and is under way, without an answer. */
    virtual void endTargetWatch() = 0;
    /** Waits up to @p wait for changes after @p revision. There may be one watch of each reading at a time. */
    virtual void watchTargets(std::uint64_t revision,
                              duration wait,
                              store_reading reading,
                              std::function<void(target_update)> done) = 0;
    virtual void listPromotionLeases(std::function<void(promotion_lease_list_update)> done) = 0;
    /** May tell of a change seconds late; a claim finds out in any case. */
    virtual void watchPromotionLeases(std::uint64_t revision,
                                      duration wait,
                                      std::function<void(promotion_lease_list_update)> done) = 0;
    /** Creates the record, or replaces it if its revision is still @p replaces. */
    virtual void claimPromotionLease(const service_id &service,
                                     const promotion_lease_claim &claim,
                                     std::optional<std::uint64_t> replaces,
                                     std::function<void(promotion_lease_update)> done) = 0;
    /** Creates or replaces the entry of an instance; tells the revision of the entry. */
    virtual void announceMember(const fleet_member &member,
                                std::function<void(store_failure, std::uint64_t revision)> done) = 0;
    /** Removes the entry if its revision is still the given one. */
    virtual void withdrawMember(const instance_id &id, std::uint64_t revision) = 0;
    /** May be seconds old. */
    virtual void listMembers(std::function<void(member_update)> done) = 0;
    virtual void readBudgetHolders(store_reading reading, std::function<void(budget_holder_update)> done) = 0;
    /**
     * Creates the table, or replaces it if its revision is still @p replaces. Without an answer it may have been done,
     * so that the table has to be read after it in any case.
     */
    virtual void writeBudgetHolders(const budget_holder_table &table,
                                    std::optional<std::uint64_t> replaces,
                                    std::function<void(store_failure)> done) = 0;
};

enum class promotion_answer {
    Accepted,
    Refused, ///< The fencing token is too low, or the target cannot take over.
    TurnedAway, ///< Nothing was done; may be repeated.
    Unanswered, ///< May be carried out, now or later.
};

inline constexpr auto promotionAnswerNames =
    makeNameTable<promotion_answer>("accepted", "refused", "turned_away", "unanswered");

/** Who carries out changes of a primary. */
class promotion_authority
{
public:
    virtual ~promotion_authority() = default;

    virtual void promote(const service_id &service,
                         const target_id &target,
                         const std::string &holder,
                         std::uint64_t fencingToken,
                         std::function<void(promotion_answer, std::string detail)> done) = 0;
};

}
