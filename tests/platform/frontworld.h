#pragma once

#include "eventlog.h"
#include "front.h"
#include "heldport.h"
#include "linecodec.h"
#include "linedatabase.h"
#include "memorystore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace crocusdeal::test
{

/** A caller of the platform, driven by the world's loop. */
class line_client
{
public:
    line_client(asio::io_context &io, const host_port &address);

    ~line_client();
    line_client(const line_client &) = delete;
    line_client &operator=(const line_client &) = delete;

    /** @p key stands for who is connecting. */
    void startUp(const std::string &database, const std::string &key = "tester");
    void send(const std::string &line);
    bool hasAnswer() const;
    /** All lines up to the next READY, without line ends, joined by '|'. */
    std::string takeAnswer();
    bool isClosed() const;
    void close();

private:
    std::shared_ptr<byte_stream> m_stream;
    std::shared_ptr<std::string> m_received = std::make_shared<std::string>();
    std::shared_ptr<bool> m_isClosed = std::make_shared<bool>(false);
};

/** One front with a service of three databases "a" (primary), "b" and "c", all in one process and on loopback. */
class front_world
{
public:
    front_world();
    ~front_world();

    /** Adds a database with its entry. */
    line_database &addDatabase(const std::string &id, bool isDraining = false);
    void publishEntry(const std::string &id, bool isDraining);
    void start();
    /** Runs the loop until @p isDone holds; false if it does not within @p limit. */
    bool runUntil(const std::function<bool()> &isDone, duration limit = duration{5000});
    void runFor(duration time);

    std::unique_ptr<line_client> connect(const std::string &database, const std::string &key = "tester");
    /** Starts a session and gives the answer to its start-up. */
    std::string answerToStartup(const std::string &database, const std::string &key);
    /** Sends a statement and gives the whole answer. */
    std::string ask(line_client &client, const std::string &text);
    /** The number of leading databases that the front has found is complete. */
    bool isReady();
    /** An address at which nobody else listens for as long as this world lasts. */
    host_port holdAddress();

    routing_configuration configuration;
    std::map<std::string, std::string> dataCentres; ///< Of databases that are not "here".
    asio::io_context io;
    deadline_queue deadlines;
    event_log log;
    platform::target_line_codec targetProtocol;
    platform::caller_line_codec callerProtocol;
    front_metrics metrics;
    front_context context;
    memory_store store;
    line_database_group group;
    front_settings settings;
    std::shared_ptr<front> node;

private:
    std::vector<held_port> m_ports;
    int m_nextId = 1;
};

bool contains(const std::string &text, const std::string &part);
void assertContains(const std::string &part, const std::string &text);
/** How often the database has run a read or write of this text. */
int timesRun(const line_database &database, const std::string &text);
bool wasPaused(const line_database &database);
/** Ends the database's connections; it is back at once with an empty log, and the store is not told. */
void startAgain(line_database &database);

}
