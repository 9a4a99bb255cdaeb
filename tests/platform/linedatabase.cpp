#include "linedatabase.h"

#include "systemclock.h"

#include <asio/ip/address.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace crocusdeal::test
{

struct line_database::session {
    std::shared_ptr<byte_stream> stream;
    bool isStarted = false;
    std::string who;
    char state = 'I';
    bool isReadOnly = false;
    std::vector<std::string> writes; ///< Of the open transaction.
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared; ///< Name to "READ" or "WRITE".
    time_point answersAt = never; ///< Of the last one.
};

line_database::line_database(line_database_group &group, std::string id)
    : m_group(group)
    , m_id(std::move(id))
{
}

void line_database::listen()
{
    m_acceptor = std::make_unique<asio::ip::tcp::acceptor>(
        m_group.io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_port.number()));
    acceptNext();
}

void line_database::crash()
{
    m_acceptor.reset();
    for (const auto &weak : std::exchange(m_sessions, {})) {
        if (const auto connection = weak.lock()) {
            connection->stream->close();
        }
    }
}

const std::string &line_database::id() const
{
    return m_id;
}

host_port line_database::address() const
{
    return {"127.0.0.1", m_port.number()};
}

bool line_database::isRunning() const
{
    return m_acceptor != nullptr;
}

int line_database::openConnections() const
{
    return static_cast<int>(std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto &weak) {
        const auto connection = weak.lock();
        return connection && connection->stream->isOpen();
    }));
}

void line_database::acceptNext()
{
    m_acceptor->async_accept([self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
        if (error || !self->m_acceptor) {
            return;
        }
        ++self->connectionsSeen;
        auto connection = std::make_shared<session>();
        connection->stream = std::make_shared<byte_stream>(std::move(socket));
        connection->stream->onData = [self, connection](std::string &inbound) { self->serve(connection, inbound); };
        self->m_sessions.push_back(connection);
        connection->stream->startReading();
        self->acceptNext();
    });
}

void line_database::serve(const std::shared_ptr<session> &connection, std::string &inbound)
{
    for (auto end = inbound.find("\r\n"); end != std::string::npos; end = inbound.find("\r\n")) {
        const auto line = inbound.substr(0, end);
        inbound.erase(0, end + 2);
        handleLine(connection, line);
    }
}

int line_database::startedConnections() const
{
    return static_cast<int>(std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto &weak) {
        const auto connection = weak.lock();
        return connection && connection->isStarted && connection->stream->isOpen();
    }));
}

void line_database::handleStartup(const std::shared_ptr<session> &connection, const std::string &line)
{
    std::istringstream fields(line);
    std::string word;
    std::string service;
    std::string who;
    std::string expected;
    fields >> word >> service >> who >> expected;
    const bool isRight = service == m_group.service && (expected.empty() || expected == m_id);
    if (!isRight || startedConnections() >= faults.connectionLimit) {
        connectionsRefused += isRight ? 1 : 0;
        connection->stream->send(isRight ? "ERROR CONNLIMIT " + m_id + "\r\n" : "ERROR WRONGNODE " + m_id + "\r\n");
        connection->stream->closeAfterSending();
        return;
    }
    startups.push_back(line);
    connection->who = who;
    connection->isStarted = true;
    const auto reply = "READY I " + ready(*connection).substr(8);
    if (faults.startupDelay.ms == 0) {
        connection->stream->send(reply);
        return;
    }
    m_group.deadlines.scheduleAfter(faults.startupDelay, [stream = connection->stream, reply] { stream->send(reply); });
}

void line_database::handleLine(const std::shared_ptr<session> &connection, const std::string &line)
{
    std::istringstream fields(line);
    std::string word;
    std::string first;
    fields >> word >> first;
    if (word == "STARTUP") {
        handleStartup(connection, line);
        return;
    }
    if (word == "QUERY") {
        handleQuery(connection, first, line.substr(std::min(line.size(), word.size() + first.size() + 2)));
    }
}

void line_database::handleQuery(const std::shared_ptr<session> &connection, const std::string &id, std::string text)
{
    if (text.rfind("AFTER ", 0) == 0) {
        const auto end = text.find(' ', 6);
        const auto dot = text.find('.');
        const auto neededTerm = std::stoull(text.substr(6, dot - 6));
        const auto needed = std::stoull(text.substr(dot + 1, end - dot - 1));
        text = text.substr(end + 1);
        if (neededTerm > term || needed > received) {
            answer(connection, "ERROR LAGGING " + m_id + "\r\n", false);
            return;
        }
    }
    std::istringstream fields(text);
    std::string word;
    std::string name;
    std::string rest;
    fields >> word >> name;
    std::getline(fields, rest);
    if (word == "SET") {
        connection->values[name] = rest;
        answer(connection, "COMPLETE -\r\n", false);
    } else if (word == "PREPARE") {
        connection->prepared[name] = rest.find("WRITE") == 1 ? "WRITE" : "READ";
        answer(connection, "COMPLETE -\r\n", false);
    } else if (word == "DISCARD") {
        connection->values.clear();
        connection->prepared.clear();
        answer(connection, "COMPLETE -\r\n", false);
    } else if (word == "BEGIN") {
        connection->isReadOnly = name == "READ";
        const bool isRefused = !connection->isReadOnly && !isPrimary;
        connection->state = isRefused ? 'I' : 'T';
        answer(connection, isRefused ? "ERROR READONLY " + m_id + "\r\n" : "COMPLETE -\r\n", false);
    } else if (word == "ROLLBACK") {
        connection->state = 'I';
        connection->writes.clear();
        answer(connection, "COMPLETE -\r\n", false);
    } else if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
        handleControl(connection, text);
    } else {
        handleData(connection, id, text);
    }
}

