#pragma once

#include "loop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review
{

class database_group;

/** One commit of a log. */
struct log_entry {
    std::string request; ///< Of its single write, or of the commit.
    std::vector<std::pair<std::string, std::string>> changes; ///< Items and data.
};

/** Of a simulated database; the figures are those of a small deployment. */
struct database_figures {
    std::int64_t workMs = 4; ///< Of a read, write or commit in its slot.
    std::int64_t linkMs = 1; ///< One way to and from its primary.
    std::size_t entriesEach = 1; ///< Received at once when it is behind; one more transfer takes linkMs.
    int slots = 2;
    std::size_t queue = 16;
    int maxConnections = 16;
};

/** A database of a service, as PROTOCOL.md describes it. */
class database : public std::enable_shared_from_this<database>
{
public:
    database(database_group &group, std::string id, database_figures figures);

    void start();
    /** The process ends. A replica that starts again holds nothing of before. */
    void kill();
    const std::string &id() const;
    /** Where the daemon of that number reaches it. */
    std::string address(std::size_t path) const;
    /** Cuts the path of a daemon, or heals it; what is on its way waits. */
    void setCut(std::size_t path, bool isCut);
    bool isRunning() const;
    bool isReceiving() const;
    bool holds(const std::string &request) const;

    bool isPrimary = false;
    std::uint64_t term = 1;
    std::uint64_t pausedTerm = 0;
    bool isDeaf = false; ///< Receives nothing.
    std::vector<log_entry> log;
    std::int64_t born = 0;

private:
    friend class database_group;

    struct session {
        std::shared_ptr<connection> stream;
        std::size_t path = 0;
        std::string held; ///< Answers, while the path is cut.
        std::string inbound;
        std::deque<std::string> lines;
        bool isStarted = false;
        bool isBusy = false;
        char state = 'I';
        bool isReadOnly = false;
        log_entry writes;
        std::map<std::string, std::string> values;
        std::map<std::string, std::string> prepared; ///< Name to kind and shape.
    };
    struct work {
        std::weak_ptr<session> owner;
        std::function<void()> run;
    };

    void accept(const std::shared_ptr<connection> &stream, std::size_t path);
    void takeLines(const std::shared_ptr<session> &one);
    void send(const std::shared_ptr<session> &one, const std::string &text);
    void handleNext(const std::shared_ptr<session> &one);
    void handleStartup(const std::shared_ptr<session> &one, const std::string &line);
    void handleQuery(const std::shared_ptr<session> &one, const std::string &id, std::string text);
    void handleControl(const std::shared_ptr<session> &one, const std::string &text);
    void handleBegin(const std::shared_ptr<session> &one, bool isReadOnly);
    void handleData(const std::shared_ptr<session> &one, const std::string &id, const std::string &text);
    void runData(const std::shared_ptr<session> &one,
                 const std::string &id,
                 const std::string &kind,
                 const std::string &item,
                 const std::string &data);
    void commit(const std::shared_ptr<session> &one, const std::string &id);
    void occupySlot(const std::shared_ptr<session> &one, std::function<void()> run);
    void startWork(work next);
    void reply(const std::shared_ptr<session> &one, const std::string &lines);
    bool lacks(const std::string &position) const;
    std::string position() const;
    std::string report() const;
    int openSessions() const;
    void acknowledge(std::uint64_t life, std::size_t number);

    database_group &m_group;
    std::string m_id;
    database_figures m_figures;
    std::vector<std::shared_ptr<listener>> m_listeners; ///< One a path.
    std::set<std::size_t> m_cut;
    bool m_isRunning = false;
    std::vector<std::shared_ptr<session>> m_sessions;
    std::deque<work> m_queue;
    int m_busy = 0;
    std::uint64_t m_process = 0; ///< Rises whenever the process ends.
    std::uint64_t m_life = 0; ///< Rises whenever the process ends or its role changes.
    bool m_isTransferRunning = false;
    std::multimap<std::size_t, std::function<void()>> m_waiting; ///< For a replica; by number of the commit.
};

/** The databases of one service. A commit is acknowledged once one replica has received it. */
class database_group
{
public:
    database_group(loop &events,
                   std::string service,
                   std::size_t paths,
                   std::function<void(const std::string &)> record);

    void add(const std::string &id, database_figures figures);
    database &at(const std::string &id);
    database *primary();
    /** A commit that was there before the run. */
    void seed(const std::string &request, const std::string &item, const std::string &data);
    /** Starts a database that has ended under another id, at its address; one that led comes back with its log. */
    void startAs(const std::string &oldId, const std::string &newId);
    /** Begins to make the database the primary of the next term; false if it is not running. */
    bool promote(const std::string &id, std::int64_t takesMs);
    /** Sends what the replica lacks, if it receives. */
    void transfer(database &replica);
    void transferAll();

    /** A database leads from now on. */
    std::function<void(database &)> onPromoted;

    loop &events;
    std::string service;
    std::size_t paths;
    std::map<std::string, std::shared_ptr<database>> databases;
    std::vector<std::pair<std::string, std::string>> ran; ///< Ids and texts of the statements that ran.
    std::set<std::string> arrived; ///< Ids of the reads, writes and commits that reached a database.
    std::function<void(const std::string &)> record;

private:
    void lead(const std::string &id);
};

}
