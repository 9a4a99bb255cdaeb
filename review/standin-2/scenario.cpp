// Stand-ins of the platform's store, its promotion call, its balancer, one service of three databases and a few
// callers, in one process with a thread a connection. Plays the cases "a primary leaves while promotions are carried
// out late" and "two of the three daemons of a zone are stopped".

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <sys/types.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace
{

using asio::ip::tcp;
using nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds usualStaleAge{3000}; // Of answers to calls with stale_ok.
constexpr milliseconds lateOrder{6000}; // After which an unanswered promotion call is carried out.
constexpr milliseconds promotionTime{600};
constexpr milliseconds drainTime{7000};
constexpr milliseconds longestWatch{2000}; // The wait that the daemon asks for when it watches databases.
constexpr milliseconds phaseInWatch{1050}; // From an answer of that watch to the report of the primary.
constexpr milliseconds stayTime{13000}; // The primary serves somewhat longer than it has to.
constexpr milliseconds warmUp{4000};
constexpr milliseconds pauseOfCaller{40};
constexpr int callers = 4;
const std::string serviceName = "huvo11a";
const std::string databaseName = "lepu270";

/** What happened, in order, for record.txt. */
class recorder
{
public:
    explicit recorder(const std::string &file)
        : m_out(file)
    {
    }

    void add(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        const auto at = std::chrono::duration_cast<milliseconds>(steady::now() - m_start);
        m_out << at.count() << " ms  " << line << '\n';
        m_out.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    steady::time_point m_start = steady::now();
};

/** Calls @p serve in a thread of its own for each connection. */
class listener
{
public:
    listener()
        : m_acceptor(m_io, {asio::ip::address_v4::loopback(), 0})
    {
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    void start(std::function<void(tcp::iostream &)> serve)
    {
        std::thread([this, serve = std::move(serve)] {
            while (true) {
                auto stream = std::make_shared<tcp::iostream>();
                m_acceptor.accept(stream->socket());
                stream->socket().set_option(tcp::no_delay(true));
                std::thread([stream, serve] { serve(*stream); }).detach();
            }
        }).detach();
    }

private:
    asio::io_context m_io;
    tcp::acceptor m_acceptor;
};

std::string lineWithoutEnd(std::string line)
{
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    return line;
}

// ---- HTTP

struct http_call {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_answer {
    int status = 200;
    json body;
};

std::map<std::string, std::string> parseQuery(const std::string &text)
{
    std::map<std::string, std::string> query;
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, '&');) {
        const auto equals = part.find('=');
        query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    }
    return query;
}

std::optional<http_call> readCall(tcp::iostream &stream)
{
    http_call call;
    std::string target;
    std::string line;
    if (!std::getline(stream, line)) {
        return std::nullopt;
    }
    std::istringstream(line) >> call.method >> target;
    const auto mark = target.find('?');
    call.path = target.substr(0, mark);
    call.query = parseQuery(mark == std::string::npos ? "" : target.substr(mark + 1));
    while (std::getline(stream, line) && !lineWithoutEnd(line).empty()) {
        const auto text = lineWithoutEnd(line);
        const auto colon = text.find(": ");
        auto name = text.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        call.headers[name] = colon == std::string::npos ? "" : text.substr(colon + 2);
    }
    const auto length = call.headers.find("content-length");
    call.body.resize(length == call.headers.end() ? 0 : std::stoul(length->second));
    stream.read(call.body.data(), static_cast<std::streamsize>(call.body.size()));
    return stream ? std::optional(call) : std::nullopt;
}

/** Answers the calls of one connection; no value ends it without an answer. */
void serveHttp(tcp::iostream &stream, const std::function<std::optional<http_answer>(const http_call &)> &handle)
{
    while (const auto call = readCall(stream)) {
        const auto answer = handle(*call);
        if (!answer) {
            return;
        }
        const auto body = answer->body.dump();
        stream << "HTTP/1.1 " << answer->status
               << " X\r\nContent-Type: application/json\r\nContent-Length: " << body.size() << "\r\n\r\n"
               << body << std::flush;
    }
}

// ---- The store

struct change {
    std::uint64_t revision = 0;
    steady::time_point at;
    std::string kind;
    std::string name;
    std::optional<json> object; ///< None if it was removed.
};

class object_store
{
public:
    std::uint64_t put(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(m_mutex);
        return write(kind, name, spec);
    }

    http_answer handle(const http_call &call)
    {
        constexpr std::string_view prefix = "/api/objects/";
        const auto rest = call.path.substr(std::min(prefix.size(), call.path.size()));
        const auto slash = rest.find('/');
        const auto kind = rest.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
        const bool isStale = call.query.contains("stale_ok");
        if (call.method == "GET" && call.query.contains("watch")) {
            auto answer = watch(kind, std::stoull(call.query.at("watch")), waitOf(call), isStale);
            const bool isOfInterest = kind == "config" && !isStale && !answer.body["events"].empty();
            if (isOfInterest && m_isAnswerToBeLost.exchange(false)) {
                m_isAnswerLost = true;
                std::this_thread::sleep_for(std::chrono::minutes(2)); // The connection returns nothing further.
            }
            return answer;
        }
        if (call.method == "GET") {
            return name.empty() ? list(kind, isStale) : get(kind, name);
        }
        return change(call, kind, name);
    }

    void setStaleAge(milliseconds age)
    {
        m_staleAge = age;
    }

    /** The next answer of a watch with a configuration is lost, and with it the connection. */
    void loseNextConfiguration()
    {
        m_isAnswerToBeLost = true;
    }

    bool isConfigurationLost() const
    {
        return m_isAnswerLost;
    }

    /** When a watch of databases was last answered because its time was over. */
    steady::time_point lastQuietWatch()
    {
        const std::lock_guard lock(m_mutex);
        return m_lastQuietWatch;
    }

private:
    static milliseconds waitOf(const http_call &call)
    {
        const auto found = call.query.find("wait_ms");
        return milliseconds(found == call.query.end() ? 0 : std::stoll(found->second));
    }

    std::uint64_t write(const std::string &kind, const std::string &name, const std::optional<json> &spec)
    {
        ++m_revision;
        std::optional<json> object;
        if (spec) {
            object = json{{"meta", {{"name", name}, {"revision", m_revision}, {"created", 1}}},
                          {"spec", *spec},
                          {"status", nullptr}};
        }
        m_changes.push_back({m_revision, steady::now(), kind, name, object});
        m_changed.notify_all();
        return m_revision;
    }

    /** The newest revision that a reader may see. */
    std::uint64_t visible(bool isStale) const
    {
        const auto limit = steady::now() - (isStale ? m_staleAge.load() : milliseconds(0));
        std::uint64_t newest = 0;
        for (const auto &entry : m_changes) {
            newest = entry.at <= limit ? entry.revision : newest;
        }
        return newest;
    }

    std::map<std::string, json> objects(const std::string &kind, std::uint64_t upTo) const
    {
        std::map<std::string, json> found;
        for (const auto &entry : m_changes) {
            if (entry.kind != kind || entry.revision > upTo) {
                continue;
            }
            if (entry.object) {
                found[entry.name] = *entry.object;
            } else {
                found.erase(entry.name);
            }
        }
        return found;
    }

    http_answer list(const std::string &kind, bool isStale)
    {
        const std::lock_guard lock(m_mutex);
        const auto upTo = visible(isStale);
        json items = json::array();
        for (const auto &[name, object] : objects(kind, upTo)) {
            items.push_back(object);
        }
        return {200, {{"items", items}, {"more", false}, {"store_revision", std::max<std::uint64_t>(upTo, 1)}}};
    }

    http_answer get(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = objects(kind, m_revision);
        const auto object = found.find(name);
        return object == found.end() ? http_answer{404, json::object()} : http_answer{200, object->second};
    }

    http_answer watch(const std::string &kind, std::uint64_t since, milliseconds wait, bool isStale)
    {
        std::unique_lock lock(m_mutex);
        const auto until = steady::now() + wait;
        while (true) {
            const auto upTo = std::max(visible(isStale), since);
            json events = json::array();
            for (const auto &entry : m_changes) {
                if (entry.kind == kind && entry.revision > since && entry.revision <= upTo) {
                    events.push_back({{"removed", !entry.object}, {"object", entry.object.value_or(json::object())}});
                }
            }
            const bool isOver = steady::now() >= until;
            if (events.empty() && isOver && kind == "servers") {
                m_lastQuietWatch = steady::now();
            }
            if (!events.empty() || isOver) {
                return {200, {{"events", events}, {"store_revision", upTo}}};
            }
            constexpr milliseconds step{5};
            m_changed.wait_until(lock, std::min(until, steady::now() + step));
        }
    }

    http_answer change(const http_call &call, const std::string &kind, const std::string &named)
    {
        const std::lock_guard lock(m_mutex);
        const auto sent = json::parse(call.body.empty() ? "{}" : call.body);
        const auto meta = sent.value("meta", json::object());
        const auto name = named.empty() ? meta.value("name", std::string()) : named;
        const auto present = objects(kind, m_revision);
        const auto found = present.find(name);
        if (call.method == "POST" && found != present.end()) {
            return {409, found->second};
        }
        if (call.method != "POST" && found == present.end()) {
            return {404, json::object()};
        }
        const auto expected = call.query.contains("revision") ? std::stoull(call.query.at("revision"))
                                                              : meta.value("revision", std::uint64_t{0});
        if (expected != 0 && found->second["meta"]["revision"] != expected) {
            return {409, found->second};
        }
        write(kind, name, call.method == "DELETE" ? std::nullopt : std::optional(sent.value("spec", json())));
        return {200, m_changes.back().object.value_or(json::object())};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::deque<::change> m_changes;
    std::atomic<milliseconds> m_staleAge = usualStaleAge;
    std::atomic<bool> m_isAnswerToBeLost = false;
    std::atomic<bool> m_isAnswerLost = false;
    steady::time_point m_lastQuietWatch;
};

// ---- The databases of the service

struct database {
    std::string id;
    std::string zone;
    listener port;
    std::uint64_t term = 1;
    std::uint64_t received = 0;
    std::uint64_t receivedTerm = 1;
    std::uint64_t pausedTerm = 0;
    int connections = 0;
};

class database_group
{
public:
    database_group(object_store &store, recorder &record)
        : m_store(store)
        , m_record(record)
    {
        const std::vector<std::string> zones{"sapporo-a", "ebetsu-b", "chitose-c"};
        for (const auto &zone : zones) {
            auto added = std::make_unique<database>();
            added->id = "i-" + std::to_string(m_databases.size() + 1) + "f3a91c2";
            added->zone = zone;
            m_databases.push_back(std::move(added));
        }
        m_primary = m_databases.front()->id;
    }

    void start()
    {
        for (const auto &one : m_databases) {
            one->port.start([this, raw = one.get()](tcp::iostream &stream) { serve(*raw, stream); });
            report(*one, false);
        }
    }

    /** The primary reports that it leaves. */
    std::string drainPrimary()
    {
        const std::lock_guard lock(m_mutex);
        m_leaving = m_primary;
        report(find(m_primary), true);
        m_drainingSince = steady::now();
        return m_primary;
    }

    /** Some time after it was accepted the named database leads the next term. */
    void promote(const std::string &id)
    {
        std::thread([this, id] {
            std::this_thread::sleep_for(promotionTime);
            const std::lock_guard lock(m_mutex);
            if (m_primary == id) {
                return;
            }
            ++m_term;
            m_primary = id;
            auto &leader = find(id);
            leader.pausedTerm = 0;
            for (const auto &one : m_databases) {
                one->term = m_term;
                one->received = std::min(one->received, leader.received);
                report(*one, one->id == m_leaving);
            }
            leader.receivedTerm = m_term;
            m_record.add("database " + id + " leads term " + std::to_string(m_term));
        }).detach();
    }

    std::string primary()
    {
        const std::lock_guard lock(m_mutex);
        return m_primary;
    }

    /** How long reads, writes and commits take. */
    void setWork(milliseconds work)
    {
        m_work = work;
    }

    bool hasGot(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_requests.contains(id);
    }

    /** How long after its report was stored the leaving primary got its last request, and how many came too late. */
    std::pair<milliseconds, int> lateRequests()
    {
        const std::lock_guard lock(m_mutex);
        return {m_lastRequest, m_lateRequests};
    }

private:
    struct session {
        bool isOpen = false; ///< A transaction.
        bool isFailed = false;
        bool isPlain = false;
        int writes = 0;
        std::map<std::string, std::string> prepared; ///< Names to kinds.
    };

    database &find(const std::string &id)
    {
        return **std::find_if(m_databases.begin(), m_databases.end(), [&](const auto &one) { return one->id == id; });
    }

    void report(const database &one, bool isDraining)
    {
        m_store.put("servers",
                    one.id,
                    {{"service", serviceName},
                     {"address", one.port.address()},
                     {"zone", one.zone},
                     {"config_version", "v1"},
                     {"slots", 2},
                     {"state", isDraining ? "draining" : "ready"},
                     {"warmup_left_ms", 0},
                     {"db_role", one.id == m_primary ? "primary" : "replica"},
                     {"born", 1771517085068},
                     {"sequence", ++m_sequence}});
    }

    void serve(database &one, tcp::iostream &stream)
    {
        session own;
        for (std::string line; std::getline(stream, line);) {
            const auto text = lineWithoutEnd(line);
            std::string answer;
            milliseconds work{0};
            {
                const std::lock_guard lock(m_mutex);
                answer = answerTo(one, own, text, work);
            }
            if (answer.empty()) {
                return;
            }
            std::this_thread::sleep_for(work);
            stream << answer << std::flush;
        }
    }

    std::string ready(const database &one, const session &own) const
    {
        const auto *state = own.isFailed ? "E" : own.isOpen ? "T" : "I";
        return std::string("READY ") + state + ' ' + std::to_string(one.receivedTerm) + '.'
            + std::to_string(one.received) + "\r\n";
    }

    std::string answerTo(database &one, session &own, const std::string &line, milliseconds &work)
    {
        std::istringstream words(line);
        std::string word;
        words >> word;
        if (word == "STARTUP") {
            std::string service;
            std::string who;
            std::string id;
            words >> service >> who >> id;
            const bool isRight = service == serviceName && (id.empty() || id == one.id);
            return isRight ? ready(one, own) : "ERROR WRONGNODE " + one.id + "\r\n";
        }
        if (word != "QUERY") {
            return {};
        }
        std::string id;
        words >> id;
        std::string text;
        std::getline(words >> std::ws, text);
        return answerToQuery(one, own, id, text, work);
    }

    static std::string refusal(const char *code, const database &one)
    {
        return std::string("ERROR ") + code + ' ' + one.id + "\r\n";
    }

    std::string answerToQuery(database &one,
                              session &own,
                              const std::string &id,
                              const std::string &text,
                              milliseconds &work)
    {
        std::istringstream words(text);
        std::string word;
        words >> word;
        if (word == "AFTER") {
            std::string at;
            words >> at >> word;
            const auto dot = at.find('.');
            using log_position = std::pair<std::uint64_t, std::uint64_t>;
            const log_position wanted{std::stoull(at.substr(0, dot)), std::stoull(at.substr(dot + 1))};
            if (log_position{one.receivedTerm, one.received} < wanted) {
                return refusal("LAGGING", one) + ready(one, own);
            }
        }
        const std::string complete = "COMPLETE -\r\n";
        if (word == "SET" || word == "DISCARD" || word == "DEALLOCATE") {
            return complete + ready(one, own);
        }
        if (word == "PREPARE") {
            std::string name;
            words >> name >> own.prepared[name];
            words >> own.prepared[name];
            return complete + ready(one, own);
        }
        if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
            return control(one, word, words) + complete + ready(one, own);
        }
        if (word == "ROLLBACK") {
            own.isOpen = own.isFailed = false;
            own.writes = 0;
            return complete + ready(one, own);
        }
        if (own.isFailed) {
            return refusal("MALFORMED", one) + ready(one, own);
        }
        if (word == "BEGIN") {
            std::string kind;
            words >> kind;
            if (kind != "READ" && one.id != m_primary) {
                return refusal("READONLY", one) + ready(one, own);
            }
            own.isOpen = true;
            own.isPlain = kind != "READ";
            return complete + ready(one, own);
        }
        return runData(one, own, id, word, words, work);
    }

    std::string runData(database &one,
                        session &own,
                        const std::string &id,
                        const std::string &word,
                        std::istringstream &words,
                        milliseconds &work)
    {
        std::string name;
        words >> name;
        const bool isWrite = word == "WRITE" || (word == "EXECUTE" && own.prepared[name] == "WRITE");
        noteRequest(one, id, own.isOpen);
        m_requests.insert(id);
        const bool needsLead = isWrite || (own.isOpen && own.isPlain && !(word == "COMMIT" && own.writes == 0));
        if (needsLead && one.id != m_primary) {
            own.isFailed = own.isOpen;
            return refusal("READONLY", one) + ready(one, own);
        }
        work = m_work;
        const bool isCommitted = (isWrite && !own.isOpen) || (word == "COMMIT" && own.writes > 0);
        if (isCommitted && !replicate(one)) {
            work = drainTime; // Nobody has received it, so that it is not acknowledged.
        }
        own.writes = own.isOpen && word != "COMMIT" ? own.writes + (isWrite ? 1 : 0) : 0;
        own.isOpen = own.isOpen && word != "COMMIT";
        const auto row = word == "COMMIT" || isWrite ? std::string() : std::string("DATAROW qhzkwmtr\r\n");
        return row + "COMPLETE 7.1f3.c.2b." + std::to_string(++m_signature) + "\r\n" + ready(one, own);
    }

    bool replicate(database &primary)
    {
        ++primary.received;
        bool isReceived = false;
        for (const auto &one : m_databases) {
            if (one->id != primary.id && one->pausedTerm == 0) {
                one->received = primary.received;
                one->receivedTerm = primary.receivedTerm;
                isReceived = true;
            }
        }
        return isReceived;
    }

    /** Statements inside a transaction do not count, but for the first. */
    void noteRequest(const database &one, const std::string &id, bool isInTransaction)
    {
        if (one.id != m_leaving || isInTransaction) {
            return;
        }
        m_lastRequest = std::chrono::duration_cast<milliseconds>(steady::now() - m_drainingSince);
        const bool isLate = m_lastRequest > drainTime;
        m_lateRequests += isLate ? 1 : 0;
        if (isLate) {
            m_record.add("request " + id + " reaches " + one.id + ' ' + std::to_string(m_lastRequest.count())
                         + " ms after its report was stored");
        }
    }

    std::string control(database &one, const std::string &word, std::istringstream &words)
    {
        std::uint64_t term = 0;
        words >> term;
        if (word == "PAUSE" && one.id != m_primary && term > m_term) {
            one.pausedTerm = term;
        } else if (word == "RESUME") {
            one.pausedTerm = 0;
            one.received = m_primary.empty() ? one.received : find(m_primary).received;
        } else if (word == "STEPDOWN" && one.id == m_primary && term > m_term) {
            m_primary.clear();
        }
        const auto *role = one.id == m_primary ? "primary" : "replica";
        return std::string("DATAROW ") + role + ' ' + std::to_string(one.term) + ' ' + std::to_string(one.receivedTerm)
            + '.' + std::to_string(one.received) + ' ' + std::to_string(one.pausedTerm) + " 0 0 4\r\n";
    }

    object_store &m_store;
    recorder &m_record;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<database>> m_databases;
    std::string m_primary;
    std::string m_leaving;
    steady::time_point m_drainingSince;
    milliseconds m_lastRequest{0};
    int m_lateRequests = 0;
    milliseconds m_work{4};
    std::set<std::string> m_requests; ///< The ids of all reads, writes and commits that have arrived.
    std::uint64_t m_term = 1;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_signature = 0;
};

// ---- The promotion call

class promotion_platform
{
public:
    promotion_platform(database_group &group, recorder &record)
        : m_group(group)
        , m_record(record)
    {
    }

    void setLate()
    {
        m_isLate = true;
    }

    std::optional<http_answer> handle(const http_call &call)
    {
        const auto token = std::stoull(call.headers.at("x-crocusdeal-fencing-token"));
        const auto id = json::parse(call.body).value("id", std::string());
        m_record.add("promotion of " + id + " with token " + std::to_string(token)
                     + (m_isLate ? ", not answered" : ", answered"));
        if (!m_isLate) {
            return carryOut(id, token) ? http_answer{200, json::object()} : http_answer{409, json::object()};
        }
        std::thread([this, id, token] {
            std::this_thread::sleep_for(lateOrder);
            m_record.add("promotion with token " + std::to_string(token)
                         + " is carried out: " + (carryOut(id, token) ? "accepted" : "refused"));
        }).detach();
        std::this_thread::sleep_for(lateOrder);
        return std::nullopt;
    }

private:
    bool carryOut(const std::string &id, std::uint64_t token)
    {
        const std::lock_guard lock(m_mutex);
        if (token < m_newestToken) {
            return false;
        }
        m_newestToken = token;
        m_group.promote(id);
        return true;
    }

    database_group &m_group;
    recorder &m_record;
    std::mutex m_mutex;
    std::uint64_t m_newestToken = 0;
    std::atomic<bool> m_isLate = false;
};

// ---- Callers

class caller
{
public:
    caller(std::string address, int number, recorder &record)
        : m_address(std::move(address))
        , m_number(number)
        , m_record(record)
    {
    }

    /** Told when each request was sent and what its answer begins with. */
    std::function<void(const std::string &id, steady::time_point sentAt, const std::string &answer)> onAnswer;

    void run(const std::atomic<bool> &isOver)
    {
        while (!isOver) {
            const auto colon = m_address.find(':');
            tcp::iostream stream;
            stream.expires_after(std::chrono::seconds(3));
            stream.connect(m_address.substr(0, colon), m_address.substr(colon + 1));
            stream << "STARTUP " << databaseName << " u" << m_number << "\r\n" << std::flush;
            std::string line;
            while (!isOver && std::getline(stream, line) && line.rfind("READY I", 0) == 0) {
                std::this_thread::sleep_for(pauseOfCaller);
                stream.expires_after(std::chrono::seconds(3));
                const auto id = std::to_string(m_number) + "e7a21d94b" + std::to_string(++m_requests);
                const auto sentAt = steady::now();
                stream << "QUERY " << id << " WRITE a" << m_number << " x" << m_requests << "\r\n" << std::flush;
                std::getline(stream, line);
                m_record.add("request " + id + " is answered " + lineWithoutEnd(line));
                if (onAnswer) {
                    onAnswer(id, sentAt, line);
                }
            }
        }
    }

private:
    std::string m_address;
    int m_number;
    recorder &m_record;
    int m_requests = 0;
};

json configuration(int version = 7, const std::string &host = databaseName, int timeoutMs = 800)
{
    const json route{{"name", "r-n2ctnfz"},
                     {"host", host},
                     {"path_prefix", "/"},
                     {"route_type", "primary"},
                     {"timeout_ms", timeoutMs},
                     {"target_latency_ms", 120},
                     {"priority", 1},
                     {"service", serviceName},
                     {"attempts", 2}};
    const json service{{"name", serviceName}, {"max_connections", 16}, {"sync_replicas", 1}};
    return {{"config_version", version},
            {"routes", json::array({route})},
            {"services", json::array({service})},
            {"limits", {{"tx_idle_ms", 3000}}}};
}

bool isReady(const std::string &address)
{
    const auto colon = address.find(':');
    tcp::iostream stream(address.substr(0, colon), address.substr(colon + 1));
    stream << "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" << std::flush;
    std::string line;
    return std::getline(stream, line) && line.find(" 200 ") != std::string::npos;
}

struct daemon_addresses {
    std::string callers;
    std::string readiness;
    std::string relay;
    std::string metrics;
};

/** The stand-ins that every case has, and the daemons that they are for. */
class deployment
{
public:
    deployment(const std::string &folder, const std::string &recordFile, int daemonCount)
        : record(recordFile)
        , group(store, record)
        , platform(group, record)
    {
        const auto free = freeAddresses(daemonCount);
        store.put("config", "main", configuration());
        group.start();
        m_storePort.start([this](tcp::iostream &stream) {
            serveHttp(stream, [this](const http_call &call) { return std::optional(store.handle(call)); });
        });
        m_platformPort.start([this](tcp::iostream &stream) {
            serveHttp(stream, [this](const http_call &call) { return platform.handle(call); });
        });
        std::ofstream out(folder + "/addresses.new");
        for (const auto &addresses : free) {
            daemons.push_back(addresses);
            out << m_storePort.address() << ' ' << m_platformPort.address() << ' ' << addresses.callers << ' '
                << addresses.readiness << ' ' << addresses.relay << ' ' << addresses.metrics << '\n';
        }
        out.close();
        std::rename((folder + "/addresses.new").c_str(), (folder + "/addresses").c_str());
    }

    /** Whether all daemons have become ready in time. */
    bool areDaemonsReady() const
    {
        constexpr int mostPolls = 200;
        constexpr milliseconds pollInterval{100};
        int polls = 0;
        for (const auto &daemon : daemons) {
            while (!isReady(daemon.readiness)) {
                if (++polls == mostPolls) {
                    return false;
                }
                std::this_thread::sleep_for(pollInterval);
            }
        }
        return true;
    }

    /** Ends the case as one that could not run if a daemon does not become ready. */
    void awaitReadiness()
    {
        if (!areDaemonsReady()) {
            record.add("a daemon does not become ready");
            std::_Exit(2);
        }
    }

    recorder record;
    object_store store;
    database_group group;
    promotion_platform platform;
    std::vector<daemon_addresses> daemons;

private:
    static std::vector<daemon_addresses> freeAddresses(int count)
    {
        std::vector<std::unique_ptr<listener>> held; // Until all are known.
        const auto next = [&] {
            held.push_back(std::make_unique<listener>());
            return held.back()->address();
        };
        std::vector<daemon_addresses> found;
        found.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            found.push_back({next(), next(), next(), next()});
        }
        return found;
    }

    listener m_storePort;
    listener m_platformPort;
};

// ---- An answer with a configuration is lost

[[noreturn]] void playLostConfiguration(const std::string &folder, bool isTrouble, const std::string &recordFile)
{
    constexpr milliseconds age{4000};
    constexpr milliseconds untilStable{6000}; // Longer than stable_window_ms after the lost answer.
    constexpr milliseconds applyTime{3000}; // config_apply_ms
    constexpr milliseconds untilOver{7000};
    constexpr int changedTimeoutMs = 900;
    deployment site(folder, recordFile, 1);
    auto &record = site.record;
    site.store.setStaleAge(age);
    site.awaitReadiness();
    std::atomic<bool> isOver = false;
    std::atomic<steady::time_point> acceptedAt{steady::time_point::max()};
    std::atomic<int> late = 0;
    const auto judge = [&](const std::string &id, steady::time_point sentAt, const std::string &answer) {
        const auto accepted = acceptedAt.load();
        if (accepted == steady::time_point::max() || sentAt <= accepted + applyTime
            || answer.rfind("COMPLETE", 0) != 0) {
            return;
        }
        ++late;
        record.add("request " + id + " was sent "
                   + std::to_string(std::chrono::duration_cast<milliseconds>(sentAt - accepted).count())
                   + " ms after the store had accepted the version without its route, and is served");
    };
    for (int i = 0; i < callers; ++i) {
        std::thread([&, i] {
            caller one(site.daemons.front().callers, i, record);
            one.onAnswer = judge;
            one.run(isOver);
        }).detach();
    }
    std::this_thread::sleep_for(warmUp + age);
    if (isTrouble) {
        site.store.loseNextConfiguration();
    }
    site.store.put("config", "main", configuration(9, databaseName, changedTimeoutMs));
    record.add("the store has accepted version 9, with another timeout");
    std::this_thread::sleep_for(untilStable);
    if (isTrouble && !site.store.isConfigurationLost()) {
        std::_Exit(2);
    }
    site.store.put("config", "main", configuration(12, "huvo12b", changedTimeoutMs));
    acceptedAt = steady::now();
    record.add("the store has accepted version 12, without the route");
    std::this_thread::sleep_for(untilOver);
    isOver = true;
    record.add("requests served by the dropped route that were sent later than " + std::to_string(applyTime.count())
               + " ms: " + std::to_string(late));
    std::_Exit(late > 0 ? 1 : 0);
}

// ---- A daemon starts

[[noreturn]] void playStart(const std::string &folder, const std::string &recordFile)
{
    deployment site(folder, recordFile, 1);
    const bool areReady = site.areDaemonsReady();
    site.record.add(areReady ? "the daemon is ready" : "the daemon was not ready within 20 s");
    std::_Exit(areReady ? 0 : 1);
}

// ---- A primary leaves while promotions are carried out late

[[noreturn]] void playLeavingPrimary(const std::string &folder, bool isTrouble, const std::string &recordFile)
{
    deployment site(folder, recordFile, 1);
    auto &record = site.record;
    site.awaitReadiness();
    std::atomic<bool> isOver = false;
    for (int i = 0; i < callers; ++i) {
        std::thread([&, i] { caller(site.daemons.front().callers, i, record).run(isOver); }).detach();
    }
    std::this_thread::sleep_for(warmUp + longestWatch);
    if (isTrouble) {
        site.platform.setLate();
    }
    const auto watch = site.store.lastQuietWatch();
    while (site.store.lastQuietWatch() == watch) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    std::this_thread::sleep_until(site.store.lastQuietWatch() + phaseInWatch);
    const auto leaving = site.group.drainPrimary();
    record.add("primary " + leaving + " reports that it is draining; the store has accepted it");
    std::this_thread::sleep_for(stayTime);
    isOver = true;
    const auto [last, late] = site.group.lateRequests();
    record.add("last request at " + leaving + ' ' + std::to_string(last.count()) + " ms after its report; later than "
               + std::to_string(drainTime.count()) + " ms: " + std::to_string(late) + "; primary now "
               + site.group.primary());
    std::_Exit(late > 0 ? 1 : 0); // The threads of the stand-ins go on until then.
}

// ---- Two of the three daemons of a zone are stopped

/** The balancer of a zone: probes each daemon once a second, and leaves out those that have missed two probes. */
class balancer
{
public:
    explicit balancer(const std::vector<daemon_addresses> &daemons)
        : m_misses(daemons.size())
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            std::thread([this, i, address = daemons[i].readiness] {
                while (true) {
                    const bool isGood = isReady(address);
                    m_misses[i] = isGood ? 0 : m_misses[i] + 1;
                    std::this_thread::sleep_for(std::chrono::seconds(1));
                }
            }).detach();
        }
    }

    /** The daemon for a new connection. */
    std::size_t choose(std::minstd_rand &random) const
    {
        constexpr int mostMisses = 2;
        std::vector<std::size_t> all;
        std::vector<std::size_t> rotation;
        for (std::size_t i = 0; i < m_misses.size(); ++i) {
            all.push_back(i);
            if (m_misses[i] < mostMisses) {
                rotation.push_back(i);
            }
        }
        // If fewer than half of a zone's daemons are in rotation, all of them are used.
        const auto &used = rotation.size() * 2 < all.size() ? all : rotation;
        return used[random() % used.size()];
    }

