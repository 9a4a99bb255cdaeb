#pragma once

#include "metadatastore.h"
#include "promotionwithoutstore.h"
#include "reportedconfiguration.h"
#include "reportedload.h"
#include "statementorder.h"
#include "targetentry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocusdeal
{

/** The first message in both directions. */
struct relay_hello {
    instance_id from;
    std::uint64_t incarnation = 0;
};

struct relay_ping {
    std::uint64_t number = 0;
};

/** Answers a ping at once; its ages count from when this instance had asked. */
struct relay_pong {
    std::uint64_t number = 0;
    bool isLeaving = false; ///< Takes no further work.
    bool isIsolated = false; ///< Reaches too few targets to serve.
    bool isStoreAway = false;
    std::optional<reported_configuration> configuration; ///< Evidence; none if the store was not heard lately.
    std::vector<reported_load> loads; ///< Hints, a few at a time.
};

/** A statement on its own, or the first of a transaction. Its times are given as ages, since clocks differ. */
struct relay_run {
    std::uint64_t number = 0;
    caller_request request;
    effect kind = effect::Read;
    std::optional<prepared_shape> prepared;
    std::optional<statement_kind> opens;
    database_route route;
    workspace_id workspace; ///< As in caller_access.
    std::uint64_t accessDecidedBy = 0;
    std::optional<duration> accessValidFor;
    std::optional<position> ownCommit;
    duration arrivedAgo;
    duration startedAgo;
    std::map<std::string, std::string> values; ///< Of the session.
};

/** A further statement, or the commit, of the transaction that the run of this number has opened. */
struct relay_step {
    std::uint64_t number = 0;
    std::uint64_t transaction = 0;
    caller_request request;
    std::optional<prepared_shape> prepared;
    duration limit;
    std::map<std::string, std::string> values;
};

/** The caller has gone, or the relay has given up. */
struct relay_abandon {
    std::uint64_t number = 0;
};

/** Rolls the transaction back. */
struct relay_rollback {
    std::uint64_t transaction = 0;
};

/** The outcome of a run or step. */
struct relay_answer {
    std::uint64_t number = 0;
    target_reply reply;
    std::optional<error_code> error;
    std::string errorText;
    bool isOpen = false; ///< The transaction goes on.
};

/** The run was not begun and will not be. */
struct relay_not_served {
    std::uint64_t number = 0;
};

/** Asks what the instance knows of a service, after it has asked the primary itself. */
struct service_question {
    std::uint64_t number = 0;
    service_id service;
};

struct service_answer {
    std::uint64_t number = 0;
    instance_knowledge knowledge;
};

/** Asks what the store holds of the promotion leases; it is read after the question has come. */
struct lease_question {
    std::uint64_t number = 0;
};

struct lease_answer {
    std::uint64_t number = 0;
    bool isRead = false; ///< Else the store did not answer the other instance either.
    std::uint64_t revision = 0; ///< Of the store.
    std::vector<promotion_lease_entry> entries;
};

/**
 * The targets of promotion_lease_record, by service; comes before the lease_answer of its number. A kind of its own,
 * since instances of earlier versions leave it out.
 */
struct lease_targets {
    std::uint64_t number = 0;
    std::map<service_id, std::vector<target_id>> targets;
};

/** Asks which targets of the services the store lists, on behalf of an instance that the store does not answer. */
struct target_question {
    std::uint64_t number = 0;
    std::vector<service_id> services;
};

struct target_answer {
    std::uint64_t number = 0;
    bool isCurrent = false; ///< Else the store has not answered the other instance lately either.
    std::uint64_t revision = 0; ///< Of the store.
    std::vector<target_entry> entries; ///< All of these services.
};

/** Asks for a part of the budget of a workspace. */
struct budget_request {
    std::uint64_t number = 0;
    workspace_id workspace;
    double wanted = 0; ///< Operations.
    bool isFromHolder = false; ///< Of another part of the same budget.
};

struct budget_grant {
    std::uint64_t number = 0;
    double granted = 0; ///< Operations; they lapse a fixed time after the request was sent.
    bool isHolder = true; ///< Else the other instance holds no part of this budget.
    duration retryAfter; ///< When more is there, if less was granted than wanted.
};

/** Of a newer version of the product; it is left out. */
struct relay_unknown {
};

using relay_message = std::variant<relay_hello,
                                   relay_ping,
                                   relay_pong,
                                   relay_run,
                                   relay_step,
                                   relay_abandon,
                                   relay_rollback,
                                   relay_answer,
                                   relay_not_served,
                                   service_question,
                                   service_answer,
                                   lease_question,
                                   lease_answer,
                                   budget_request,
                                   budget_grant,
                                   lease_targets,
                                   target_question,
                                   target_answer,
                                   relay_unknown>;

}
