#pragma once

#include "controlrelay.h"
#include "databasegroup.h"
#include "heldport.h"
#include "pgclient.h"
#include "processrunner.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

struct cluster_options {
    int instances = 2;
    int spareInstances = 0; ///< Not started; numbered after the others.
    int connections = 40; ///< Per database.
    int acceptedConnections = 0; ///< What a database accepts, if more than the configured limit shall be seen.
    int slots = 4; ///< Per database.
    int connectMs = 5;
    int lagMs = 0;
    int statementUs = 0;
    int deadlineMs = 2000; ///< For the start of a request.
    std::string confirm = "replica";
    std::string reads = "{}"; ///< Value of "reads" in the service file.
    bool tls = false;
    int groups = 1; ///< Each of three databases, with a service of its own.
    bool relays = false; ///< The instances talk through relays, which cutInstances() cuts.
};

/** The answer of an instance to an operator. */
struct operator_answer {
    int status = 0; ///< Of HTTP; 0 if there was no answer.
    std::string body;
};

/**
 * A platform stand-in, groups of three databases, and instances that serve the first group as the service "orders" and
 * the second one as "records".
 *
 * Database 0 is the first primary of the first group, database 3 that of the second. Each instance has its own data
 * centre, which it shares with the database of its number. The logs of all processes lie in a temporary directory; they
 * are printed when a test fails.
 */
class cluster
{
public:
    explicit cluster(cluster_options options = {});
    ~cluster();
    cluster(const cluster &) = delete;
    cluster &operator=(const cluster &) = delete;

    database_process &database(std::size_t index) const;
    child_process &instance(std::size_t index) const;
    std::uint16_t callerPort(std::size_t instance) const;
    /** A new session of a caller; its service is "orders" unless @p parameters have another dbname. */
    pg_client connect(std::size_t instance, const std::string &parameters = "") const;

    /** Starts an instance that has ended, with the same settings. */
    void startInstance(std::size_t index);
    void killInstance(std::size_t index);
    void killDatabase(std::size_t index);
    /** True once a statement has been answered through the instance. */
    bool waitUntilServing(std::size_t instance, std::chrono::milliseconds timeout) const;

    /** Asks an instance to make a database the primary of its group. */
    operator_answer promote(std::size_t instance, std::size_t target) const;

    /** Answer of admin /ready. */
    bool isReady(std::size_t instance) const;

    /** The primary of the highest term among the databases of the group that answer. */
    std::optional<std::size_t> primary(std::size_t group = 0) const;
    /** The same once it is another one than @p index; fails the test after the timeout. */
    std::size_t waitForPrimaryOtherThan(std::size_t index, std::chrono::milliseconds timeout) const;
    /** Role, term and position of a database, as "term role position"; empty if it does not answer. */
    std::string stateOf(std::size_t index) const;
    /** Cuts a database off from the given other databases, in both directions. */
    void cutDatabase(std::size_t index, const std::vector<std::size_t> &others) const;
    /** Cuts all connections between a database and an instance, in both directions. */
    void cutInstance(std::size_t database, std::size_t instance) const;
    /** The databases do not notice that connections of the instance end, until healAll(). */
    void lingerInstance(std::size_t instance) const;
    /** Cuts all instances off from each other; needs relays. */
    void cutInstances() const;
    void healAll() const;

    /** The published object: the services of the first group, the drained targets, and "records" if there is a second
     * group. */
    std::string configuration(const std::vector<std::string> &services = {"orders"},
                              const std::vector<std::string> &drained = {}) const;
    /** A conditional update of config/services; the HTTP status, 0 if the answer was lost. */
    int publish(std::uint64_t ifVersion, const std::string &value) const;
    /** Version of config/services at the platform; 0 if it does not answer. */
    std::uint64_t publishedVersion() const;
    void setPlatformFaults(const std::string &json) const;
    /** Versions of the configuration that the instance logged as in force, in order and over all of its starts. */
    std::vector<std::uint64_t> versionsInForce(std::size_t instance) const;
    std::string logOf(std::size_t instance) const;
    const std::filesystem::path &directory() const;

private:
    struct instance_entry {
        std::uint16_t callerPort = 0;
        std::uint16_t controlPort = 0;
        std::uint16_t advertisedPort = 0; ///< The control port, or that of the relay in front of it.
        std::uint16_t adminPort = 0;
        std::unique_ptr<control_relay> relay;
        std::unique_ptr<child_process> process;
    };

    void startPlatform();
    void startDatabases();
    void choosePorts();
    /** Kept for as long as the cluster lives. */
    std::uint16_t newPort();
    void makeCertificate() const;
    void writeSettings(std::size_t index) const;
    std::string settingsFile(std::size_t index) const;
    std::string logFile(const std::string &name) const;
    void printLogs() const;

    cluster_options m_options;
    int m_exceptions;
    std::filesystem::path m_directory;
    std::unique_ptr<child_process> m_platform;
    std::string m_platformAddress;
    std::vector<std::unique_ptr<database_process>> m_databases;
    std::vector<held_port> m_ports;
    std::vector<instance_entry> m_instances;
};

/** Polls until the condition holds; false after the timeout. */
bool waitFor(std::chrono::milliseconds timeout, const std::function<bool()> &condition);

}