void line_database::handleControl(const std::shared_ptr<session> &connection, const std::string &text)
{
    std::istringstream fields(text);
    std::string word;
    std::uint64_t wanted = 0;
    fields >> word >> wanted;
    controls.push_back(text);
    if (word == "PAUSE" && wanted > std::max(term, pausedAt) && !isPrimary) {
        pausedAt = wanted;
    } else if (word == "RESUME") {
        pausedAt = 0;
    } else if (word == "STEPDOWN" && wanted > term) {
        isPrimary = false;
    }
    answer(connection, "DATAROW " + report() + "\r\nCOMPLETE -\r\n", false);
}

void line_database::handleData(const std::shared_ptr<session> &connection,
                               const std::string &id,
                               const std::string &text)
{
    if (faults.refuseBusy > 0) {
        --faults.refuseBusy;
        answer(connection, "ERROR BUSY " + m_id + "\r\n", false);
        return;
    }
    std::istringstream fields(text);
    std::string word;
    std::string item;
    std::string data;
    fields >> word >> item;
    std::string kind = word;
    if (word == "EXECUTE") {
        const auto found = connection->prepared.find(item);
        if (found == connection->prepared.end()) {
            answer(connection, "ERROR NOSUCHSTMT " + item + "\r\n", false);
            return;
        }
        kind = found->second;
        fields >> item;
    }
    fields >> data;
    const bool isInPlain = connection->state == 'T' && !connection->isReadOnly;
    const bool isEmptyCommit = kind == "COMMIT" && connection->writes.empty();
    if ((kind == "WRITE" || isInPlain) && !isPrimary && !isEmptyCommit) {
        connection->state = connection->state == 'T' ? 'E' : 'I';
        answer(connection, "ERROR READONLY " + m_id + "\r\n", false);
        return;
    }
    workspaces.push_back(connection->who);
    statements.push_back(text);
    if (kind == "COMMIT") {
        connection->state = 'I';
        commit(*connection);
        answer(connection, "COMPLETE sig-" + m_id + "-" + id + "\r\n", true);
        return;
    }
    if (kind == "WRITE") {
        connection->writes.push_back(item + " " + data);
        if (connection->state == 'I') {
            commit(*connection);
        }
        answer(connection, "COMPLETE sig-" + m_id + "-" + id + "\r\n", true);
        return;
    }
    if (faults.failReads > 0) {
        --faults.failReads;
        answer(connection, "ERROR FAILED " + m_id + "\r\n", true);
        return;
    }
    answer(connection, "DATAROW " + items[item] + "\r\nCOMPLETE sig-" + m_id + "-" + id + "\r\n", true);
}

void line_database::commit(session &connection)
{
    for (const auto &change : std::exchange(connection.writes, {})) {
        ++received;
        log[received] = change;
        items[change.substr(0, change.find(' '))] = change.substr(change.find(' ') + 1);
        m_group.replicate(*this, received, change);
    }
}

void line_database::answer(const std::shared_ptr<session> &connection, const std::string &lines, bool isData)
{
    const auto text = lines + ready(*connection);
    if (isData && faults.loseAnswers > 0) {
        --faults.loseAnswers;
        connection->stream->close();
        return;
    }
    if (isData && faults.swallowAnswers > 0) {
        --faults.swallowAnswers;
        return;
    }
    // Answers keep the order of their statements.
    const auto now = systemNow();
    connection->answersAt = std::max(connection->answersAt, now + (isData ? faults.answerDelay : faults.controlDelay));
    if (connection->answersAt > now) {
        m_group.deadlines.schedule(connection->answersAt, [connection, text] { connection->stream->send(text); });
        return;
    }
    connection->stream->send(text);
}

std::string line_database::ready(const session &connection) const
{
    return std::string("READY ") + connection.state + " " + std::to_string(term) + "." + std::to_string(received)
        + "\r\n";
}

std::string line_database::report() const
{
    std::ostringstream row;
    row << (isPrimary ? "primary " : "replica ") << term << ' ' << term << '.' << received << ' ' << pausedAt
        << " 0 0 1";
    return row.str();
}

line_database_group::line_database_group(asio::io_context &loop, deadline_queue &queue, std::string name)
    : io(loop)
    , deadlines(queue)
    , service(std::move(name))
{
}

line_database &line_database_group::add(const std::string &id)
{
    auto database = std::make_shared<line_database>(*this, id);
    database->isPrimary = databases.empty();
    databases[id] = database;
    database->listen();
    return *database;
}

line_database &line_database_group::at(const std::string &id)
{
    return *databases.at(id);
}

void line_database_group::promote(const std::string &id)
{
    std::uint64_t next = 0;
    for (const auto &[name, database] : databases) {
        next = std::max(next, database->term + 1);
    }
    for (const auto &[name, database] : databases) {
        database->isPrimary = name == id;
        database->pausedAt = 0;
        if (database->isRunning()) {
            database->term = next;
            database->received = at(id).received;
            database->log = at(id).log;
            database->items = at(id).items;
        }
    }
}

bool line_database_group::replicate(line_database &primary, std::uint64_t number, const std::string &change)
{
    bool isReceived = false;
    for (const auto &[name, replica] : databases) {
        if (replica.get() == &primary || !replica->isRunning() || replica->pausedAt != 0 || replica->faults.isDeaf) {
            continue;
        }
        replica->received = number;
        replica->log[number] = change;
        replica->items[change.substr(0, change.find(' '))] = change.substr(change.find(' ') + 1);
        isReceived = true;
    }
    return isReceived;
}

}
