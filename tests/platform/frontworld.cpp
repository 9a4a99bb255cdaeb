#include "frontworld.h"

#include "systemclock.h"

#include <asio/ip/address.hpp>

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace crocusdeal::test
{

line_client::line_client(asio::io_context &io, const host_port &address)
    : m_stream(std::make_shared<byte_stream>(io))
{
    m_stream->onData = [received = m_received](std::string &inbound) {
        received->append(inbound);
        inbound.clear();
    };
    m_stream->onClosed = [isClosed = m_isClosed](const std::string &) { *isClosed = true; };
    m_stream->connect(address, [] {});
}

line_client::~line_client()
{
    m_stream->close();
}

void line_client::startUp(const std::string &database, const std::string &key)
{
    send("STARTUP " + database + (key.empty() ? "" : " " + key));
}

void line_client::send(const std::string &line)
{
    m_stream->send(line + "\r\n");
}

bool line_client::hasAnswer() const
{
    const auto ready = m_received->rfind("READY ", 0) == 0 ? 0 : m_received->find("\nREADY ");
    return ready != std::string::npos && m_received->find("\r\n", ready + 1) != std::string::npos;
}

std::string line_client::takeAnswer()
{
    std::string answer;
    while (true) {
        const auto end = m_received->find("\r\n");
        const auto line = m_received->substr(0, end);
        m_received->erase(0, end + 2);
        answer += (answer.empty() ? "" : "|") + line;
        if (line.rfind("READY", 0) == 0 || m_received->empty()) {
            return answer;
        }
    }
}

bool line_client::isClosed() const
{
    return *m_isClosed;
}

void line_client::close()
{
    m_stream->close();
}

front_world::front_world()
    : io(1)
    , deadlines(io)
    , log("test", std::getenv("CROCUSDEAL_TEST_LOG") != nullptr ? log_level::Debug : log_level::Error)
    , context{io, deadlines, log, targetProtocol, callerProtocol, metrics}
    , store(io, deadlines)
    , group(io, deadlines, "svc")
{
    store.group = &group;
    const auto addRoute = [&](const std::string &database, consistency reads) {
        database_route route;
        route.name = database;
        route.database = database;
        route.service = service_id("svc");
        route.readConsistency = reads;
        route.statementTimeout = duration{800};
        route.latencyObjective = duration{200};
        route.maxStaleness = duration{1500};
        configuration.routes.emplace(database, route);
    };
    addRoute("fresh", consistency::Primary);
    addRoute("own", consistency::ReadYourWrites);
    addRoute("stale", consistency::BoundedStaleness);
    configuration.version = 1;
    configuration.services.emplace(service_id("svc"), service_policy{12, 1});
    for (const char *id : {"a", "b", "c"}) {
        addDatabase(id);
    }
    settings.instance = instance_id("front-1");
    settings.dataCentre = data_centre_id("here");
    settings.callerAddress = holdAddress();
    settings.readinessAddress = holdAddress();
    settings.readinessPath = "/ready";
}

front_world::~front_world()
{
    // Connections hold their sessions and the other way round; ending both sides lets go of them.
    if (node) {
        node->close();
    }
    for (const auto &[id, database] : group.databases) {
        database->crash();
    }
    deadlines.cancelAll();
    runFor(duration{20});
    deadlines.cancelAll();
}

line_database &front_world::addDatabase(const std::string &id, bool isDraining)
{
    auto &database = group.add(id);
    publishEntry(id, isDraining);
    return database;
}

void front_world::publishEntry(const std::string &id, bool isDraining)
{
    const auto &database = group.at(id);
    target_entry entry;
    entry.id = target_id(id);
    entry.service = service_id("svc");
    entry.address = database.address();
    const auto elsewhere = dataCentres.find(id);
    entry.dataCentre = data_centre_id(elsewhere == dataCentres.end() ? "here" : elsewhere->second);
    entry.slots = 2;
    entry.isDraining = isDraining;
    entry.claimsPrimary = database.isPrimary;
    entry.incarnation = 1;
    store.putTarget(entry);
}

host_port front_world::holdAddress()
{
    return {"127.0.0.1", m_ports.emplace_back().number()};
}

void front_world::start()
{
    store.setConfiguration(configuration);
    node = std::make_shared<front>(context, settings, store, store);
    const auto problem = node->start();
    if (!problem.empty()) {
        throw std::runtime_error(problem);
    }
    runUntil([this] { return node->isReady(); });
    // A service is served from its first session on.
    connect("fresh")->close();
    runFor(duration{200});
}

bool front_world::runUntil(const std::function<bool()> &isDone, duration limit)
{
    const auto end = systemNow() + limit;
    while (!isDone()) {
        if (systemNow() >= end) {
            return false;
        }
        io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

void front_world::runFor(duration time)
{
    const auto end = systemNow() + time;
    runUntil([end] { return systemNow() >= end; }, time + duration{1000});
}

std::string front_world::answerToStartup(const std::string &database, const std::string &key)
{
    line_client client(io, settings.callerAddress);
    client.startUp(database, key);
    runUntil([&] { return client.hasAnswer() || client.isClosed(); });
    return client.takeAnswer();
}

std::unique_ptr<line_client> front_world::connect(const std::string &database, const std::string &key)
{
    auto client = std::make_unique<line_client>(io, settings.callerAddress);
    client->startUp(database, key);
    runUntil([&] { return client->hasAnswer() || client->isClosed(); });
    if (client->hasAnswer()) {
        client->takeAnswer();
    }
    return client;
}

std::string front_world::ask(line_client &client, const std::string &text)
{
    client.send("QUERY q" + std::to_string(m_nextId++) + " " + text);
    if (!runUntil([&] { return client.hasAnswer() || client.isClosed(); })) {
        return "no answer";
    }
    return client.hasAnswer() ? client.takeAnswer() : "closed";
}

bool front_world::isReady()
{
    return node->isReady();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

void assertContains(const std::string &part, const std::string &text)
{
    CPPUNIT_ASSERT_MESSAGE("\"" + part + "\" expected in: " + text, contains(text, part));
}

int timesRun(const line_database &database, const std::string &text)
{
    return static_cast<int>(std::count(database.statements.begin(), database.statements.end(), text));
}

bool wasPaused(const line_database &database)
{
    return std::any_of(database.controls.begin(), database.controls.end(), [](const std::string &text) {
        return text.rfind("PAUSE", 0) == 0;
    });
}

void startAgain(line_database &database)
{
    database.crash();
    database.received = 0;
    database.log.clear();
    database.items.clear();
    database.pausedAt = 0;
    database.listen();
}

}
