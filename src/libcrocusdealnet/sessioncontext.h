#pragma once

#include "batchinfo.h"
#include "callerchannel.h"
#include "dispatch.h"
#include "request.h"
#include "requestbatch.h"
#include "sessionregistry.h"
#include "sessionsettings.h"
#include "sessiontransaction.h"
#include "statementcache.h"
#include "statementmap.h"

#include <asio/io_context.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>

namespace crocusdeal
{

/** What all sessions of an instance share. */
struct session_environment {
    asio::io_context &io;
    /** Shared with each session, which may be dropped after the instance has ended. */
    std::shared_ptr<session_registry> registry;
    statement_cache &statements;
    std::function<void(std::function<void()>)> runBlocking; ///< Runs a call that may block on a thread of its own.
    /** For metrics: the time from the message to the answer. */
    std::function<void(statement_class, std::chrono::microseconds)> onAnswered;
};

enum class session_phase {
    Idle,
    Dispatching, ///< Waiting for a target connection.
    Running, ///< A target works on the batch.
    Confirming, ///< Waiting for the confirmation of a write.
    Closing, ///< The last error is on its way; requests that arrive now are not run.
    Closed,
};

/** What the parts of one session share; used on the session's strand, but for busy. */
struct session_context {
    using session_strand = asio::strand<asio::io_context::executor_type>;

    void setPhase(session_phase value)
    {
        phase = value;
        busy.store(value != session_phase::Idle && value != session_phase::Closed, std::memory_order_relaxed);
    }

    session_environment &environment;
    std::shared_ptr<const service_hooks> service;
    session_strand strand;
    caller_channel caller;
    session_settings settings;
    session_registry::ticket ticket{};
    session_phase phase = session_phase::Idle;
    std::atomic<bool> busy{false}; ///< Whether a request or a transaction is open; read from any thread.
    bool callerGone = false;

    crocusdeal::request request{};
    request_batch batch{};
    batch_info info{};
    statement_map statements{};
    session_transaction transaction{};
    bool awaitingSync = false; ///< A Flush was answered; the Sync of its batch is still to come.
};

}
