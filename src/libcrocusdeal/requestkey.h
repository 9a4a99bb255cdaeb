#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace crocusdeal
{

/** Keys are at most this long, so that they fit into an index entry. */
inline constexpr std::size_t maxRequestKeyBytes = 256;

/** Longer outcomes are stored as their command tag only. */
inline constexpr std::size_t maxOutcomeBytes = 65536;

/** The answer to a request, as kept in the table crocusdeal_requests. */
struct request_outcome {
    std::string frames; ///< The answer's frames without ReadyForQuery; empty if they were too long.
    std::string commandTag;

    friend bool operator==(const request_outcome &, const request_outcome &) = default;
};

/** The text form of @p outcome for the table: base64 of the frames up to maxOutcomeBytes, else the command tag only. */
std::string encodeOutcome(const request_outcome &outcome);

/** Reads the text form; nothing if @p text is anything else. */
std::optional<request_outcome> decodeOutcome(std::string_view text);

/** Whether @p key may be used: not empty, not too long, printable ASCII. */
bool isValidRequestKey(std::string_view key);

/**
 * The statements that wrap a keyed request in one transaction. The key is inserted before the request runs: a
 * concurrent repeat waits at the unique index until the first run has ended, and the outcome commits with the effect or
 * not at all.
 */
namespace request_key_statements
{

/** Creates the table; an operator or the first keyed request of a service runs it. */
inline constexpr std::string_view createTable =
    "CREATE TABLE IF NOT EXISTS crocusdeal_requests (request_key text PRIMARY KEY, outcome text)";
inline constexpr std::string_view begin = "BEGIN";
inline constexpr std::string_view commit = "COMMIT";
inline constexpr std::string_view rollback = "ROLLBACK";

/** Claims the key within the transaction; inserts no row if it exists, after waiting for its transaction to end. */
std::string claim(std::string_view key);

/** Stores the outcome before the commit. */
std::string store(std::string_view key, const request_outcome &outcome);

/** Reads the outcome of an earlier run, on the primary. */
std::string find(std::string_view key);

/** Writes the row again as it is, so that the outcome can be confirmed by an entry of the present term. */
std::string rewrite(std::string_view key);

}

/** What has to be done next for a keyed request. */
enum class key_step {
    Claim, ///< Send BEGIN and the claim, on a new connection if the last one failed.
    Run, ///< Send the caller's statement within the transaction.
    Store, ///< Send the outcome within the transaction.
    Commit,
    Find, ///< Roll back, then read the outcome on the same primary.
    AnswerOutcome, ///< Answer with outcome().
    AnswerError, ///< Roll back and pass the database's error on. The key is free again.
    AnswerNotRun, ///< 57P03
    AnswerUnknown, ///< 08007; the caller may repeat the request with the same key.
};

/**
 * Decides the next step of one keyed request, so that its effect happens at most once through any instance.
 *
 * After a lost connection the request starts again with the claim, on the primary of the moment: if the earlier run has
 * committed, the claim finds its key; if it still runs, the claim waits for it; else its effect is rolled back. The
 * write confirmation (5.3) applies to the commit and to an outcome that was looked up, before either is answered.
 */
class request_key
{
public:
    key_step step() const
    {
        return m_step;
    }

    /** The outcome to answer with or to store. */
    const request_outcome &outcome() const
    {
        return m_outcome;
    }

    /** The claim succeeded: @p inserted tells whether the key was new. */
    key_step onClaimed(bool inserted);

    /** The caller's statement succeeded. */
    key_step onRun(request_outcome outcome);

    /** The outcome was stored. */
    key_step onStored();

    /** The commit was answered and confirmed. */
    key_step onCommitted();

    /** The outcome was looked up: @p text is the column, nothing if there is no such row. */
    key_step onFound(const std::optional<std::string> &text);

    /** The database refused the present statement with @p sqlState. @p mayRetry as for onConnectionLost(). */
    key_step onError(std::string_view sqlState, bool mayRetry);

    /** The target connection failed, or a confirmation did not come. @p mayRetry: the retry budget and the deadline
     * allow another attempt. */
    key_step onConnectionLost(bool mayRetry);

private:
    key_step m_step = key_step::Claim;
    request_outcome m_outcome;
    bool m_statementSent = false; ///< In any attempt.
    int m_attempts = 1;
};

}