private:
    std::vector<std::atomic<int>> m_misses;
};

struct stopped_daemon {
    pid_t pid = 0;
    std::optional<steady::time_point> at;
};

/** Opens one session after the other, for one write each. */
void callOneByOne(deployment &site,
                  const balancer &entry,
                  const std::vector<stopped_daemon> &stops,
                  int number,
                  const std::atomic<bool> &isOver,
                  std::atomic<int> &lost)
{
    constexpr milliseconds deadline{3000};
    constexpr milliseconds firstThird{3000}; // A request that was sent earlier may be cut off at the end.
    std::minstd_rand random(static_cast<unsigned>(number) + 1);
    for (int i = 0; !isOver; ++i) {
        const auto chosen = entry.choose(random);
        const auto &address = site.daemons[chosen].callers;
        const auto colon = address.find(':');
        tcp::iostream stream;
        stream.expires_after(deadline);
        stream.connect(address.substr(0, colon), address.substr(colon + 1));
        stream << "STARTUP " << databaseName << " u" << number << "\r\n" << std::flush;
        std::string line;
        if (!std::getline(stream, line)) {
            std::this_thread::sleep_for(pauseOfCaller); // Closed while nothing was asked, or nobody listens.
            continue;
        }
        const auto id = std::to_string(number) + "d94b" + std::to_string(i);
        const auto sentAt = steady::now();
        stream << "QUERY " << id << " WRITE a" << number << " x" << i << "\r\n" << std::flush;
        std::string outcome;
        const bool isAnswered = std::getline(stream, outcome) && std::getline(stream, line);
        const auto stop = stops[chosen].at;
        const bool isCounted = stop && sentAt > *stop + firstThird;
        const bool isLost = !isAnswered && site.group.hasGot(id) && isCounted && !isOver;
        lost += isLost ? 1 : 0;
        if (!isAnswered) {
            const auto since = stop ? std::chrono::duration_cast<milliseconds>(sentAt - *stop) : milliseconds(0);
            site.record.add("request " + id + " to daemon " + std::to_string(chosen) + ", sent "
                            + std::to_string(since.count()) + " ms after its SIGTERM, ends without an answer; database "
                            + (site.group.hasGot(id) ? "has got it" : "has not got it"));
        }
        stream << "TERMINATE\r\n" << std::flush;
    }
}

