#include "world.h"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <utility>

namespace review
{

namespace
{

using nlohmann::json;

constexpr std::int64_t warmUpMs = 3000;
constexpr std::int64_t reconnectMs = 100;
const std::string service = "orders-db-1";

json route(const std::string &host, const std::string &type, int staleness)
{
    json one{{"name", "route-" + host},
             {"host", host},
             {"service", service},
             {"route_type", type},
             {"timeout_ms", 800},
             {"target_latency_ms", 200},
             {"priority", 1}};
    if (staleness > 0) {
        one["max_staleness_ms"] = staleness;
    }
    return one;
}

json configuration()
{
    return {{"config_version", 11},
            {"routes",
             {route("orders", "primary", 0),
              route("plans", "read_your_writes", 2500),
              route("stock", "bounded_staleness", 1500)}},
            {"services", {{{"name", service}, {"max_connections", 16}, {"sync_replicas", 1}}}},
            {"limits", {{"tx_idle_ms", 5000}}}};
}

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return pattern;
}

pid_t spawn(const std::string &program, const std::string &settings, const std::string &logFile)
{
    const auto child = ::fork();
    if (child != 0) {
        return child;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    // The listeners of the stand-ins are not the daemon's.
    constexpr int firstOther = 3;
    constexpr int lastOther = 1024;
    for (int fd = firstOther; fd < lastOther; ++fd) {
        ::close(fd);
    }
    ::execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
    ::_exit(127);
}

}

client::client(loop &events, std::string address, std::string database, std::string name)
    : m_loop(events)
    , m_address(std::move(address))
    , m_database(std::move(database))
    , m_name(std::move(name))
{
}

void client::start()
{
    connect();
}

void client::connect()
{
    m_isStarted = false;
    m_answer.clear();
    connectTo(m_loop, m_address, [self = shared_from_this()](const std::shared_ptr<connection> &stream) {
        if (!stream) {
            self->reconnectLater();
            return;
        }
        self->m_stream = stream;
        stream->onData = [self](std::string &inbound) { self->handleData(inbound); };
        stream->onClosed = [self] { self->ended(); };
        stream->start();
        stream->send("STARTUP " + self->m_database + " " + self->m_name + "\r\n");
    });
}

void client::reconnectLater()
{
    if (reconnects) {
        m_loop.after(reconnectMs, [self = shared_from_this()] { self->connect(); });
    }
}

void client::handleData(std::string &inbound)
{
    for (auto end = inbound.find("\r\n"); end != std::string::npos; end = inbound.find("\r\n")) {
        const auto line = inbound.substr(0, end);
        inbound.erase(0, end + 2);
        m_answer += (m_answer.empty() ? "" : "|") + line;
        if (line.rfind("READY ", 0) == 0) {
            handleAnswer();
        }
    }
}

void client::handleAnswer()
{
    const auto answer = std::exchange(m_answer, {});
    if (!std::exchange(m_isStarted, true)) {
        sendNext();
        return;
    }
    if (!m_current.isSent) {
        onResult(
            {m_current.id, "an answer to nothing, the client ends the session", false, false, m_loop.now(), answer});
        m_stream->close();
        return;
    }
    m_current.answer = answer;
    m_current.isSuccess = answer.find("COMPLETE ") != std::string::npos && answer.find("ERROR ") == std::string::npos;
    m_current.isSent = false;
    onResult(m_current);
    if (pauseMs == 0) {
        sendNext();
        return;
    }
    m_loop.after(pauseMs, [self = shared_from_this(), stream = m_stream] {
        if (stream->isOpen() && stream == self->m_stream) {
            self->sendNext();
        }
    });
}

void client::sendNext()
{
    const auto text = next();
    if (text.empty()) {
        reconnects = false;
        m_stream->send("TERMINATE\r\n");
        return;
    }
    m_current = {m_name + "n" + std::to_string(++m_sent), text, true, false, m_loop.now(), {}};
    m_stream->send("QUERY " + m_current.id + " " + text + "\r\n");
}

void client::ended()
{
    if (std::exchange(m_current.isSent, false)) {
        m_current.answer = m_answer;
        onResult(m_current);
    }
    reconnectLater();
}

world::world(const std::string &recordFile, std::size_t daemons)
    : store(events, daemons)
    , duty(events)
    , databases(events, service, daemons, [this](const std::string &line) { record(line); })
    , m_record(recordFile)
    , m_folder(makeFolder())
{
    store.put("config", "main", configuration());
    store.onAnswer = [this](std::size_t path, std::string text) {
        for (const auto &[id, one] : databases.databases) {
            const auto name = "at:" + id;
            for (auto at = text.find(name); at != std::string::npos; at = text.find(name)) {
                text.replace(at, name.size(), one->address(path));
            }
        }
        return text;
    };
    duty.onCall = [](const promotion_service::order &) { return false; };
    duty.onOrder = [this](const promotion_service::order &order) {
        record("the platform carries out: " + order.target + " is to lead, fencing token "
               + std::to_string(order.token));
        return databases.promote(order.target, promoteMs);
    };
    databases.onPromoted = [](database &) {};
}

world::~world()
{
    for (const auto process : fronts) {
        if (!m_ended.contains(process)) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(m_folder, ignored);
    } else {
        std::cerr << m_folder << '\n';
    }
}

void world::record(const std::string &line)
{
    m_record << events.now() << " ms  " << line << '\n';
}

void world::addDatabase(const std::string &id, const std::string &zone, database_figures figures)
{
    m_zones[id] = zone;
    databases.add(id, figures);
    publish(id, false);
}

void world::publish(const std::string &id, bool isDraining)
{
    const auto &one = databases.at(id);
    store.put("servers",
              id,
              {{"service", service},
               {"address", "at:" + id},
               {"zone", m_zones.at(id)},
               {"config_version", 11},
               {"slots", 2},
               {"state", isDraining ? "draining" : "ready"},
               {"warmup_left_ms", 0},
               {"sequence", events.now()},
               {"born", 1'790'000'000'000 + one.born},
               {"db_role", one.isPrimary ? "primary" : "replica"}});
}

void world::crash(const std::string &id)
{
    constexpr std::int64_t removedAfterMs = 3000; // Between two and three heartbeats of 1.2 s after the last one.
    record(id + " crashes");
    databases.at(id).kill();
    events.after(removedAfterMs, [this, id] {
        record("the entry of " + id + " is removed");
        store.remove("servers", id);
    });
}

void world::startAgain(const std::string &oldId, const std::string &newId)
{
    databases.startAs(oldId, newId);
    m_zones[newId] = m_zones.at(oldId);
    const auto &one = databases.at(newId);
    const auto held = one.log.empty() ? std::string("nothing") : std::to_string(one.log.size()) + " commits";
    record(newId + " is what " + oldId + " was, as " + (one.isPrimary ? "primary" : "replica") + ", and holds " + held);
    publish(newId, false);
}

void world::startFront(const std::string &zone)
{
    const auto number = std::to_string(fronts.size() + 1);
    const auto callers = freeAddress(events);
    const json settings{{"instance", "front-" + zone + "-" + number},
                        {"data_centre", zone},
                        {"caller_address", callers},
                        {"readiness", {{"address", freeAddress(events)}, {"path", "/api/ready"}}},
                        {"metrics_address", freeAddress(events)},
                        {"relay_address", freeAddress(events)},
                        {"store_address", store.address(fronts.size())},
                        {"authority_address", duty.address()},
                        {"drain_ms", 7000},
                        {"grace_s", 6},
                        {"configuration_apply_ms", 3000}};
    const auto file = m_folder + "/front-" + number + ".json";
    std::ofstream(file) << settings.dump(1) << '\n';
    fronts.push_back(spawn("target/platform/crocusdealfront", file, m_folder + "/front-" + number + ".log"));
    frontAddresses.push_back(callers);
}

void world::warmUp()
{
    events.runUntil(events.now() + warmUpMs);
}

std::shared_ptr<client> world::addClient(std::size_t front, const std::string &route)
{
    auto one = std::make_shared<client>(events, frontAddresses.at(front), route, "c" + std::to_string(++m_clients));
    one->onResult = [this](const client::result &result) {
        record(result.id + " sent at " + std::to_string(result.sentAt) + " ms: " + result.text + " -> "
               + (result.answer.empty() ? "no answer" : result.answer));
        if (result.isSuccess && result.text.rfind("WRITE ", 0) == 0) {
            acknowledged.push_back(result.id);
        }
    };
    return one;
}

bool world::isFrontRunning(std::size_t front)
{
    const auto process = fronts.at(front);
    if (!m_ended.contains(process) && ::waitpid(process, nullptr, WNOHANG) == process) {
        m_ended.insert(process);
    }
    return !m_ended.contains(process);
}

}
