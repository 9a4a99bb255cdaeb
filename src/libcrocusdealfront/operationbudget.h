#pragma once

#include "budgetdemand.h"
#include "budgetholding.h"
#include "metadatastore.h"
#include "relayhub.h"
#include "relaymessages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace crocusdeal
{

/** What an operation_budget needs of the daemon. */
struct budget_surroundings {
    fleet_member self;
    rate_limit_bound bound;
    std::shared_ptr<relay_hub> relays; ///< Null if this instance serves its callers alone.
};

/**
 * Keeps the limits of workspaces together with the other instances: asks the holders of budgets before operations
 * begin, and answers for the budgets that this instance holds. Does nothing while no workspace has a limit.
 */
class operation_budget : public std::enable_shared_from_this<operation_budget>
{
public:
    operation_budget(front_context &context, metadata_store &store, budget_surroundings surroundings);

    void setConfiguration(const routing_configuration &configuration);
    void setMembers(const std::vector<fleet_member> &members);

    /** Tells at once or within 250 ms whether an operation of the workspace may begin. */
    void admit(const workspace_id &workspace, admission_handler done);
    /** An admitted operation, whose budget lapses at @p lapsesAt, was not run. */
    void refund(const workspace_id &workspace, time_point lapsesAt);
    /** Answers another instance. */
    void serve(const budget_request &request, std::function<void(const budget_grant &)> done);
    /** To be called every 100 ms. */
    void tick(time_point now);
    /** False while the holders are not known after a start, and when none has answered for 2 s. */
    bool isReady(time_point now) const;
    void stop();

private:
    struct question; ///< For a part of a budget; under way.
    using answer_handler = std::function<void(const std::optional<budget_grant> &)>;

    /** Of one workspace since it was last told. */
    struct usage {
        std::int64_t admitted = 0;
        std::int64_t refused = 0;
        bool isShort = false; ///< A holder gave less than was asked for.
    };

    budget_demand &demandOf(const workspace_id &workspace);
    void ask(const workspace_id &workspace, double wanted, time_point askedAt);
    void askNext(const std::shared_ptr<question> &asked);
    void takeAnswer(const std::shared_ptr<question> &asked, const std::optional<budget_grant> &grant);
    void giveUp(const std::shared_ptr<question> &asked);
    /** Sends a request over a link, or hands it to this instance itself; false if the holder cannot be asked now. */
    bool send(const instance_id &holder, const budget_request &request, const answer_handler &done);
    void askOthers(const workspace_id &workspace, double wanted);
    void askNextOther(const std::shared_ptr<question> &asked);
    void answerOthers(const workspace_id &workspace, double gathered);

    void watchTable(time_point now);
    void readTable(time_point now);
    void handleTable(const budget_holder_update &update, time_point askedAt);
    void writeTable(const budget_holder_names &names);
    bool isHolderName() const;
    void keepLinks();
    void noteAnswer();
    void noteSilence(const workspace_id &workspace);
    /** Tells of the workspaces that have used up their limit what this instance used. */
    void tellUsage();
    void probeHolders(time_point now);
    void count(const char *side, const char *what, double operations);

    front_context &m_context;
    metadata_store &m_store;
    budget_surroundings m_surroundings;
    std::map<workspace_id, budget_terms> m_terms; ///< Of workspaces with a limit.
    std::map<workspace_id, budget_demand> m_demands;
    std::map<workspace_id, usage> m_usage;
    budget_holding m_holding;
    budget_table_plan m_plan;
    std::vector<fleet_member> m_members;
    bool m_areMembersKnown = false;
    std::map<instance_id, time_point> m_avoidUntil; ///< Holders that did not answer.
    std::size_t m_turn = 0; ///< Of the other data centres.
    time_point m_limitedSince = never; ///< When the first limit came.
    time_point m_nextReadAt = never;
    time_point m_heldAt = never;
    time_point m_plannedAt = never;
    time_point m_silentSince = never; ///< No holder has answered, though asked.
    time_point m_probedAt = never;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isSilenceTold = false;
    bool m_isStopped = false;
};

}
