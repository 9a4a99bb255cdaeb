#include "cluster.h"

#include <cppunit/TestAssert.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace crocusdeal
{

namespace
{

using namespace std::chrono_literals;

/** Of one group. */
constexpr std::size_t databaseCount = 3;
constexpr std::chrono::milliseconds promoteLimit = 20s;
/** Sanitizer builds start several times slower. */
constexpr std::chrono::milliseconds startLimit = 30s;
constexpr const char *serviceName = "orders";
constexpr const char *secondServiceName = "records";
constexpr std::streamoff maxPrintedLog = 6000;

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string dataCentre(std::size_t index)
{
    return "dc-" + std::to_string(index);
}

std::string instanceName(std::size_t index)
{
    return "instance-" + std::to_string(index);
}

std::string databaseName(std::size_t index)
{
    return "database-" + std::to_string(index);
}

/** The names that the instance's connections for callers and for control carry. */
std::vector<std::string> connectionNames(std::size_t instance)
{
    const auto name = instanceName(instance);
    const auto control = "crocusdeal-control-" + name;
    return {"crocusdeal-" + name, control, control + "-promotion"};
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}

bool waitFor(std::chrono::milliseconds timeout, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

cluster::cluster(cluster_options options)
    : m_options(std::move(options))
    , m_exceptions(std::uncaught_exceptions())
{
    auto name = (std::filesystem::temp_directory_path() / "crocusdeal-test-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("mkdtemp");
    }
    m_directory = name;
    if (m_options.tls) {
        makeCertificate();
    }
    startPlatform();
    startDatabases();
    CPPUNIT_ASSERT_EQUAL(200, publish(0, configuration()));
    choosePorts();
    const auto started = static_cast<std::size_t>(m_options.instances);
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        writeSettings(i);
    }
    for (std::size_t i = 0; i < started; ++i) {
        startInstance(i);
    }
    for (std::size_t i = 0; i < started; ++i) {
        if (!waitUntilServing(i, startLimit)) {
            printLogs();
            CPPUNIT_FAIL("instance " + std::to_string(i) + " does not serve");
        }
    }
}

cluster::~cluster()
{
    if (std::uncaught_exceptions() > m_exceptions) {
        printLogs();
    }
    m_instances.clear();
    m_databases.clear();
    m_platform.reset();
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

std::uint16_t cluster::newPort()
{
    m_ports.emplace_back();
    return m_ports.back().number();
}

void cluster::choosePorts()
{
    m_instances.resize(static_cast<std::size_t>(m_options.instances)
                       + static_cast<std::size_t>(m_options.spareInstances));
    for (auto &entry : m_instances) {
        entry.callerPort = newPort();
        entry.controlPort = newPort();
        entry.advertisedPort = entry.controlPort;
        entry.adminPort = newPort();
        if (m_options.relays) {
            entry.advertisedPort = newPort();
            entry.relay = std::make_unique<control_relay>(entry.advertisedPort, entry.controlPort);
        }
    }
}

void cluster::startPlatform()
{
    m_platform = std::make_unique<child_process>(CROCUSDEAL_BINARY_DIR "/src/standins/platformstandin",
                                                 std::vector<std::string>{"--listen", "127.0.0.1:0"},
                                                 logFile("platform"));
    const auto line = m_platform->readLine(startLimit).value_or("");
    m_platformAddress = line.substr(line.rfind(' ') + 1);
}

void cluster::startDatabases()
{
    const auto count = databaseCount * static_cast<std::size_t>(m_options.groups);
    for (std::size_t i = 0; i < count; ++i) {
        const auto name = databaseName(i);
        std::vector<std::string> arguments{
            "--name",
            name,
            "--connections",
            std::to_string(std::max(m_options.connections, m_options.acceptedConnections)),
            "--slots",
            std::to_string(m_options.slots),
            "--connect-ms",
            std::to_string(m_options.connectMs),
            "--lag-ms",
            std::to_string(m_options.lagMs),
            "--statement-us",
            std::to_string(m_options.statementUs),
            "--data",
            m_directory / (name + ".data")};
        if (const auto first = i - i % databaseCount; i > first) {
            arguments.insert(arguments.end(), {"--follow", m_databases[first]->address()});
        }
        m_databases.push_back(std::make_unique<database_process>(arguments, logFile(name)));
    }
}

void cluster::makeCertificate() const
{
    child_process openssl("/usr/bin/openssl",
                          {"req",
                           "-x509",
                           "-newkey",
                           "rsa:2048",
                           "-nodes",
                           "-days",
                           "1",
                           "-subj",
                           "/CN=localhost",
                           "-keyout",
                           m_directory / "key.pem",
                           "-out",
                           m_directory / "certificate.pem"},
                          logFile("openssl"));
    CPPUNIT_ASSERT(openssl.wait(startLimit) == 0);
}

void cluster::writeSettings(std::size_t index) const
{
    const auto &entry = m_instances[index];
    auto peers = nlohmann::json::array();
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        if (i != index) {
            peers.push_back(loopback(m_instances[i].advertisedPort));
        }
    }
    nlohmann::json settings{{"instance", instanceName(index)},
                            {"data_centre", dataCentre(index)},
                            {"caller_address", loopback(entry.callerPort)},
                            {"control_address", loopback(entry.controlPort)},
                            {"admin_address", loopback(entry.adminPort)},
                            {"advertised",
                             {{"caller_address", loopback(entry.callerPort)},
                              {"control_address", loopback(entry.advertisedPort)},
                              {"admin_address", loopback(entry.adminPort)}}},
                            {"platform_address", m_platformAddress},
                            {"peers", std::move(peers)},
                            {"workers", 2},
                            {"log_level", "info"},
                            {"user", "crocusdeal"}};
    if (m_options.tls) {
        settings["tls"] = {{"certificate", (m_directory / "certificate.pem").string()},
                           {"key", (m_directory / "key.pem").string()}};
    }
    std::ofstream(settingsFile(index)) << settings.dump();
}

void cluster::startInstance(std::size_t index)
{
    m_instances[index].process =
        std::make_unique<child_process>(CROCUSDEAL_BINARY_DIR "/src/crocusdeald/crocusdeald",
                                        std::vector<std::string>{"--settings", settingsFile(index)},
                                        logFile(instanceName(index)));
}

void cluster::killInstance(std::size_t index)
{
    instance(index).signal(SIGKILL);
    instance(index).wait(startLimit);
}

void cluster::killDatabase(std::size_t index)
{
    database(index).process().signal(SIGKILL);
    database(index).process().wait(startLimit);
}

bool cluster::waitUntilServing(std::size_t instance, std::chrono::milliseconds timeout) const
{
    return waitFor(timeout, [&] {
        auto caller = connect(instance);
        return caller.connected() && caller.runWithin("SELECT 1", timeout).value() == "1";
    });
}

bool cluster::isReady(std::size_t instance) const
{
    httplib::Client client("http://" + loopback(m_instances.at(instance).adminPort));
    const auto answer = client.Get("/ready");
    return answer && answer->status == 200;
}

database_process &cluster::database(std::size_t index) const
{
    return *m_databases.at(index);
}

child_process &cluster::instance(std::size_t index) const
{
    return *m_instances.at(index).process;
}

std::uint16_t cluster::callerPort(std::size_t instance) const
{
    return m_instances.at(instance).callerPort;
}

pg_client cluster::connect(std::size_t instance, const std::string &parameters) const
{
    return pg_client(callerPort(instance), std::string("dbname=") + serviceName + ' ' + parameters);
}

std::string cluster::stateOf(std::size_t index) const
{
    try {
        std::istringstream fields(database(index).admin("status"));
        std::string ok;
        std::string term;
        std::string role;
        std::string at;
        fields >> ok >> term >> role >> at;
        return at.empty() ? "" : term + ' ' + role + ' ' + at;
    } catch (const std::exception &) {
        return "";
    }
}

operator_answer cluster::promote(std::size_t instance, std::size_t target) const
{
    httplib::Client client("http://" + loopback(m_instances.at(instance).adminPort));
    client.set_read_timeout(promoteLimit);
    const auto group = target < databaseCount ? serviceName : secondServiceName;
    const auto answer =
        client.Post("/promote?group=" + std::string(group) + "&target=" + databaseName(target), "", "application/json");
    return answer ? operator_answer{answer->status, answer->body} : operator_answer{};
}

std::optional<std::size_t> cluster::primary(std::size_t group) const
{
    std::optional<std::size_t> found;
    std::uint64_t highest = 0;
    for (std::size_t i = group * databaseCount; i < (group + 1) * databaseCount; ++i) {
        const auto state = stateOf(i);
        const auto term = state.empty() ? 0 : std::stoull(state);
        if (state.find(" primary ") != std::string::npos && term > highest) {
            highest = term;
            found = i;
        }
    }
    return found;
}

std::size_t cluster::waitForPrimaryOtherThan(std::size_t index, std::chrono::milliseconds timeout) const
{
    std::optional<std::size_t> found;
    const bool done = waitFor(timeout, [&] {
        found = primary();
        return found && *found != index;
    });
    CPPUNIT_ASSERT_MESSAGE("no other primary", done);
    return *found;
}

void cluster::cutDatabase(std::size_t index, const std::vector<std::size_t> &others) const
{
    for (const auto other : others) {
        // Replication runs over connections of the follower to the followed, so both sides have to cut.
        database(index).admin("cut_from " + databaseName(other));
        database(index).admin("cut_to " + databaseName(other));
        database(other).admin("cut_from " + databaseName(index));
        database(other).admin("cut_to " + databaseName(index));
    }
}

void cluster::cutInstance(std::size_t index, std::size_t instance) const
{
    for (const auto &name : connectionNames(instance)) {
        database(index).admin("cut_from " + name);
        database(index).admin("cut_to " + name);
    }
}

void cluster::lingerInstance(std::size_t instance) const
{
    for (const auto &each : m_databases) {
        for (const auto &name : connectionNames(instance)) {
            each->admin("linger " + name);
        }
    }
}

void cluster::cutInstances() const
{
    for (const auto &entry : m_instances) {
        entry.relay->setCut(true);
    }
}

void cluster::healAll() const
{
    for (const auto &entry : m_instances) {
        if (entry.relay) {
            entry.relay->setCut(false);
        }
    }
    for (const auto &each : m_databases) {
        each->admin("heal");
    }
}

std::string cluster::configuration(const std::vector<std::string> &services,
                                   const std::vector<std::string> &drained) const
{
    auto all = nlohmann::json::array();
    const auto add = [&](const std::string &service, const std::string &group, std::size_t first) {
        auto targets = nlohmann::json::array();
        for (std::size_t i = first; i < first + databaseCount; ++i) {
            targets.push_back(
                {{"id", databaseName(i)}, {"address", database(i).address()}, {"data_centre", dataCentre(i)}});
        }
        all.push_back({{"service", service},
                       {"group", group},
                       {"targets", std::move(targets)},
                       {"limits", {{"connections", m_options.connections}, {"slots", m_options.slots}}},
                       {"writes", {{"confirm", m_options.confirm}}},
                       {"reads", nlohmann::json::parse(m_options.reads)},
                       {"queue", {{"deadline_ms", m_options.deadlineMs}}},
                       {"drained", drained}});
    };
    for (const auto &service : services) {
        add(service, serviceName, 0);
    }
    if (m_options.groups > 1) {
        add(secondServiceName, secondServiceName, databaseCount);
    }
    return nlohmann::json{{"services", std::move(all)}}.dump();
}

std::uint64_t cluster::publishedVersion() const
{
    httplib::Client client("http://" + m_platformAddress);
    const auto answer = client.Get("/v1/objects/config/services");
    return answer && answer->status == 200 ? nlohmann::json::parse(answer->body).value("version", std::uint64_t{0}) : 0;
}

int cluster::publish(std::uint64_t ifVersion, const std::string &value) const
{
    httplib::Client client("http://" + m_platformAddress);
    const nlohmann::json body{{"if_version", ifVersion}, {"value", nlohmann::json::parse(value)}};
    const auto answer = client.Put("/v1/objects/config/services", body.dump(), "application/json");
    return answer ? answer->status : 0;
}

void cluster::setPlatformFaults(const std::string &json) const
{
    httplib::Client client("http://" + m_platformAddress);
    const auto answer = client.Put("/admin/faults", json, "application/json");
    CPPUNIT_ASSERT(answer && answer->status == 200);
}

std::vector<std::uint64_t> cluster::versionsInForce(std::size_t instance) const
{
    const std::string before = "config: version ";
    std::vector<std::uint64_t> versions;
    std::istringstream lines(logOf(instance));
    for (std::string line; std::getline(lines, line);) {
        const auto at = line.find(before);
        if (at != std::string::npos && line.find(" in force") != std::string::npos) {
            versions.push_back(std::stoull(line.substr(at + before.size())));
        }
    }
    return versions;
}

std::string cluster::logOf(std::size_t instance) const
{
    return readFile(logFile(instanceName(instance)));
}

const std::filesystem::path &cluster::directory() const
{
    return m_directory;
}

std::string cluster::settingsFile(std::size_t index) const
{
    return m_directory / (instanceName(index) + ".json");
}

std::string cluster::logFile(const std::string &name) const
{
    return m_directory / (name + ".log");
}

void cluster::printLogs() const
{
    for (const auto &file : std::filesystem::directory_iterator(m_directory)) {
        if (file.path().extension() != ".log") {
            continue;
        }
        const auto text = readFile(file.path());
        const auto size = static_cast<std::streamoff>(text.size());
        std::cerr << "== " << file.path().filename().string() << '\n'
                  << text.substr(static_cast<std::size_t>(std::max<std::streamoff>(0, size - maxPrintedLog))) << '\n';
    }
}

}
