#include "databases.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace review
{

namespace
{

constexpr const char *lineEnd = "\r\n";

std::string takeWord(std::string &rest)
{
    const auto blank = std::min(rest.find(' '), rest.size());
    auto word = rest.substr(0, blank);
    rest.erase(0, std::min(blank + 1, rest.size()));
    return word;
}

std::string error(const std::string &code, const std::string &text)
{
    return "ERROR " + code + " " + text + lineEnd;
}

}

database::database(database_group &group, std::string id, database_figures figures)
    : m_group(group)
    , m_id(std::move(id))
    , m_figures(figures)
{
    for (std::size_t path = 0; path < group.paths; ++path) {
        m_listeners.push_back(std::make_shared<listener>(group.events));
        m_listeners.back()->onConnection = [this, path](const std::shared_ptr<connection> &stream) {
            accept(stream, path);
        };
    }
}

void database::start()
{
    m_isRunning = true;
    for (const auto &one : m_listeners) {
        one->open();
    }
    ++born;
    m_group.transfer(*this);
}

void database::kill()
{
    m_isRunning = false;
    ++m_process;
    ++m_life;
    for (const auto &one : m_listeners) {
        one->close();
    }
    m_queue.clear();
    m_busy = 0;
    m_waiting.clear();
    pausedTerm = 0;
    const auto sessions = std::exchange(m_sessions, {});
    for (const auto &one : sessions) {
        one->stream->close();
    }
    if (!isPrimary) {
        log.clear();
    }
}

const std::string &database::id() const
{
    return m_id;
}

std::string database::address(std::size_t path) const
{
    return m_listeners.at(path)->address();
}

void database::setCut(std::size_t path, bool isCut)
{
    if (isCut) {
        m_cut.insert(path);
        return;
    }
    m_cut.erase(path);
    const auto sessions = m_sessions;
    for (const auto &one : sessions) {
        if (one->path == path) {
            send(one, std::exchange(one->held, {}));
            takeLines(one);
        }
    }
}

bool database::isRunning() const
{
    return m_isRunning;
}

bool database::isReceiving() const
{
    return m_isRunning && !isPrimary && pausedTerm == 0 && !isDeaf;
}

bool database::holds(const std::string &request) const
{
    return std::any_of(log.begin(), log.end(), [&](const log_entry &entry) { return entry.request == request; });
}

void database::accept(const std::shared_ptr<connection> &stream, std::size_t path)
{
    const auto one = std::make_shared<session>();
    one->stream = stream;
    one->path = path;
    stream->onData = [this, one](std::string &inbound) {
        one->inbound += std::exchange(inbound, {});
        if (!m_cut.contains(one->path)) {
            takeLines(one);
        }
    };
    stream->onClosed = [this, one] { std::erase(m_sessions, one); };
    m_sessions.push_back(one);
}

void database::takeLines(const std::shared_ptr<session> &one)
{
    auto &inbound = one->inbound;
    for (auto end = inbound.find(lineEnd); end != std::string::npos; end = inbound.find(lineEnd)) {
        one->lines.push_back(inbound.substr(0, end));
        inbound.erase(0, end + 2);
    }
    handleNext(one);
}

void database::send(const std::shared_ptr<session> &one, const std::string &text)
{
    if (m_cut.contains(one->path)) {
        one->held += text;
        return;
    }
    one->stream->send(text);
}

int database::openSessions() const
{
    return static_cast<int>(
        std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto &one) { return one->isStarted; }));
}

void database::handleNext(const std::shared_ptr<session> &one)
{
    while (!one->isBusy && !one->lines.empty() && one->stream->isOpen()) {
        auto line = one->lines.front();
        one->lines.pop_front();
        one->isBusy = true;
        auto rest = line;
        const auto word = takeWord(rest);
        if (word == "STARTUP") {
            handleStartup(one, line);
        } else if (word == "QUERY" && one->isStarted) {
            const auto id = takeWord(rest);
            handleQuery(one, id, rest);
        } else {
            one->stream->close();
        }
    }
}

