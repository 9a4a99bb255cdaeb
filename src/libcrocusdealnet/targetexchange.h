#pragma once

#include "callerchannel.h"
#include "dispatch.h"
#include "requestbatch.h"
#include "responserelay.h"
#include "statementmap.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <functional>
#include <memory>
#include <string>

namespace crocusdeal
{

/** What the exchange tells its session; all run on the session's strand. */
struct exchange_hooks {
    std::function<void()> onAnswered; ///< ReadyForQuery came.
    std::function<void()> onFlushAnswered; ///< Everything up to a Flush that ends the batch was answered.
    std::function<void()> onHeldTooMuch; ///< More output than is held after setHoldOutput().
    std::function<void()> onLost; ///< The connection failed, or its target is known to be dead.
};

/** How a batch is sent. */
struct exchange_mode {
    bool holdCompletion = false; ///< The end of the answer waits for the confirmation of a commit.
    bool pinned = false; ///< The session owns the connection.
    bool continues = false; ///< The batch goes on after a Flush.
};

/**
 * The target connection lent to a session, and the exchange of one batch at a time on it.
 *
 * Belongs to a session; the handlers of its pending operations keep the session alive. All functions run on the
 * session's strand.
 */
class target_exchange
{
public:
    using strand = asio::strand<asio::io_context::executor_type>;
    using blocking_runner = std::function<void(std::function<void()>)>;

    target_exchange(std::shared_ptr<const service_hooks> service,
                    strand executor,
                    asio::io_context &io,
                    blocking_runner runBlocking,
                    caller_channel &caller);

    void start(std::weak_ptr<void> session, exchange_hooks hooks);

    void takeLease(std::unique_ptr<connection_lease> lease);
    bool hasLease() const;
    connection_lease &lease();
    void returnLease(lease_outcome outcome);

    void send(const request_batch &batch, const statement_map &statements, const exchange_mode &mode);
    response_relay &relay();
    time_point sentAt() const;

    /** Starts the check that the target lives, for an operation that starts now. */
    void watch();
    void stopWatching();
    /** Sends a cancellation for the running statement; the target connection is closed afterwards. */
    void cancelStatement();
    /** Whether to keep the answer to the present batch back until its end, so that the request can still be repeated.
     */
    void setHoldOutput(bool hold);

private:
    bool holds(const std::shared_ptr<target_connection> &connection) const;
    void onSent(std::error_code error);
    void read();
    void onRead(std::error_code error, std::size_t bytes);
    void consume();
    void checkTarget();

    std::shared_ptr<const service_hooks> m_service;
    strand m_strand;
    asio::steady_timer m_watchTimer;
    blocking_runner m_runBlocking;
    caller_channel &m_caller;
    std::weak_ptr<void> m_session;
    exchange_hooks m_hooks;

    std::unique_ptr<connection_lease> m_lease;
    response_relay m_relay;
    relay_hooks m_relayHooks;
    std::string m_toTarget;
    time_point m_sentAt;
    bool m_endsWithSync = false;
    bool m_watching = false;
    bool m_holdOutput = false;
    bool m_cancelSent = false; ///< To the database, on the present lease.
};

}
