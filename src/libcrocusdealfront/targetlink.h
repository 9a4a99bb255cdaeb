#pragma once

#include "bytestream.h"
#include "deadlinequeue.h"
#include "sessionvalues.h"
#include "wireprotocol.h"
#include "workspaceid.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** The whole answer of a target to one statement. */
struct target_reply {
    bool isLost = false; ///< The connection ended first; the statement may have run.
    std::string reason; ///< Of the loss.
    std::vector<std::string> rows;
    std::optional<std::string> signature; ///< Of a success.
    std::optional<error_code> error;
    std::string errorText;
    transaction_state state = transaction_state::Idle;
    std::optional<position> at; ///< Of the target's log after the statement.
    time_point sentAt = never;

    bool isSuccess() const
    {
        return !isLost && !error && signature.has_value();
    }
};

/** How the opening of a connection ended. */
struct link_opening {
    bool isOpen = false;
    std::optional<error_code> refusal; ///< The target's own; without one the target was not reached.
    bool isNobodyListening = false;
    std::string reason;
};

/** One connection to a target. Statements are answered in the order in which they are sent. */
class target_link : public std::enable_shared_from_this<target_link>
{
public:
    target_link(asio::io_context &io, deadline_queue &deadlines, const target_protocol &protocol);

    /** Opens it on behalf of the workspace @p owner, or of none. */
    void open(const host_port &address,
              const std::string &service,
              const workspace_id &owner,
              const std::string &expectedTarget,
              std::function<void(const link_opening &)> done);
    /** Sends one encoded statement. @p done is called once, also if the connection ends. */
    void send(std::string_view encoded, std::function<void(target_reply)> done);
    /** Ends the connection; what is pending is told as lost. */
    void close(const std::string &reason);

    bool isOpen() const;
    /** Whether it may be given to another session. */
    bool isIdle() const;
    /** When the oldest statement that is not answered was sent; never without one. */
    time_point oldestPendingAt() const;

    connection_values values;
    workspace_id workspace; ///< On whose behalf it may be used; empty if on behalf of none.
    /** The connection has ended. */
    std::function<void()> onEnded;
    time_point idleSince = never;
    time_point openedAt = never; ///< When the target answered to its start-up.
    position lastPosition; ///< Of the target's log, as the last answer told.
    /** Of the last answer; a connection that stays silent under a statement may be dead without a reset. */
    time_point lastAnswerAt = never;

private:
    struct pending_reply {
        std::function<void(target_reply)> done;
        time_point sentAt;
    };

    void handleMessages(std::string &inbound);
    void handleMessage(const target_message &message);
    void finishReply();
    void finishOpening(const link_opening &opening);
    void end(const std::string &reason);

    deadline_queue &m_deadlines;
    const target_protocol &m_protocol;
    std::shared_ptr<byte_stream> m_stream;
    std::function<void(const link_opening &)> m_opening;
    deadline_queue::handle m_openingLimit = 0;
    std::deque<pending_reply> m_pending;
    target_reply m_reply;
    bool m_isEnded = false;
};

}