void database::handleStartup(const std::shared_ptr<session> &one, const std::string &line)
{
    std::istringstream fields(line);
    std::string word;
    std::string service;
    std::string who;
    std::string expected;
    fields >> word >> service >> who >> expected;
    const bool isRight = service == m_group.service && (expected.empty() || expected == m_id);
    if (!isRight || openSessions() >= m_figures.maxConnections) {
        send(one, error(isRight ? "CONNLIMIT" : "WRONGNODE", m_id));
        one->stream->closeAfterSending();
        return;
    }
    one->isStarted = true;
    reply(one, {});
}

void database::reply(const std::shared_ptr<session> &one, const std::string &lines)
{
    send(one, lines + "READY " + one->state + " " + position() + lineEnd);
    one->isBusy = false;
}

std::string database::position() const
{
    return std::to_string(term) + "." + std::to_string(log.size());
}

std::string database::report() const
{
    std::ostringstream row;
    row << "DATAROW " << (isPrimary ? "primary " : "replica ") << term << ' ' << position() << ' ' << pausedTerm
        << " 0 " << m_busy << ' ' << openSessions() << lineEnd << "COMPLETE -" << lineEnd;
    return row.str();
}

bool database::lacks(const std::string &position) const
{
    const auto dot = position.find('.');
    const auto neededTerm = std::stoull(position.substr(0, dot));
    return neededTerm > term || std::stoull(position.substr(dot + 1)) > log.size();
}

void database::handleQuery(const std::shared_ptr<session> &one, const std::string &id, std::string text)
{
    if (text.rfind("AFTER ", 0) == 0) {
        takeWord(text);
        if (lacks(takeWord(text))) {
            reply(one, error("LAGGING", m_id));
            return;
        }
    }
    auto rest = text;
    const auto word = takeWord(rest);
    const bool isEnd = word == "ROLLBACK" || word == "COMMIT";
    if (one->state == 'E' && !isEnd) {
        reply(one, error("MALFORMED", "the transaction has failed"));
    } else if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
        handleControl(one, text);
    } else if (word == "BEGIN") {
        handleBegin(one, rest == "READ");
    } else if (word == "ROLLBACK" || (word == "COMMIT" && one->state == 'E')) {
        one->state = 'I';
        one->writes = {};
        reply(one, word == "COMMIT" ? error("ABORTED", m_id) : std::string("COMPLETE -") + lineEnd);
    } else if (word == "SET") {
        const auto name = takeWord(rest);
        one->values[name] = rest;
        reply(one, std::string("COMPLETE -") + lineEnd);
    } else if (word == "PREPARE") {
        const auto name = takeWord(rest);
        one->prepared[name] = takeWord(rest);
        reply(one, std::string("COMPLETE -") + lineEnd);
    } else if (word == "DISCARD") {
        one->values.clear();
        one->prepared.clear();
        reply(one, std::string("COMPLETE -") + lineEnd);
    } else {
        handleData(one, id, text);
    }
}

void database::handleControl(const std::shared_ptr<session> &one, const std::string &text)
{
    auto rest = text;
    const auto word = takeWord(rest);
    const auto wanted = rest.empty() ? 0 : std::stoull(rest);
    if (word == "PAUSE" && !isPrimary && wanted > std::max(term, pausedTerm)) {
        pausedTerm = wanted;
    } else if (word == "RESUME") {
        pausedTerm = 0;
        m_group.transfer(*this);
    } else if (word == "STEPDOWN" && isPrimary && wanted > term) {
        isPrimary = false;
        ++m_life;
    }
    if (word != "STATUS") {
        m_group.record(m_id + " is told " + text);
    }
    reply(one, report());
}

