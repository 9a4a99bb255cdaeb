#pragma once

#include "clock.h"
#include "identifiers.h"
#include "pgframe.h"
#include "position.h"
#include "router.h"
#include "statementclassifier.h"
#include "targetconnection.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace crocusdeal
{

/** What a session asks for when a request needs a target connection. */
struct dispatch_request {
    std::uint64_t session = 0; ///< For fairness between callers, for cancelling and for logs.
    statement_class cls = statement_class::Read;
    std::uint64_t fingerprint = 0;
    std::optional<position> token; ///< The session's last write in the group.
    bool historyKnown = false; ///< False: the session may have written through another instance.
    time_point sessionStart; ///< When the session began.
    std::optional<duration> maxStaleness; ///< The data may be this old, but not older than the token.
    time_point deadline; ///< A request that has not started by then is refused.
    std::optional<target_id> avoid; ///< A target on which this request has just failed.
    bool wasPreempted = false; ///< Runs again after a preemption, as long work.
    /** Asks the session to cancel the running read and to dispatch it again; empty for what must not be preempted. Runs
     * on any thread. */
    std::function<void()> preempt;
};

/** Tells the lender of a connection what its borrower does. */
struct lease_hooks {
    std::function<void(std::shared_ptr<target_connection>, bool reusable)> giveBack;
    std::function<void()> pause; ///< No statement runs, the connection is kept.
    std::function<void(std::uint64_t fingerprint)> resume;
    std::function<void(std::uint64_t fingerprint, duration ran)> ran;
    std::function<void(std::uint64_t fingerprint, duration ran)> preempted;
};

/** What happened on a lent connection. */
enum class lease_outcome {
    Reusable, ///< Idle, outside of a transaction, and without session state.
    Broken, ///< To be closed: lost, abandoned, or left with session state.
};

/** A target connection lent to one session; closed unless it is given back as reusable. */
class connection_lease
{
public:
    connection_lease(std::shared_ptr<target_connection> connection, bool isPrimary, lease_hooks hooks);
    ~connection_lease();
    connection_lease(const connection_lease &) = delete;
    connection_lease &operator=(const connection_lease &) = delete;

    target_connection &connection();
    const std::shared_ptr<target_connection> &shared() const;
    bool isPrimary() const;
    void giveBack(lease_outcome outcome);

    /** A statement of an open transaction starts. */
    void beginStatement(std::uint64_t fingerprint);
    /** A statement completed; with @p keeps the connection stays with the session. */
    void endStatement(std::uint64_t fingerprint, duration ran, bool keeps);
    /** The statement was cancelled after @p ran to run again. */
    void endPreempted(std::uint64_t fingerprint, duration ran);

private:
    std::shared_ptr<target_connection> m_connection;
    lease_hooks m_hooks;
    bool m_isPrimary;
    bool m_running = true;
};

/** The answer to a dispatch_request: a lease or a refusal that is true ("not run"). */
struct dispatch_result {
    std::unique_ptr<connection_lease> lease;
    std::uint64_t term = 0; ///< Highest term of the group known when the request was routed.
    pg_error refusal;
    std::optional<position> readIndex; ///< A position that covers the session's history, if it was asked for.
};

enum class confirm_outcome {
    Confirmed,
    Unknown, ///< The write may or may not last.
};

/**
 * What sessions need of the service that they are connected to.
 *
 * The handlers may run on any thread, also before the call returns.
 */
struct service_hooks {
    using dispatch_handler = std::function<void(dispatch_result)>;

    /** Returns a number for cancel. */
    std::function<std::uint64_t(const dispatch_request &, dispatch_handler)> dispatch;
    /** The handler gets a refusal soon if the request has not started. */
    std::function<void(std::uint64_t ticket)> cancel;
    std::function<void(position, std::function<void(confirm_outcome)>)> confirmWrite;
    /** In-band state "<term> <role> <entry term>/<offset>" from an answer to something sent at @p askedAt. */
    std::function<void(const target_id &, std::string_view state, time_point askedAt)> observe;
    std::function<bool(const target_id &)> isTargetAlive;
    /** Whether a read may be tried again now. */
    std::function<bool()> mayRetry;
    /** The staleness that the service's file allows for a statement on these tables. */
    std::function<std::optional<duration>(const statement_info &)> allowedStaleness;
    /** How long a request may wait for its start. */
    std::function<duration()> queueDeadline;
    /** Where a request would go now; nothing is sent. */
    std::function<route(const dispatch_request &)> explain;
    group_id group;
};

}
