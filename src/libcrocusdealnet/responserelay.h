#pragma once

#include "pgframe.h"
#include "statementmap.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace crocusdeal
{

struct relay_hooks {
    std::function<void(std::string_view value)> onGroupState; ///< Parameter status "group_state".
    std::function<void(const std::string &name)> onPrepared; ///< A statement that the connection now holds.
};

/**
 * Turns the messages of a target into the answer for a caller.
 *
 * Answers to injected messages are left out, answers made here are put in at their place. ReadyForQuery is not
 * forwarded; the session writes it after what it adds itself.
 */
class response_relay
{
public:
    enum class progress {
        More, ///< The target has not answered everything yet.
        Done, ///< ReadyForQuery came.
        Flushed, ///< Everything up to a Flush was answered.
        Broken, ///< The target sent something that the protocol does not allow here.
    };

    /** Starts a simple query; with @p holdCompletion everything from the first CommandComplete on goes to held(). */
    void beginSimple(bool holdCompletion);
    void beginExtended(translated_batch &batch, bool holdCompletion);
    /** Later messages of the same extended batch, after a Flush. */
    void extend(translated_batch &batch, bool holdCompletion);

    /** Consumes what @p from holds and appends what the caller gets to @p out. */
    progress consume(frame_reader &from, std::string &out, const relay_hooks &hooks);

    /** Forwards parameter changes and notifications; only right while the session owns the connection. */
    void setPinned(bool pinned);

    /** Status of the ReadyForQuery: 'I', 'T' or 'E'. */
    char transactionStatus() const;
    /** The first error of this batch. */
    const std::optional<pg_error> &error() const;
    bool hasRows() const;
    /** Whether a part of a large row was passed on without its end. */
    bool isMidRow() const;
    std::string takeHeld();
    bool isHolding() const;

private:
    progress frame(const pg_frame &frame, std::string &out, const relay_hooks &hooks);
    progress errorFrame(const pg_frame &frame, std::string &out);
    void parseComplete(const pg_frame &frame, std::string &out, const relay_hooks &hooks);
    void parameter(const pg_frame &frame, std::string &out, const relay_hooks &hooks);
    void answered(expected_reply reply);
    void writeLocalReplies(std::string &out);
    std::string &sink(std::string &out);
    bool passLargeRow(frame_reader &from, std::string &out);

    std::deque<expected_reply> m_replies;
    std::deque<std::string> m_newNames;
    std::string m_held;
    std::optional<pg_error> m_error;
    std::size_t m_rowBytesLeft = 0;
    char m_status = 'I';
    bool m_simple = false;
    bool m_holdCompletion = false;
    bool m_holding = false;
    bool m_hasRows = false;
    bool m_pinned = false;
};

}
