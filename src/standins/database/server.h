#pragma once

#include "database.h"
#include "faults.h"
#include "settings.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace crocusdeal
{

class client_connection;

/** The parts that all connections of one stand-in share, and the list of those connections. */
class server
{
public:
    server(asio::io_context &context, const standin_options &options, runtime_settings &settings);

    /** Binds the port; throws asio::system_error. */
    void start();
    std::uint16_t port() const;

    asio::io_context &context();
    database &data();
    runtime_settings &settings();
    fault_switches &faults();
    const standin_options &options() const;

    /** Registers a connection under a new backend pid. */
    std::int32_t add(const std::shared_ptr<client_connection> &connection);
    void remove(std::int32_t pid);
    void cancel(std::int32_t pid, std::int32_t secret);
    /** Closes all open connections; returns how many. */
    std::size_t closeAll();
    /**
     * Runs a command of the admin port or of standin_set(), such as "set lag_ms 200" or "freeze".
     *
     * Returns the answer; throws std::invalid_argument for an unknown command.
     */
    std::string command(const std::vector<std::string> &words);

private:
    void accept();
    std::string setValue(const std::string &name, const std::string &value);

    asio::io_context &m_context;
    const standin_options &m_options;
    runtime_settings &m_settings;
    fault_switches m_faults;
    database m_database;
    asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    std::map<std::int32_t, std::weak_ptr<client_connection>> m_clients;
    std::int32_t m_nextPid = 1;
};

}
