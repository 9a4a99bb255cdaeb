#include "server.h"

#include "clientconnection.h"
#include "loopbacklistener.h"

#include <asio/strand.hpp>

#include <charconv>
#include <stdexcept>
#include <unistd.h>

namespace crocusdeal
{

server::server(asio::io_context &context, const standin_options &options, runtime_settings &settings)
    : m_context(context)
    , m_options(options)
    , m_settings(settings)
    , m_database(options, settings)
    , m_acceptor(context)
{
}

void server::start()
{
    listenOnLoopback(m_acceptor, m_options.listenAddress);
    accept();
}

std::uint16_t server::port() const
{
    return m_acceptor.local_endpoint().port();
}

void server::accept()
{
    m_acceptor.async_accept(asio::make_strand(m_context.get_executor()),
                            [this](asio::error_code error, strand_socket socket) {
                                if (!error) {
                                    std::make_shared<client_connection>(*this, std::move(socket))->start();
                                }
                                accept();
                            });
}

asio::io_context &server::context()
{
    return m_context;
}

database &server::data()
{
    return m_database;
}

runtime_settings &server::settings()
{
    return m_settings;
}

fault_switches &server::faults()
{
    return m_faults;
}

const standin_options &server::options() const
{
    return m_options;
}

std::int32_t server::add(const std::shared_ptr<client_connection> &connection)
{
    const std::lock_guard lock(m_mutex);
    const auto pid = m_nextPid++;
    m_clients.emplace(pid, connection);
    return pid;
}

void server::remove(std::int32_t pid)
{
    const std::lock_guard lock(m_mutex);
    m_clients.erase(pid);
}

void server::cancel(std::int32_t pid, std::int32_t secret)
{
    std::shared_ptr<client_connection> client;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_clients.find(pid);
        client = found == m_clients.end() ? nullptr : found->second.lock();
    }
    if (client) {
        client->cancel(secret);
    }
}

std::size_t server::closeAll()
{
    std::map<std::int32_t, std::weak_ptr<client_connection>> clients;
    {
        const std::lock_guard lock(m_mutex);
        clients = m_clients;
    }
    for (const auto &[pid, weak] : clients) {
        if (const auto client = weak.lock()) {
            client->closeFromOutside();
        }
    }
    return clients.size();
}

std::string server::setValue(const std::string &name, const std::string &value)
{
    auto *setting = m_settings.find(name);
    std::int64_t number = 0;
    const auto *last = value.data() + value.size();
    const auto [end, error] = std::from_chars(value.data(), last, number);
    if (setting == nullptr || error != std::errc() || end != last || number < 0) {
        throw std::invalid_argument("no such setting or no number: " + name + " " + value);
    }
    *setting = number;
    if (name == "slots") {
        m_database.setSlots(number);
    }
    return "ok";
}

std::string server::command(const std::vector<std::string> &words)
{
    const auto word = [&words](std::size_t index) { return index < words.size() ? words[index] : std::string(); };
    const auto &verb = word(0);
    if (verb == "set") {
        return setValue(word(1), word(2));
    }
    if (verb == "freeze" || verb == "resume") {
        m_faults.setFrozen(verb == "freeze");
    } else if (verb == "cut_from" && !word(1).empty()) {
        m_faults.cutFrom(word(1));
    } else if (verb == "cut_to" && !word(1).empty()) {
        m_faults.cutTo(word(1));
    } else if (verb == "linger" && !word(1).empty()) {
        m_faults.linger(word(1));
    } else if (verb == "heal") {
        word(1).empty() ? m_faults.healAll() : m_faults.heal(word(1));
    } else if (verb == "kill_connections") {
        return "ok " + std::to_string(closeAll());
    } else if (verb == "drop_answer") {
        m_faults.dropNextCommitAnswer(word(1) == "silence" ? commit_answer_fault::Silence : commit_answer_fault::Close);
    } else if (verb == "crash") {
        m_database.store()->remove();
        _exit(1);
    } else if (verb == "status") {
        const auto status = m_database.status();
        return "ok " + m_database.stateText() + ' ' + std::to_string(status.connections) + ' '
            + std::to_string(status.maxConnections) + ' ' + status.following;
    } else if (verb == "connections") {
        const auto counts = m_database.takeConnectionCounts();
        return "ok " + std::to_string(counts.present) + ' ' + std::to_string(counts.peak) + ' '
            + std::to_string(counts.refused);
    } else if (verb == "statements") {
        return "ok " + std::to_string(m_database.statements());
    } else {
        throw std::invalid_argument("unknown command: " + verb);
    }
    return "ok";
}

}
