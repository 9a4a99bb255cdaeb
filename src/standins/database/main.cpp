#include "adminport.h"
#include "follower.h"
#include "server.h"
#include "settings.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace po = boost::program_options;
using namespace crocusdeal;

namespace
{

constexpr auto usage = R"(databasestandin: one database of a group, for tests

Prints "listening PORT ADMIN_PORT" once it accepts connections. Commands, as lines on the admin port or as
SELECT standin_VERB('argument', ...):
  set NAME NUMBER      lag_ms, connections, slots, connect_ms, statement_us, idle_transaction_ms
  freeze, resume       answer nothing while sockets stay open
  cut_from PEER        hold traffic from a peer: its address, host:port or application_name
  cut_to PEER          hold traffic to a peer; heal [PEER] ends both
  linger PEER          count its connections after their end, until heal
  kill_connections     close all connections
  drop_answer [silence]  the next commit takes effect; its connection is closed, or kept without an answer
  crash                exit at once
  status               term, role, position, connections, limit and followed database
  connections          present number; peak and number refused since the last call

Options)";

struct command_line {
    standin_options options;
    runtime_settings settings;
};

void setNumber(po::variables_map &values, const char *name, std::atomic<std::int64_t> &setting)
{
    setting = values[name].as<std::int64_t>();
}

/** False if the program is to end at once. */
bool readCommandLine(int argc, char **argv, command_line &result)
{
    auto &options = result.options;
    std::string role;
    po::options_description description(usage);
    auto add = description.add_options();
    add("help", "show this text");
    add("listen",
        po::value(&options.listenAddress)->default_value("127.0.0.1:0"),
        "host:port; port 0 takes a free one");
    add("admin", po::value(&options.adminAddress), "host:port for line commands");
    add("name", po::value(&options.name)->default_value("database"), "application_name towards the followed database");
    add("role", po::value(&role), "primary, replica or fenced; the default is replica with --follow, else primary");
    add("follow", po::value(&options.followAddress), "host:port of the database to follow");
    add("term", po::value(&options.term)->default_value(1), "own term at the start");
    add("data", po::value(&options.dataFile), "file that keeps term, role and log; what it holds takes precedence");
    add("threads", po::value(&options.threads)->default_value(4), "worker threads");
    add("lag-ms", po::value<std::int64_t>()->default_value(0), "delay before a replica applies an entry");
    add("connections", po::value<std::int64_t>()->default_value(100), "connection limit");
    add("slots", po::value<std::int64_t>()->default_value(0), "statements that run at once; 0: no limit");
    add("connect-ms", po::value<std::int64_t>()->default_value(0), "set-up time of a connection");
    add("statement-us", po::value<std::int64_t>()->default_value(0), "minimum time a statement holds its slot");
    add("idle-transaction-ms",
        po::value<std::int64_t>()->default_value(1000),
        "idle time after which a write transaction is aborted if others wait for the write lock; 0: never");
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(description).positional({}).run(), values);
    po::notify(values);
    if (values.contains("help")) {
        std::cout << description << '\n';
        return false;
    }
    if (role.empty()) {
        role = options.followAddress.empty() ? "primary" : "replica";
    }
    const auto known = targetRoleNames.value(role);
    if (!known) {
        throw po::error("unknown role: " + role);
    }
    options.role = *known;
    setNumber(values, "lag-ms", result.settings.lagMs);
    setNumber(values, "connections", result.settings.connections);
    setNumber(values, "slots", result.settings.slots);
    setNumber(values, "connect-ms", result.settings.connectMs);
    setNumber(values, "statement-us", result.settings.statementUs);
    setNumber(values, "idle-transaction-ms", result.settings.idleTransactionMs);
    return true;
}

/** Serves until SIGINT or SIGTERM and ends the process. */
[[noreturn]] void run(const command_line &line, runtime_settings &settings)
{
    asio::io_context context(line.options.threads);
    server database(context, line.options, settings);
    database.start();
    std::optional<admin_port> admin;
    if (!line.options.adminAddress.empty()) {
        admin.emplace(database, line.options.adminAddress);
    }
    const auto replication = std::make_shared<follower>(database);
    replication->start();
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](asio::error_code, int) { context.stop(); });

    // Scripts and tests that use port 0 read the ports here.
    std::cout << "listening " << database.port() << ' ' << (admin ? admin->port() : 0) << std::endl;
    std::vector<std::thread> threads;
    for (int i = 1; i < line.options.threads; ++i) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (auto &thread : threads) {
        thread.join();
    }
    // Handlers left in the context refer to the server and the server to the context, so neither can go first.
    database.data().store()->remove();
    std::_Exit(0);
}

}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    // Without statistics, SQLite's allocator takes no global lock.
    sqlite3_config(SQLITE_CONFIG_MEMSTATUS, 0);
    command_line line;
    try {
        if (!readCommandLine(argc, argv, line)) {
            return 0;
        }
        removeAbandonedStores();
        run(line, line.settings);
    } catch (const std::exception &error) {
        std::cerr << "databasestandin: " << error.what() << '\n';
        return 1;
    }
}
