#pragma once

#include "databases.h"
#include "loop.h"
#include "platform.h"

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review
{

/** One client: a session that sends one statement after the other. */
class client : public std::enable_shared_from_this<client>
{
public:
    struct result {
        std::string id;
        std::string text;
        bool isSent = false;
        bool isSuccess = false;
        std::int64_t sentAt = 0;
        std::string answer; ///< All lines, joined by '|'; empty without a complete one.
    };

    client(loop &events, std::string address, std::string database, std::string name);

    /** Gives the next statement; an empty text ends the session. */
    std::function<std::string()> next;
    std::function<void(const result &)> onResult;
    std::int64_t pauseMs = 0; ///< Between an answer and the next statement.
    bool reconnects = true;

    void start();

private:
    void connect();
    void reconnectLater();
    void handleData(std::string &inbound);
    void handleAnswer();
    void sendNext();
    void ended();

    loop &m_loop;
    std::string m_address;
    std::string m_database;
    std::string m_name;
    std::shared_ptr<connection> m_stream;
    std::string m_answer;
    result m_current;
    int m_sent = 0;
    bool m_isStarted = false;
};

/** A small deployment: the store, the duty, one service of three databases, and daemons as processes of their own. */
class world
{
public:
    world(const std::string &recordFile, std::size_t daemons);
    ~world();
    world(const world &) = delete;
    world &operator=(const world &) = delete;

    loop events;
    object_store store;
    promotion_service duty;
    database_group databases;
    std::vector<std::string> frontAddresses;
    std::vector<pid_t> fronts;

    void record(const std::string &line);
    /** Adds a database with its entry, which is written anew when its state changes. */
    void addDatabase(const std::string &id, const std::string &zone, database_figures figures);
    void publish(const std::string &id, bool isDraining);
    /** The process ends; the entry goes after three heartbeats. */
    void crash(const std::string &id);
    /** It is back under another id. */
    void startAgain(const std::string &oldId, const std::string &newId);
    void startFront(const std::string &zone);
    /** Runs until the daemons have had time to begin. */
    void warmUp();
    std::shared_ptr<client> addClient(std::size_t front, const std::string &route);
    bool isFrontRunning(std::size_t front);

    /** Acknowledged writes, in the order of their answers. */
    std::vector<std::string> acknowledged;
    std::int64_t promoteMs = 600;

private:
    std::ofstream m_record;
    std::string m_folder;
    int m_clients = 0;
    std::map<std::string, std::string> m_zones;
    std::set<pid_t> m_ended;
};

}