[[noreturn]] void playStoppedDaemons(const std::string &folder, bool isTrouble, const std::string &recordFile)
{
    constexpr int daemonCount = 3;
    constexpr int callerCount = 24;
    constexpr milliseconds work{40};
    constexpr milliseconds untilOver{9000}; // More than grace_s and a second.
    deployment site(folder, recordFile, daemonCount);
    site.group.setWork(work);
    site.awaitReadiness();
    std::vector<stopped_daemon> stops(daemonCount);
    std::ifstream pids(folder + "/pids");
    for (auto &stop : stops) {
        pids >> stop.pid;
    }
    const balancer entry(site.daemons);
    std::atomic<bool> isOver = false;
    std::atomic<int> lost = 0;
    std::this_thread::sleep_for(warmUp);
    const std::size_t stopped = isTrouble ? 2 : 1;
    for (std::size_t i = 0; i < stopped; ++i) {
        stops[i].at = steady::now() + warmUp;
    }
    for (int i = 0; i < callerCount; ++i) {
        std::thread([&, i] { callOneByOne(site, entry, stops, i, isOver, lost); }).detach();
    }
    std::this_thread::sleep_until(*stops[0].at);
    for (std::size_t i = 0; i < stopped; ++i) {
        ::kill(stops[i].pid, SIGTERM);
        site.record.add("SIGTERM to daemon " + std::to_string(i));
    }
    std::this_thread::sleep_for(untilOver);
    isOver = true;
    site.record.add("requests that a database had got and that were not answered: " + std::to_string(lost));
    std::_Exit(lost > 0 ? 1 : 0);
}

}

/**
 * scenario CASE FOLDER TROUBLE RECORD. Writes FOLDER/addresses, a line for each daemon: of the store, the promotion
 * call, and four free ones (callers, readiness, relay, metrics). Reads the process ids of the daemons from FOLDER/pids.
 * Ends with 1 if the rule was broken, 0 if it held, 2 if it could not run.
 */
int main(int argc, char **argv)
{
    constexpr int expectedArguments = 5;
    if (argc != expectedArguments) {
        return 2;
    }
    std::thread([] {
        constexpr std::chrono::seconds longestCase{100};
        std::this_thread::sleep_for(longestCase);
        std::_Exit(2);
    }).detach();
    const std::string name = argv[1];
    const bool isTrouble = std::string(argv[3]) != "0";
    if (name == "leaving-primary") {
        playLeavingPrimary(argv[2], isTrouble, argv[4]);
    }
    if (name == "lost-configuration") {
        playLostConfiguration(argv[2], isTrouble, argv[4]);
    }
    if (name == "start") {
        playStart(argv[2], argv[4]);
    }
    if (name == "stopped-daemons") {
        playStoppedDaemons(argv[2], isTrouble, argv[4]);
    }
    return 2;
}
