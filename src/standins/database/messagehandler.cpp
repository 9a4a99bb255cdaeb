#include "messagehandler.h"

#include "rowencoding.h"

#include <algorithm>
#include <utility>

namespace crocusdeal
{

namespace
{

/** Above this the cache of parsed texts is emptied. */
constexpr std::size_t maxParsedTexts = 256;

void writeEmpty(frame_writer &writer, char type)
{
    writer.begin(type).end();
}

}

message_handler::message_handler(server &owner,
                                 session_host &host,
                                 const strand_type &strand,
                                 std::int32_t pid,
                                 session_parameters parameters)
    : m_server(owner)
    , m_host(host)
    , m_session(std::make_shared<sql_session>(owner.data(), owner.settings(), strand, pid))
    , m_controls(owner, host, strand, std::move(parameters))
{
}

message_handler::~message_handler()
{
    m_session->reset();
}

bool message_handler::isBusy() const
{
    return m_busy;
}

const std::shared_ptr<sql_session> &message_handler::session() const
{
    return m_session;
}

void message_handler::handle(const pg_frame &frame)
{
    m_inline = true;
    switch (frame.type) {
    case 'Q':
        m_skipToSync = false;
        onQuery(payload_reader(frame.payload).readString());
        break;
    case 'S':
        onSync();
        break;
    case 'X':
        m_host.closeNow();
        break;
    case 'H':
        break;
    default:
        if (!m_skipToSync) {
            onExtended(frame);
        }
        break;
    }
    m_inline = false;
}

void message_handler::onExtended(const pg_frame &frame)
{
    payload_reader reader(frame.payload);
    try {
        switch (frame.type) {
        case 'P':
            onParse(reader);
            break;
        case 'B':
            onBind(reader);
            break;
        case 'D':
            onDescribe(reader);
            break;
        case 'E':
            onExecute(reader);
            break;
        case 'C':
            onClose(reader);
            break;
        default:
            throw sql_error("08P01", std::string("unsupported message type ") + frame.type);
        }
    } catch (const sql_error &error) {
        failExtended(error);
    }
}

void message_handler::failExtended(const sql_error &error)
{
    m_session->failTransaction();
    sendError(error);
    m_skipToSync = true;
}

statement_ptr message_handler::parseSingle(const std::string &sql)
{
    if (const auto found = m_parsed.find(sql); found != m_parsed.end()) {
        return found->second;
    }
    const auto statements = parseScript(sql);
    if (statements.size() > 1) {
        throw sql_error("42601", "cannot insert multiple commands into a prepared statement");
    }
    auto statement = statements.empty() ? std::make_shared<const parsed_statement>() : statements.front();
    if (m_parsed.size() >= maxParsedTexts) {
        m_parsed.clear();
    }
    m_parsed.emplace(sql, statement);
    return statement;
}

void message_handler::onQuery(std::string_view sql)
{
    m_scriptAt = 0;
    m_script.clear();
    try {
        const auto found = m_parsed.find(std::string(sql));
        if (found != m_parsed.end()) {
            m_script.push_back(found->second);
        } else {
            m_script = parseScript(sql);
        }
    } catch (const sql_error &error) {
        m_session->failTransaction();
        endScript(&error);
        return;
    }
    if (m_script.empty()) {
        writeEmpty(m_host.out(), 'I');
    }
    runScript();
}

void message_handler::runScript()
{
    m_scriptLoop = true;
    while (!m_busy && m_scriptAt < m_script.size()) {
        run(m_script[m_scriptAt], {}, {}, [this](const sql_error *error, const statement_result &result) {
            onScriptStatement(error, result);
        });
    }
    m_scriptLoop = false;
    if (!m_busy) {
        endScript(nullptr);
    }
}

void message_handler::onScriptStatement(const sql_error *error, const statement_result &result)
{
    ++m_scriptAt;
    const bool last = m_scriptAt == m_script.size();
    try {
        if (error != nullptr) {
            throw sql_error(*error);
        }
        // The commit comes before the answer to the last statement, so that a failed commit is its error.
        if (last) {
            m_session->endImplicit();
        }
        m_host.out().raw(result.columns).raw(result.rows);
        sendComplete(result);
    } catch (const sql_error &failure) {
        sendError(failure);
        m_session->failTransaction();
        m_scriptAt = m_script.size();
    }
    if (!m_scriptLoop) {
        runScript();
    }
}

void message_handler::endScript(const sql_error *error)
{
    if (error != nullptr) {
        sendError(*error);
    }
    sendReady();
}

void message_handler::onParse(payload_reader &reader)
{
    const std::string name(reader.readString());
    const std::string sql(reader.readString());
    const auto count = reader.readInt16();
    prepared_statement prepared;
    for (int i = 0; i < count; ++i) {
        prepared.types.push_back(reader.readInt32());
    }
    if (reader.failed()) {
        throw sql_error("08P01", "invalid Parse message");
    }
    if (!name.empty() && m_statements.contains(name)) {
        throw sql_error("42P05", "prepared statement \"" + name + "\" already exists");
    }
    prepared.statement = parseSingle(sql);
    const auto kind = prepared.statement->kind;
    if (kind == statement_kind::Read || kind == statement_kind::Write) {
        m_session->requireUsable();
        m_session->connection().prepare(prepared.statement->sql);
    }
    m_statements[name] = std::move(prepared);
    writeEmpty(m_host.out(), '1');
}

const message_handler::prepared_statement &message_handler::findStatement(const std::string &name) const
{
    const auto found = m_statements.find(name);
    if (found == m_statements.end()) {
        throw sql_error("26000", "prepared statement \"" + name + "\" does not exist");
    }
    return found->second;
}

message_handler::portal &message_handler::findPortal(const std::string &name)
{
    const auto found = m_portals.find(name);
    if (found == m_portals.end()) {
        throw sql_error("34000", "portal \"" + name + "\" does not exist");
    }
    return found->second;
}

void message_handler::onBind(payload_reader &reader)
{
    const std::string name(reader.readString());
    portal bound;
    bound.prepared = findStatement(std::string(reader.readString()));
    bool binary = false;
    for (auto formats = reader.readInt16(); formats > 0; --formats) {
        binary = reader.readInt16() != 0 || binary;
    }
    const auto count = reader.readInt16();
    for (int i = 0; i < count && !reader.failed(); ++i) {
        const auto length = reader.readInt32();
        if (length < 0) {
            bound.values.emplace_back();
        } else {
            bound.values.emplace_back(reader.readBytes(static_cast<std::size_t>(length)));
        }
    }
    for (auto formats = reader.readInt16(); formats > 0; --formats) {
        binary = reader.readInt16() != 0 || binary;
    }
    if (reader.failed() || count != bound.prepared.statement->parameters) {
        throw sql_error("08P01", "bind message supplies a wrong number of parameters");
    }
    if (binary) {
        throw sql_error("0A000", "binary format is not supported");
    }
    m_portals[name] = std::move(bound);
    writeEmpty(m_host.out(), '2');
}

void message_handler::describe(const parsed_statement &statement)
{
    std::string columns;
    if (statement.kind == statement_kind::Read || statement.kind == statement_kind::Write) {
        m_session->requireUsable();
        frame_writer writer;
        writeColumns(writer, m_session->connection().prepare(statement.sql));
        columns = writer.take();
    } else {
        columns = control_functions::columnsOf(statement);
    }
    if (columns.empty()) {
        writeEmpty(m_host.out(), 'n');
    } else {
        m_host.out().raw(columns);
    }
}

void message_handler::onDescribe(payload_reader &reader)
{
    constexpr std::int32_t textOid = 25;
    const char kind = static_cast<char>(reader.readByte());
    const std::string name(reader.readString());
    if (kind == 'P') {
        describe(*findPortal(name).prepared.statement);
        return;
    }
    const auto &prepared = findStatement(name);
    auto &out = m_host.out().begin('t').int16(static_cast<std::int16_t>(prepared.statement->parameters));
    for (int i = 0; i < prepared.statement->parameters; ++i) {
        const auto index = static_cast<std::size_t>(i);
        const auto type = index < prepared.types.size() ? prepared.types[index] : 0;
        out.int32(type == 0 ? textOid : type);
    }
    out.end();
    describe(*prepared.statement);
}

void message_handler::onExecute(payload_reader &reader)
{
    const std::string name(reader.readString());
    const auto maxRows = reader.readInt32();
    auto &source = findPortal(name);
    if (source.prepared.statement->kind == statement_kind::Empty) {
        writeEmpty(m_host.out(), 'I');
        return;
    }
    if (source.executed) {
        sendPortalRows(source, maxRows);
        return;
    }
    source.executed = true;
    const auto statement = source.prepared.statement;
    run(statement,
        source.values,
        source.prepared.types,
        [this, name, maxRows](const sql_error *error, statement_result result) {
            onPortalExecuted(name, maxRows, error, std::move(result));
        });
}

void message_handler::onPortalExecuted(const std::string &name,
                                       std::int32_t maxRows,
                                       const sql_error *error,
                                       statement_result result)
{
    try {
        if (error != nullptr) {
            throw sql_error(*error);
        }
        // As for simple queries: a failed commit becomes the error of the statement where that is possible.
        if (m_host.isSyncNext()) {
            m_session->endImplicit();
        }
        auto &source = findPortal(name);
        source.result = std::move(result);
        sendPortalRows(source, maxRows);
    } catch (const sql_error &failure) {
        failExtended(failure);
    }
}

void message_handler::sendPortalRows(portal &source, std::int32_t maxRows)
{
    const auto &ends = source.result.rowEnds;
    const auto total = ends.size();
    const auto limit = maxRows > 0 ? std::min(total, source.sentRows + static_cast<std::size_t>(maxRows)) : total;
    const auto begin = source.sentRows == 0 ? 0 : ends[source.sentRows - 1];
    const auto end = limit == 0 ? 0 : ends[limit - 1];
    m_host.out().raw(std::string_view(source.result.rows).substr(begin, end - begin));
    const auto sent = limit - source.sentRows;
    source.sentRows = limit;
    if (maxRows > 0 && sent == static_cast<std::size_t>(maxRows)) {
        writeEmpty(m_host.out(), 's');
        return;
    }
    statement_result rest;
    rest.tag = source.result.tag;
    rest.rowEnds.resize(sent);
    sendComplete(rest);
}

void message_handler::onClose(payload_reader &reader)
{
    const char kind = static_cast<char>(reader.readByte());
    const std::string name(reader.readString());
    if (kind == 'S') {
        m_statements.erase(name);
    } else {
        m_portals.erase(name);
    }
    writeEmpty(m_host.out(), '3');
}

void message_handler::onSync()
{
    m_skipToSync = false;
    try {
        m_session->endImplicit();
    } catch (const sql_error &error) {
        sendError(error);
    }
    if (m_session->transactionStatus() == 'I') {
        m_portals.clear();
    }
    sendReady();
}

void message_handler::run(const statement_ptr &statement,
                          sql_values values,
                          std::vector<std::int32_t> types,
                          done_callback done)
{
    m_busy = true;
    const auto finish = [this, keep = m_host.hold(), done = std::move(done)](const sql_error *error,
                                                                             statement_result result) {
        m_busy = false;
        const bool nested = std::exchange(m_inline, true);
        done(error, std::move(result));
        m_inline = nested;
        if (!nested && !m_busy) {
            m_host.resume();
        }
    };
    try {
        switch (statement->kind) {
        case statement_kind::Set:
        case statement_kind::Show:
            m_session->requireUsable();
            m_controls.run(*statement, finish);
            break;
        case statement_kind::GroupControl:
        case statement_kind::StandinControl:
            m_controls.run(*statement, finish);
            break;
        case statement_kind::Empty:
        case statement_kind::Accepted:
        case statement_kind::Discard:
        case statement_kind::Deallocate:
            runLocal(*statement, finish);
            break;
        default:
            m_session->run(statement, std::move(values), std::move(types), finish);
            break;
        }
    } catch (const sql_error &error) {
        finish(&error, {});
    }
}

void message_handler::runLocal(const parsed_statement &statement, const done_callback &done)
{
    if (statement.kind == statement_kind::Discard) {
        m_session->reset();
        m_statements.clear();
        m_portals.clear();
    } else {
        m_session->requireUsable();
    }
    if (statement.kind == statement_kind::Deallocate) {
        deallocate(statement.name);
    }
    statement_result result;
    result.tag = statement.tag;
    done(nullptr, std::move(result));
}

void message_handler::deallocate(const std::string &name)
{
    if (name.empty()) {
        m_statements.clear();
    } else if (m_statements.erase(name) == 0) {
        throw sql_error("26000", "prepared statement \"" + name + "\" does not exist");
    }
}

void message_handler::sendError(const sql_error &error)
{
    writeError(m_host.out(), {"ERROR", error.sqlState(), error.what(), {}, {}});
}

void message_handler::sendComplete(const statement_result &result)
{
    applyCommitFault();
    auto tag = result.tag;
    if (tag == "SELECT") {
        tag += ' ' + std::to_string(result.rowEnds.size());
    }
    writeCommandComplete(m_host.out(), tag);
}

void message_handler::applyCommitFault()
{
    if (!m_session->takeCommitted()) {
        return;
    }
    switch (m_server.faults().takeCommitFault()) {
    case commit_answer_fault::Close:
        m_host.closeNow();
        break;
    case commit_answer_fault::Silence:
        m_host.silence();
        break;
    default:
        break;
    }
}

void message_handler::sendReady()
{
    applyCommitFault();
    const auto version = m_server.data().stateVersion();
    if (version != m_sentStateVersion) {
        m_sentStateVersion = version;
        auto state = m_server.data().stateText();
        if (state != m_sentState) {
            writeParameterStatus(m_host.out(), "group_state", state);
            m_sentState = std::move(state);
        }
    }
    writeReadyForQuery(m_host.out(), m_session->transactionStatus());
}

}
