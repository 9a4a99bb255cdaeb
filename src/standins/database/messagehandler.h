#pragma once

#include "controlfunctions.h"
#include "server.h"
#include "sessionhost.h"
#include "sqlsession.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusdeal
{

/** Answers the messages of one client after its start-up: simple and extended query protocol. */
class message_handler
{
public:
    message_handler(server &owner,
                    session_host &host,
                    const strand_type &strand,
                    std::int32_t pid,
                    session_parameters parameters);
    ~message_handler();
    message_handler(const message_handler &) = delete;
    message_handler &operator=(const message_handler &) = delete;

    void handle(const pg_frame &frame);
    /** True while a statement runs; the next message must wait for session_host::resume(). */
    bool isBusy() const;
    const std::shared_ptr<sql_session> &session() const;
    /** ReadyForQuery, preceded by group_state if that has changed. */
    void sendReady();

private:
    using done_callback = sql_session::done_callback;

    struct prepared_statement {
        statement_ptr statement;
        std::vector<std::int32_t> types;
    };
    struct portal {
        prepared_statement prepared;
        sql_values values;
        bool executed = false;
        statement_result result;
        std::size_t sentRows = 0;
    };

    void onExtended(const pg_frame &frame);
    void onQuery(std::string_view sql);
    void runScript();
    void onScriptStatement(const sql_error *error, const statement_result &result);
    void endScript(const sql_error *error);
    void onParse(payload_reader &reader);
    void onBind(payload_reader &reader);
    void onDescribe(payload_reader &reader);
    void onExecute(payload_reader &reader);
    void onPortalExecuted(const std::string &name,
                          std::int32_t maxRows,
                          const sql_error *error,
                          statement_result result);
    void sendPortalRows(portal &source, std::int32_t maxRows);
    void onClose(payload_reader &reader);
    void onSync();
    void describe(const parsed_statement &statement);
    portal &findPortal(const std::string &name);
    const prepared_statement &findStatement(const std::string &name) const;

    void run(const statement_ptr &statement, sql_values values, std::vector<std::int32_t> types, done_callback done);
    void runLocal(const parsed_statement &statement, const done_callback &done);
    void deallocate(const std::string &name);
    void sendError(const sql_error &error);
    void sendComplete(const statement_result &result);
    void failExtended(const sql_error &error);
    void applyCommitFault();
    statement_ptr parseSingle(const std::string &sql);

    server &m_server;
    session_host &m_host;
    std::shared_ptr<sql_session> m_session;
    control_functions m_controls;
    bool m_busy = false;
    bool m_inline = false; ///< handle() is on the stack and goes on by itself.
    bool m_skipToSync = false;
    std::uint64_t m_sentStateVersion = 0;
    std::string m_sentState;
    std::vector<statement_ptr> m_script;
    std::size_t m_scriptAt = 0;
    bool m_scriptLoop = false; ///< runScript() is on the stack and goes on by itself.
    std::unordered_map<std::string, prepared_statement> m_statements;
    std::unordered_map<std::string, portal> m_portals;
    std::unordered_map<std::string, statement_ptr> m_parsed; ///< Parsed texts of earlier messages.
};

}
