#pragma once

#include "grouptypes.h"
#include "pgframe.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace crocusdeal
{

/** Databases of one group that answer group control statements on loopback ports; replication copies each 2 ms. */
class fake_group : public std::enable_shared_from_this<fake_group>
{
public:
    fake_group(asio::io_context &context, int count);

    void start();
    void stop();
    std::vector<target_address> targets() const;

    /** Appends an entry to the primary's log; nothing if @p index is not primary. */
    std::optional<position> write(int index);

    /** Closes the connections of @p index and answers no new ones. */
    void crash(int index);
    void restart(int index);
    /** Reads requests of @p index but answers none. */
    void hang(int index);
    /** Carries out the next promote order of any database, but closes the connection instead of answering. */
    void loseNextPromoteAnswer();
    /** A paused replica copies nothing. */
    void setCopying(int index, bool copying);
    target_status status(int index) const;
    std::vector<std::string> applicationNames(int index) const;
    int openConnections(int index) const;
    /** The number of group_status() queries so far. */
    int statusQueries(int index) const;

private:
    struct connection;
    struct database {
        std::uint64_t term = 1;
        target_role role = target_role::Replica;
        std::vector<std::uint64_t> log; ///< The term of each entry.
        std::string following;
        bool up = true;
        bool copying = true;
        bool hanging = false;
        std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
        std::set<std::shared_ptr<connection>> connections;
        std::vector<std::string> names;
        std::uint16_t port = 0;
        int statusQueries = 0;
    };

    void accept(int index);
    void read(int index, const std::shared_ptr<connection> &peer);
    void handle(int index, const std::shared_ptr<connection> &peer);
    void query(int index, const std::shared_ptr<connection> &peer, const std::string &sql);
    void wait(int index, const std::shared_ptr<connection> &peer, position at, int leftMs, std::uint64_t term);
    bool order(database &entry, const std::string &sql);
    void sendRow(int index, const std::shared_ptr<connection> &peer, std::optional<bool> granted);
    void copy();
    target_status statusOf(const database &entry) const;

    asio::io_context &m_context;
    asio::steady_timer m_timer;
    mutable std::recursive_mutex m_mutex;
    std::vector<database> m_databases;
    bool m_losePromote = false;
    bool m_stopped = false;
};

}
