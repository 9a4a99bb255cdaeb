#include "fakedatabase.h"

#include <asio/write.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::int32_t tlsRequestCode = 80877103;
const char *const loopback = "127.0.0.1";

std::string upstreamText(std::uint16_t port)
{
    return std::string(loopback) + ':' + std::to_string(port);
}

}

struct fake_group::connection {
    explicit connection(asio::ip::tcp::socket peer)
        : socket(std::move(peer))
    {
        reader.setStartup(true);
    }

    asio::ip::tcp::socket socket;
    frame_reader reader{1 << 16};
    bool started = false;
};

fake_group::fake_group(asio::io_context &context, int count)
    : m_context(context)
    , m_timer(context)
    , m_databases(static_cast<std::size_t>(count))
{
    for (auto &entry : m_databases) {
        entry.acceptor = std::make_unique<asio::ip::tcp::acceptor>(
            m_context, asio::ip::tcp::endpoint(asio::ip::make_address(loopback), 0));
        entry.port = entry.acceptor->local_endpoint().port();
        entry.following = upstreamText(m_databases.front().port);
    }
    m_databases.front().role = target_role::Primary;
    m_databases.front().following.clear();
}

void fake_group::start()
{
    for (int i = 0; i < static_cast<int>(m_databases.size()); ++i) {
        accept(i);
    }
    copy();
}

void fake_group::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_timer.cancel();
    for (auto &entry : m_databases) {
        entry.acceptor->close();
        for (const auto &peer : entry.connections) {
            peer->socket.close();
        }
    }
}

std::vector<target_address> fake_group::targets() const
{
    std::vector<target_address> result;
    char name = 'a';
    for (const auto &entry : m_databases) {
        result.push_back({target_id(std::string(1, name++)), loopback, entry.port, data_centre_id("d")});
    }
    return result;
}

std::optional<position> fake_group::write(int index)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_databases.at(index);
    if (entry.role != target_role::Primary || !entry.up) {
        return std::nullopt;
    }
    entry.log.push_back(entry.term);
    return position{entry.term, entry.log.size()};
}

void fake_group::crash(int index)
{
    const std::lock_guard lock(m_mutex);
    auto &entry = m_databases.at(index);
    entry.up = false;
    for (const auto &peer : entry.connections) {
        peer->socket.close();
    }
    entry.connections.clear();
}

void fake_group::restart(int index)
{
    const std::lock_guard lock(m_mutex);
    m_databases.at(index).up = true;
}

void fake_group::hang(int index)
{
    const std::lock_guard lock(m_mutex);
    m_databases.at(index).hanging = true;
}

void fake_group::loseNextPromoteAnswer()
{
    const std::lock_guard lock(m_mutex);
    m_losePromote = true;
}

void fake_group::setCopying(int index, bool copying)
{
    const std::lock_guard lock(m_mutex);
    m_databases.at(index).copying = copying;
}

target_status fake_group::statusOf(const database &entry) const
{
    const position at{entry.log.empty() ? 0 : entry.log.back(), entry.log.size()};
    return {entry.term, entry.role, at, static_cast<int>(entry.connections.size()), 100, entry.following};
}

target_status fake_group::status(int index) const
{
    const std::lock_guard lock(m_mutex);
    return statusOf(m_databases.at(index));
}

std::vector<std::string> fake_group::applicationNames(int index) const
{
    const std::lock_guard lock(m_mutex);
    return m_databases.at(index).names;
}

int fake_group::openConnections(int index) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(m_databases.at(index).connections.size());
}

int fake_group::statusQueries(int index) const
{
    const std::lock_guard lock(m_mutex);
    return m_databases.at(index).statusQueries;
}

void fake_group::accept(int index)
{
    m_databases.at(index).acceptor->async_accept(
        [self = shared_from_this(), index](const asio::error_code &error, asio::ip::tcp::socket peer) {
            if (error) {
                return;
            }
            const std::lock_guard lock(self->m_mutex);
            auto &entry = self->m_databases.at(index);
            if (entry.up && !self->m_stopped) {
                const auto added = std::make_shared<connection>(std::move(peer));
                entry.connections.insert(added);
                self->read(index, added);
            }
            self->accept(index);
        });
}

void fake_group::read(int index, const std::shared_ptr<connection> &peer)
{
    constexpr std::size_t chunk = 4096;
    char *space = peer->reader.prepare(chunk);
    peer->socket.async_read_some(
        asio::buffer(space, chunk),
        [self = shared_from_this(), index, peer](const asio::error_code &error, std::size_t count) {
            const std::lock_guard lock(self->m_mutex);
            if (error) {
                self->m_databases.at(index).connections.erase(peer);
                return;
            }
            peer->reader.commit(count);
            self->handle(index, peer);
            self->read(index, peer);
        });
}

