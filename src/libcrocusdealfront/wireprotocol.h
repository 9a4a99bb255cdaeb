#pragma once

#include "errorcode.h"
#include "position.h"
#include "replicationreport.h"
#include "statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace crocusdeal
{

/** State of a session between statements. */
enum class transaction_state {
    Idle,
    Open,
    Failed, ///< The transaction can only be ended, which rolls it back.
};

inline constexpr auto transactionStateNames = makeNameTable<transaction_state>("idle", "open", "failed");

struct session_startup {
    std::string database;
    std::string key; ///< Of the caller; empty without one. Not to be kept or logged.
};
struct caller_request {
    std::string id;
    statement what;
};
struct caller_goodbye {
};
using caller_message = std::variant<session_startup, caller_request, caller_goodbye>;

enum class decode_status {
    Incomplete, ///< More bytes are needed.
    Decoded,
    Malformed, ///< The message was skipped and the next may be read.
    TooLarge, ///< The stream cannot be read any further.
};

/** The protocol that callers speak; one object serves all connections. */
class caller_protocol
{
public:
    virtual ~caller_protocol() = default;

    /** Reads one message from @p bytes and tells in @p used how many of them belong to it. */
    virtual decode_status decode(std::string_view bytes, std::size_t &used, caller_message &message) const = 0;
    virtual void addRow(std::string &out, std::string_view row) const = 0;
    virtual void addComplete(std::string &out, std::string_view signature) const = 0;
    virtual void addError(std::string &out, error_code code, std::string_view text) const = 0;
    virtual void addReady(std::string &out, transaction_state state, std::optional<position> at) const = 0;
    /** The signature of an answer that no target has given. */
    virtual std::string_view ownSignature() const = 0;
};

struct target_row {
    std::string_view text;
};
struct target_complete {
    std::string_view signature;
};
struct target_error {
    error_code code = error_code::Other;
    std::string_view text;
};
struct target_ready {
    transaction_state state = transaction_state::Idle;
    std::optional<position> at;
};
using target_message = std::variant<target_row, target_complete, target_error, target_ready>;

/** Statements that the product gives to a target on its own account. */
enum class control_statement {
    Begin,
    BeginRead,
    Rollback,
    Discard,
    Status,
    Pause,
    Resume,
    StepDown,
};

/** The protocol that targets speak; one object serves all connections. */
class target_protocol
{
public:
    virtual ~target_protocol() = default;

    /** Whether @p text can be part of a message without ending it; one of a caller always can. */
    virtual bool canCarry(std::string_view text) const = 0;
    /** @p workspace is on whose behalf the connection is used; empty for the product's own. */
    virtual void addStartup(std::string &out,
                            std::string_view service,
                            std::string_view workspace,
                            std::string_view expectedTarget) const = 0;
    /** A statement of a caller; @p after makes the target refuse it if its log lacks that position. */
    virtual void addStatement(std::string &out,
                              std::string_view id,
                              std::optional<position> after,
                              std::string_view text) const = 0;
    /** The execution of a statement that was prepared under @p name. */
    virtual void addExecute(std::string &out,
                            std::string_view id,
                            std::optional<position> after,
                            std::string_view name,
                            std::string_view argument) const = 0;
    virtual void addControl(std::string &out,
                            control_statement what,
                            std::optional<position> after = std::nullopt,
                            std::uint64_t term = 0) const = 0;
    virtual void addSet(std::string &out, std::string_view name, std::string_view value) const = 0;
    virtual void addPrepare(std::string &out, std::string_view name, effect kind, std::string_view shape) const = 0;

    /** Reads one message; its texts point into @p bytes. */
    virtual decode_status decode(std::string_view bytes, std::size_t &used, target_message &message) const = 0;
    /** Reads the row that answers Status, Pause, Resume and StepDown. */
    virtual std::optional<replication_report> decodeReport(std::string_view row) const = 0;
};

}