void database::handleBegin(const std::shared_ptr<session> &one, bool isReadOnly)
{
    if (!isReadOnly && !isPrimary) {
        reply(one, error("READONLY", m_id));
        return;
    }
    one->state = 'T';
    one->isReadOnly = isReadOnly;
    reply(one, std::string("COMPLETE -") + lineEnd);
}

void database::handleData(const std::shared_ptr<session> &one, const std::string &id, const std::string &text)
{
    m_group.arrived.insert(id);
    auto rest = text;
    auto kind = takeWord(rest);
    if (kind == "EXECUTE") {
        const auto found = one->prepared.find(takeWord(rest));
        if (found == one->prepared.end()) {
            reply(one, error("NOSUCHSTMT", m_id));
            return;
        }
        kind = found->second;
    }
    const auto item = takeWord(rest);
    if (m_busy >= m_figures.slots && m_queue.size() >= m_figures.queue) {
        reply(one, error("BUSY", m_id));
        return;
    }
    occupySlot(one, [this, one, id, text, kind, item, data = rest] {
        m_group.ran.emplace_back(id, text);
        runData(one, id, kind, item, data);
    });
}

void database::occupySlot(const std::shared_ptr<session> &one, std::function<void()> run)
{
    work next{one, std::move(run)};
    if (m_busy >= m_figures.slots) {
        m_queue.push_back(std::move(next));
        return;
    }
    startWork(std::move(next));
}

void database::startWork(work next)
{
    ++m_busy;
    m_group.events.after(m_figures.workMs, [self = shared_from_this(), process = m_process, next = std::move(next)] {
        if (process != self->m_process) {
            return;
        }
        --self->m_busy;
        const auto owner = next.owner.lock();
        if (owner && owner->stream->isOpen()) {
            next.run();
            self->handleNext(owner);
        }
        if (!self->m_queue.empty() && self->m_busy < self->m_figures.slots) {
            auto waiting = std::move(self->m_queue.front());
            self->m_queue.pop_front();
            self->startWork(std::move(waiting));
        }
    });
}

void database::runData(const std::shared_ptr<session> &one,
                       const std::string &id,
                       const std::string &kind,
                       const std::string &item,
                       const std::string &data)
{
    const bool isPlain = one->state == 'T' && !one->isReadOnly;
    const bool isEmptyCommit = kind == "COMMIT" && one->writes.changes.empty();
    if ((kind == "WRITE" || isPlain) && !isPrimary && !isEmptyCommit) {
        one->state = kind == "COMMIT" || one->state == 'I' ? 'I' : 'E';
        one->writes = {};
        reply(one, error("READONLY", m_id));
        return;
    }
    const auto complete = "COMPLETE " + m_id + "." + id + lineEnd;
    if (kind == "WRITE") {
        one->writes.changes.emplace_back(item, data);
        if (one->state == 'I') {
            commit(one, id);
        } else {
            reply(one, complete);
        }
        return;
    }
    if (kind == "COMMIT") {
        one->state = 'I';
        if (isEmptyCommit) {
            reply(one, complete);
        } else {
            commit(one, id);
        }
        return;
    }
    std::string found = "-";
    for (const auto &entry : log) {
        for (const auto &[name, value] : entry.changes) {
            found = name == item ? value : found;
        }
    }
    reply(one, "DATAROW " + found + lineEnd + complete);
}

void database::commit(const std::shared_ptr<session> &one, const std::string &id)
{
    one->writes.request = id;
    log.push_back(std::exchange(one->writes, {}));
    const auto complete = "COMPLETE " + m_id + "." + id + lineEnd;
    m_waiting.emplace(log.size(), [this, one, complete] {
        reply(one, complete);
        handleNext(one);
    });
    m_group.transferAll();
}

void database::acknowledge(std::uint64_t life, std::size_t number)
{
    if (life != m_life || !isPrimary) {
        return;
    }
    while (!m_waiting.empty() && m_waiting.begin()->first <= number) {
        const auto told = m_waiting.begin()->second;
        m_waiting.erase(m_waiting.begin());
        told();
    }
}

