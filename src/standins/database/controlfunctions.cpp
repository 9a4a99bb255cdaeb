#include "controlfunctions.h"

#include <asio/post.hpp>

#include <charconv>
#include <chrono>
#include <stdexcept>

namespace crocusdeal
{

namespace
{

constexpr std::int32_t int4Oid = 23;
constexpr std::int32_t textOid = 25;
constexpr std::int32_t boolOid = 16;

struct column {
    std::string_view name;
    std::int32_t type;
    std::int16_t size;
};

constexpr column grantedColumn{"granted", boolOid, 1};
constexpr column statusColumns[] = {
    {"term", int4Oid, 4},
    {"role", textOid, -1},
    {"position", textOid, -1},
    {"connections", int4Oid, 4},
    {"max_connections", int4Oid, 4},
    {"following", textOid, -1},
};

void writeColumn(frame_writer &writer, const column &c)
{
    constexpr std::int32_t noModifier = -1;
    writer.string(c.name).int32(0).int16(0).int32(c.type).int16(c.size).int32(noModifier).int16(0);
}

bool returnsGranted(const std::string &function)
{
    return function == "group_fence" || function == "group_promote" || function == "group_follow";
}

std::string groupColumns(bool granted)
{
    frame_writer writer;
    writer.begin('T').int16(static_cast<std::int16_t>(std::size(statusColumns) + (granted ? 1 : 0)));
    if (granted) {
        writeColumn(writer, grantedColumn);
    }
    for (const auto &c : statusColumns) {
        writeColumn(writer, c);
    }
    return writer.end().take();
}

statement_result statusResult(const target_status &status, const bool *granted)
{
    std::vector<std::optional<std::string>> values;
    if (granted != nullptr) {
        values.emplace_back(*granted ? "t" : "f");
    }
    values.emplace_back(std::to_string(status.term));
    values.emplace_back(targetRoleNames.name(status.role));
    values.emplace_back(toString(status.at));
    values.emplace_back(std::to_string(status.connections));
    values.emplace_back(std::to_string(status.maxConnections));
    values.emplace_back(status.following);
    statement_result result;
    result.columns = groupColumns(granted != nullptr);
    frame_writer rows;
    writeTextRow(rows, values);
    result.rows = rows.take();
    result.rowEnds = {result.rows.size()};
    result.tag = "SELECT";
    return result;
}

statement_result textResult(const std::string &name, const std::string &value, const std::string &tag)
{
    statement_result result;
    frame_writer columns;
    writeTextColumns(columns, {name});
    result.columns = columns.take();
    frame_writer rows;
    writeTextRow(rows, {value});
    result.rows = rows.take();
    result.rowEnds = {result.rows.size()};
    result.tag = tag;
    return result;
}

std::uint64_t readNumber(const parsed_statement &statement, std::size_t index)
{
    if (index >= statement.arguments.size()) {
        throw sql_error("42883", statement.name + " has too few arguments");
    }
    const auto &text = statement.arguments[index];
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        throw sql_error("22P02", "not a number: " + text);
    }
    return value;
}

}

control_functions::control_functions(server &owner,
                                     session_host &host,
                                     const strand_type &strand,
                                     session_parameters parameters)
    : m_server(owner)
    , m_host(host)
    , m_strand(strand)
    , m_timer(strand)
    , m_parameters(std::move(parameters))
{
}

std::string control_functions::columnsOf(const parsed_statement &statement)
{
    switch (statement.kind) {
    case statement_kind::GroupControl:
        return groupColumns(returnsGranted(statement.name));
    case statement_kind::Show:
    case statement_kind::StandinControl: {
        frame_writer writer;
        writeTextColumns(writer, {statement.name});
        return writer.take();
    }
    default:
        return {};
    }
}

void control_functions::run(const parsed_statement &statement, const done_callback &done)
{
    statement_result result;
    result.tag = statement.tag;
    switch (statement.kind) {
    case statement_kind::GroupControl:
        if (statement.name == "group_wait") {
            groupWait(statement, done);
            return;
        }
        result = groupControl(statement);
        break;
    case statement_kind::StandinControl:
        try {
            auto words = statement.arguments;
            words.insert(words.begin(), statement.name.substr(std::string_view("standin_").size()));
            result = textResult(statement.name, m_server.command(words), "SELECT");
        } catch (const std::invalid_argument &error) {
            throw sql_error("22023", error.what());
        }
        break;
    case statement_kind::Show:
        result = show(statement.name);
        break;
    case statement_kind::Set:
        set(statement);
        break;
    default:
        break;
    }
    done(nullptr, std::move(result));
}

statement_result control_functions::groupControl(const parsed_statement &statement)
{
    auto &data = m_server.data();
    if (statement.name == "group_status") {
        return statusResult(data.status(), nullptr);
    }
    control_result result;
    if (statement.name == "group_fence") {
        result = data.fence(readNumber(statement, 0));
    } else if (statement.name == "group_promote") {
        result = data.promote(readNumber(statement, 0));
    } else if (statement.name == "group_follow") {
        const auto term = readNumber(statement, 0);
        if (statement.arguments.size() != 2) {
            throw sql_error("42883", "group_follow takes a term and an address");
        }
        try {
            parseLoopbackAddress(statement.arguments[1]);
        } catch (const std::invalid_argument &error) {
            throw sql_error("22023", error.what());
        }
        result = data.follow(term, statement.arguments[1]);
    } else {
        throw sql_error("42883", "function " + statement.name + " does not exist");
    }
    return statusResult(result.status, &result.granted);
}

void control_functions::groupWait(const parsed_statement &statement, const done_callback &done)
{
    const auto at = parsePosition(statement.arguments.empty() ? "" : statement.arguments[0]);
    if (!at) {
        throw sql_error("22P02", "group_wait takes a position and a timeout");
    }
    const auto timeout = std::chrono::milliseconds(readNumber(statement, 1));
    auto &data = m_server.data();
    auto finished = std::make_shared<bool>(false);
    const auto finish = [this, finished, done, keep = m_host.hold()] {
        if (!std::exchange(*finished, true)) {
            m_timer.cancel();
            done(nullptr, statusResult(m_server.data().status(), nullptr));
        }
    };
    const auto post = [strand = m_strand, finish] { asio::post(strand, finish); };
    const auto id = data.wait(*at, data.status().term, post);
    m_timer.expires_after(timeout);
    m_timer.async_wait([this, finish, id](asio::error_code error) {
        if (!error && m_server.data().cancelWait(id)) {
            finish();
        }
    });
}

void control_functions::set(const parsed_statement &statement)
{
    if (!statement.name.empty() && !statement.arguments.empty()) {
        m_parameters[statement.name] = statement.arguments[0];
    }
}

statement_result control_functions::show(const std::string &name) const
{
    static const session_parameters defaults = {
        {"server_version", "15.0"},
        {"server_version_num", "150000"},
        {"transaction_isolation", "read committed"},
        {"server_encoding", "UTF8"},
        {"client_encoding", "UTF8"},
        {"standard_conforming_strings", "on"},
        {"TimeZone", "UTC"},
        {"search_path", "\"$user\", public"},
    };
    const auto set = m_parameters.find(name);
    if (set != m_parameters.end()) {
        return textResult(name, set->second, "SHOW");
    }
    const auto standard = defaults.find(name);
    if (standard == defaults.end()) {
        throw sql_error("42704", "unrecognized configuration parameter \"" + name + "\"");
    }
    return textResult(name, standard->second, "SHOW");
}

}
