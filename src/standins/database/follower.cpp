#include "follower.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <iostream>

namespace crocusdeal
{

namespace
{

constexpr std::size_t maxMessageBytes = 256U << 20U;
constexpr std::size_t readBytes = 64U << 10U;
constexpr auto retryPause = std::chrono::milliseconds(20);
/** A source answers each pull within a fraction of this. */
constexpr auto pullTimeout = std::chrono::milliseconds(1000);

}

follower::follower(server &owner)
    : m_server(owner)
    , m_database(owner.data())
    , m_strand(asio::make_strand(owner.context().get_executor()))
    , m_timer(m_strand)
    , m_timeout(m_strand)
{
}

void follower::start()
{
    m_database.setFollowChanged([weak = weak_from_this(), strand = m_strand] {
        asio::post(strand, [weak] {
            if (const auto self = weak.lock()) {
                self->restart();
            }
        });
    });
    asio::post(m_strand, [self = shared_from_this()] { self->restart(); });
}

void follower::restart()
{
    ++m_attempt;
    m_timer.cancel();
    m_timeout.cancel();
    m_socket.reset();
    if (const auto lease = m_database.followLease()) {
        m_lease = *lease;
        connect();
    }
}

void follower::retryLater()
{
    ++m_attempt;
    m_timeout.cancel();
    m_socket.reset();
    m_timer.expires_after(retryPause);
    m_timer.async_wait([self = shared_from_this()](asio::error_code error) {
        if (!error) {
            self->restart();
        }
    });
}

bool follower::holds(bool incoming, std::function<void()> next)
{
    if (!m_server.faults().any()) {
        return false;
    }
    auto again = [self = shared_from_this(), attempt = m_attempt, next = std::move(next)] {
        asio::post(self->m_strand, [self, attempt, next] {
            if (attempt == self->m_attempt) {
                next();
            }
        });
    };
    return incoming ? m_server.faults().holdsFrom(m_peer, again) : m_server.faults().holdsTo(m_peer, again);
}

void follower::connect()
{
    const auto [host, port] = parseLoopbackAddress(m_lease.source);
    m_peer = {host, m_lease.source, {}};
    m_socket.emplace(m_strand);
    m_reader.emplace(maxMessageBytes);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(host), port);
    m_socket->async_connect(endpoint, [self = shared_from_this(), attempt = m_attempt](asio::error_code error) {
        if (attempt != self->m_attempt) {
            return;
        }
        if (error) {
            self->retryLater();
            return;
        }
        self->m_socket->set_option(asio::ip::tcp::no_delay(true), error);
        frame_writer startup;
        constexpr std::int32_t protocol3 = 196608;
        startup.begin('\0').int32(protocol3).string("user").string("replica").string("replication").string("standin");
        startup.string("application_name").string(self->m_server.options().name).byte(0).end();
        self->m_request = startup.take();
        self->pull();
    });
}

void follower::pull()
{
    if (holds(false, [this] { pull(); })) {
        return;
    }
    frame_writer writer;
    writePull(writer, m_lease.term, m_database.termEnds());
    m_request += writer.str();
    m_timeout.expires_after(pullTimeout);
    m_timeout.async_wait([self = shared_from_this(), attempt = m_attempt](asio::error_code error) {
        if (!error && attempt == self->m_attempt) {
            self->retryLater();
        }
    });
    asio::async_write(*m_socket,
                      asio::buffer(m_request),
                      [self = shared_from_this(), attempt = m_attempt](asio::error_code error, std::size_t) {
                          if (attempt != self->m_attempt) {
                              return;
                          }
                          self->m_request.clear();
                          error ? self->retryLater() : self->read(attempt);
                      });
}

void follower::read(std::uint64_t attempt)
{
    if (const auto frame = m_reader->next()) {
        onFrame(frame->payload);
        return;
    }
    if (m_reader->error()) {
        retryLater();
        return;
    }
    m_socket->async_read_some(asio::buffer(m_reader->prepare(readBytes), readBytes),
                              [self = shared_from_this(), attempt](asio::error_code error, std::size_t count) {
                                  if (attempt != self->m_attempt) {
                                      return;
                                  }
                                  if (error) {
                                      self->retryLater();
                                      return;
                                  }
                                  self->m_reader->commit(count);
                                  self->read(attempt);
                              });
}

void follower::onFrame(std::string_view payload)
{
    m_timeout.cancel();
    try {
        onPullResult(readPullResult(payload));
    } catch (const std::exception &error) {
        std::cerr << "replication from " << m_lease.source << ": " << error.what() << '\n';
        retryLater();
    }
}

void follower::onPullResult(pull_result result)
{
    if (holds(true, [this, result] { onPullResult(result); })) {
        return;
    }
    if (!result.accepted) {
        retryLater();
        return;
    }
    if (result.common != m_database.lastPosition()) {
        std::cerr << "replication from " << m_lease.source << ": drops the log after " << toString(result.common)
                  << '\n';
        m_database.dropTail(m_lease, result.common) ? pull() : restart();
        return;
    }
    if (result.entries.empty()) {
        pull();
        return;
    }
    applyAfterLag(std::move(result.entries));
}

void follower::applyAfterLag(std::vector<log_entry_ptr> entries)
{
    const auto lag = std::chrono::milliseconds(m_server.settings().lagMs);
    if (lag.count() == 0) {
        takeWriteLock(entries);
        return;
    }
    m_timer.expires_after(lag);
    m_timer.async_wait(
        [self = shared_from_this(), attempt = m_attempt, entries = std::move(entries)](asio::error_code error) {
            if (!error && attempt == self->m_attempt) {
                self->takeWriteLock(entries);
            }
        });
}

void follower::takeWriteLock(const std::vector<log_entry_ptr> &entries)
{
    const auto granted = [self = shared_from_this(), attempt = m_attempt, entries](permit_queue::clock::time_point) {
        asio::post(self->m_strand, [self, attempt, entries] {
            if (attempt == self->m_attempt) {
                self->apply(entries);
            } else {
                self->m_database.writeLock().release(permit_queue::clock::now());
            }
        });
    };
    if (m_database.writeLock().acquire(m_database.nextId(), granted)) {
        apply(entries);
    }
}

void follower::apply(const std::vector<log_entry_ptr> &entries)
{
    bool applied = false;
    try {
        applied = m_database.apply(m_lease, entries);
    } catch (const sql_error &error) {
        std::cerr << "replication from " << m_lease.source << ": cannot apply " << toString(entries.front()->at) << ": "
                  << error.what() << '\n';
        m_database.writeLock().release(permit_queue::clock::now());
        retryLater();
        return;
    }
    m_database.writeLock().release(permit_queue::clock::now());
    applied ? pull() : restart();
}

}