database_group::database_group(loop &loopOfAll,
                               std::string name,
                               std::size_t pathsOfAll,
                               std::function<void(const std::string &)> recordLine)
    : events(loopOfAll)
    , service(std::move(name))
    , paths(pathsOfAll)
    , record(std::move(recordLine))
{
}

void database_group::add(const std::string &id, database_figures figures)
{
    const auto one = std::make_shared<database>(*this, id, figures);
    one->isPrimary = databases.empty();
    one->term = databases.empty() ? 1 : databases.begin()->second->term;
    databases[id] = one;
    one->start();
}

database &database_group::at(const std::string &id)
{
    return *databases.at(id);
}

database *database_group::primary()
{
    for (const auto &[id, one] : databases) {
        if (one->isPrimary && one->isRunning()) {
            return one.get();
        }
    }
    return nullptr;
}

void database_group::seed(const std::string &request, const std::string &item, const std::string &data)
{
    for (const auto &[id, one] : databases) {
        one->log.push_back({request, {{item, data}}});
    }
}

void database_group::startAs(const std::string &oldId, const std::string &newId)
{
    const auto one = databases.at(oldId);
    databases.erase(oldId);
    one->m_id = newId;
    databases[newId] = one;
    one->start();
    transferAll();
}

void database_group::transferAll()
{
    for (const auto &[id, one] : databases) {
        transfer(*one);
    }
}

void database_group::transfer(database &replica)
{
    auto *from = primary();
    const bool isNeeded = from != nullptr && replica.isReceiving() && replica.log.size() < from->log.size();
    if (!isNeeded || replica.m_isTransferRunning) {
        return;
    }
    replica.m_isTransferRunning = true;
    const auto self = replica.shared_from_this();
    const auto sender = from->shared_from_this();
    events.after(replica.m_figures.linkMs,
                 [this, self, sender, life = self->m_life, sentBy = sender->m_life, begin = self->log.size()] {
                     self->m_isTransferRunning = false;
                     const bool isCurrent = life == self->m_life && sentBy == sender->m_life && self->isReceiving()
                         && sender->isPrimary && sender->isRunning() && begin == self->log.size();
                     if (!isCurrent) {
                         transfer(*self);
                         return;
                     }
                     const auto end = std::min(sender->log.size(), begin + self->m_figures.entriesEach);
                     self->log.insert(self->log.end(),
                                      sender->log.begin() + static_cast<std::ptrdiff_t>(begin),
                                      sender->log.begin() + static_cast<std::ptrdiff_t>(end));
                     events.after(self->m_figures.linkMs, [sender, sentBy, end] { sender->acknowledge(sentBy, end); });
                     transfer(*self);
                 });
}

bool database_group::promote(const std::string &id, std::int64_t takesMs)
{
    const auto &wanted = databases.at(id);
    if (!wanted->isRunning()) {
        return false;
    }
    if (wanted->isPrimary) {
        return true;
    }
    events.after(takesMs, [this, id] { lead(id); });
    return true;
}

void database_group::lead(const std::string &id)
{
    auto &leader = at(id);
    if (!leader.isRunning() || leader.isPrimary) {
        return;
    }
    std::uint64_t next = 0;
    for (const auto &[name, one] : databases) {
        next = std::max(next, one->term + 1);
    }
    for (const auto &[name, one] : databases) {
        const bool wasPrimary = one->isPrimary;
        one->isPrimary = name == id;
        one->pausedTerm = 0;
        one->term = next;
        ++one->m_life;
        if (one->log.size() > leader.log.size()) {
            one->log.resize(leader.log.size());
        }
        if (wasPrimary) {
            // What waits for a replica is in doubt; its connections end.
            one->m_waiting.clear();
            const auto sessions = one->m_sessions;
            for (const auto &open : sessions) {
                if (open->isBusy) {
                    open->stream->close();
                }
            }
        }
    }
    onPromoted(leader);
    transferAll();
}

}