void fake_group::handle(int index, const std::shared_ptr<connection> &peer)
{
    while (const auto frame = peer->reader.next()) {
        payload_reader payload(frame->payload);
        frame_writer writer;
        asio::error_code ignored;
        if (!peer->started && payload.readInt32() == tlsRequestCode) {
            asio::write(peer->socket, asio::buffer("N", 1), ignored);
        } else if (!peer->started) {
            while (payload.remaining() > 1) {
                const std::string key(payload.readString());
                const std::string value(payload.readString());
                if (key == "application_name") {
                    m_databases.at(index).names.push_back(value);
                }
            }
            peer->started = true;
            peer->reader.setStartup(false);
            writer.begin('R').int32(0).end();
            writeReadyForQuery(writer, 'I');
            asio::write(peer->socket, asio::buffer(writer.str()), ignored);
        } else if (frame->type == 'Q') {
            query(index, peer, std::string(payload.readString()));
        }
    }
}

void fake_group::query(int index, const std::shared_ptr<connection> &peer, const std::string &sql)
{
    auto &entry = m_databases.at(index);
    if (entry.hanging) {
        return;
    }
    unsigned long long term = 0;
    unsigned long long offset = 0;
    int timeout = 0;
    if (std::sscanf(sql.c_str(), "SELECT * FROM group_wait('%llu/%llu', %d)", &term, &offset, &timeout) == 3) {
        wait(index, peer, {term, offset}, timeout, entry.term);
    } else if (sql == "SELECT * FROM group_status()") {
        ++entry.statusQueries;
        sendRow(index, peer, std::nullopt);
    } else {
        const bool granted = order(entry, sql);
        if (sql.find("promote") != std::string::npos && std::exchange(m_losePromote, false)) {
            peer->socket.close();
            return;
        }
        sendRow(index, peer, granted);
    }
}

void fake_group::wait(int index, const std::shared_ptr<connection> &peer, position at, int leftMs, std::uint64_t term)
{
    const auto &entry = m_databases.at(index);
    if (statusOf(entry).at >= at || entry.term != term || leftMs <= 0) {
        sendRow(index, peer, std::nullopt);
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(1));
    timer->async_wait([self = shared_from_this(), timer, index, peer, at, leftMs, term](const asio::error_code &) {
        const std::lock_guard lock(self->m_mutex);
        if (!self->m_stopped) {
            self->wait(index, peer, at, leftMs - 1, term);
        }
    });
}

bool fake_group::order(database &entry, const std::string &sql)
{
    unsigned long long term = 0;
    std::array<char, 64> upstream{};
    if (std::sscanf(sql.c_str(), "SELECT * FROM group_fence(%llu)", &term) == 1) {
        if (term <= entry.term) {
            return false;
        }
        entry.term = term;
        entry.role = target_role::Fenced;
        entry.following.clear();
        return true;
    }
    if (std::sscanf(sql.c_str(), "SELECT * FROM group_promote(%llu)", &term) == 1) {
        if (term != entry.term) {
            return false;
        }
        entry.role = target_role::Primary;
        entry.following.clear();
        return true;
    }
    if (std::sscanf(sql.c_str(), "SELECT * FROM group_follow(%llu, '%63[^']')", &term, upstream.data()) == 2) {
        if (term < entry.term || (term == entry.term && entry.role == target_role::Primary)) {
            return false;
        }
        entry.term = term;
        entry.role = target_role::Replica;
        entry.following = upstream.data();
        return true;
    }
    return false;
}

void fake_group::sendRow(int index, const std::shared_ptr<connection> &peer, std::optional<bool> granted)
{
    const auto status = statusOf(m_databases.at(index));
    std::vector<std::string> names{"term", "role", "position", "connections", "max_connections", "following"};
    std::vector<std::optional<std::string>> row{std::to_string(status.term),
                                                std::string(targetRoleNames.name(status.role)),
                                                toString(status.at),
                                                std::to_string(status.connections),
                                                std::to_string(status.maxConnections),
                                                status.following};
    if (granted) {
        names.insert(names.begin(), "granted");
        row.insert(row.begin(), *granted ? "t" : "f");
    }
    frame_writer writer;
    writeTextColumns(writer, names);
    writeTextRow(writer, row);
    writeCommandComplete(writer, "SELECT 1");
    writeReadyForQuery(writer, 'I');
    asio::error_code ignored;
    asio::write(peer->socket, asio::buffer(writer.str()), ignored);
}

void fake_group::copy()
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped) {
        return;
    }
    for (auto &entry : m_databases) {
        for (const auto &source : m_databases) {
            const bool follows = entry.role == target_role::Replica && entry.following == upstreamText(source.port);
            if (follows && entry.up && entry.copying && source.up && source.term == entry.term
                && source.role != target_role::Replica) {
                entry.log = source.log;
            }
        }
    }
    m_timer.expires_after(std::chrono::milliseconds(2));
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->copy();
        }
    });
}

}
