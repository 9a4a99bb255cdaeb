#pragma once

#include "bytestream.h"
#include "deadlinequeue.h"
#include "heldport.h"
#include "position.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal::test
{

class line_database_group;

/** What a test makes of the next statements of a database. */
struct line_faults {
    int loseAnswers = 0; ///< So many reads, writes and commits run and are not answered; the connection ends.
    int swallowAnswers = 0; ///< As loseAnswers, but the connection stays open and silent.
    int refuseBusy = 0;
    int failReads = 0; ///< So many are run and answered with a failure.
    bool isDeaf = false; ///< Does not receive commits.
    duration answerDelay{0}; ///< Of reads, writes and commits.
    duration controlDelay{0}; ///< Of other statements.
    duration startupDelay{0}; ///< Of the answer to a start-up.
    int connectionLimit = 1000; ///< Start-ups beyond it are refused.
};

/** A stand-in for one database of the platform, on a loopback port. */
class line_database : public std::enable_shared_from_this<line_database>
{
public:
    line_database(line_database_group &group, std::string id);

    void listen();
    /** Ends all connections and refuses new ones. */
    void crash();

    const std::string &id() const;
    host_port address() const;
    bool isRunning() const;
    int openConnections() const;

    line_faults faults;
    bool isPrimary = false;
    std::uint64_t term = 1;
    std::uint64_t pausedAt = 0;
    std::map<std::uint64_t, std::string> log; ///< Number to item and data.
    std::uint64_t received = 0;
    std::map<std::string, std::string> items;
    int connectionsSeen = 0;
    int connectionsRefused = 0;
    std::vector<std::string> statements; ///< Texts of reads and writes in the order in which they ran.
    std::vector<std::string> workspaces; ///< Who had named itself at the start-up of their connections.
    std::vector<std::string> startups; ///< The whole lines.
    std::vector<std::string> controls;

private:
    struct session;

    void acceptNext();
    void serve(const std::shared_ptr<session> &connection, std::string &inbound);
    void handleStartup(const std::shared_ptr<session> &connection, const std::string &line);
    int startedConnections() const;
    void handleLine(const std::shared_ptr<session> &connection, const std::string &line);
    void handleQuery(const std::shared_ptr<session> &connection, const std::string &id, std::string text);
    void handleData(const std::shared_ptr<session> &connection, const std::string &id, const std::string &text);
    void handleControl(const std::shared_ptr<session> &connection, const std::string &text);
    void commit(session &connection);
    void answer(const std::shared_ptr<session> &connection, const std::string &lines, bool isData);
    std::string ready(const session &connection) const;
    std::string report() const;

    line_database_group &m_group;
    std::string m_id;
    std::unique_ptr<asio::ip::tcp::acceptor> m_acceptor;
    held_port m_port;
    std::vector<std::weak_ptr<session>> m_sessions;
};

/** The databases of one service. A commit is acknowledged once a replica has received it. */
class line_database_group
{
public:
    line_database_group(asio::io_context &io, deadline_queue &deadlines, std::string service);

    line_database &add(const std::string &id);
    line_database &at(const std::string &id);
    /** The named database leads the next term with what it has received. */
    void promote(const std::string &id);
    /** False if no replica has received the commit. */
    bool replicate(line_database &primary, std::uint64_t number, const std::string &change);

    asio::io_context &io;
    deadline_queue &deadlines;
    std::string service;
    std::map<std::string, std::shared_ptr<line_database>> databases;
};

}
