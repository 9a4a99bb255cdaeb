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
    , m_retryTimer(m_strand)
    , m_lagTimer(m_strand)
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
    dropReceived();
    ++m_attempt;
    m_retryTimer.cancel();
    m_timeout.cancel();
    m_socket.reset();
    if (const auto lease = m_database.followLease()) {
        m_lease = *lease;
        connect();
    }
}

void follower::dropReceived()
{
    ++m_generation;
    m_lagTimer.cancel();
    m_batches.clear();
    m_applying = false;
    m_receivedEnds = m_database.termEnds();
}

void follower::retryLater()
{
    // What was received already is applied all the same, as a database replays its log when the source is gone.
    ++m_attempt;
    m_timeout.cancel();
    m_socket.reset();
    m_retryTimer.expires_after(retryPause);
    m_retryTimer.async_wait([self = shared_from_this(), attempt = m_attempt](asio::error_code error) {
        if (!error && attempt == self->m_attempt) {
            self->connect();
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
    writePull(writer, m_lease.term, m_receivedEnds);
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
    const auto last = m_receivedEnds.empty() ? position{} : m_receivedEnds.back();
    if (result.common != last) {
        std::cerr << "replication from " << m_lease.source << ": drops the log after " << toString(result.common)
                  << '\n';
        if (m_batches.empty()) {
            m_database.dropTail(m_lease, result.common);
        }
        restart();
        return;
    }
    receive(std::move(result.entries));
    pull();
}

void follower::receive(std::vector<log_entry_ptr> entries)
{
    if (entries.empty()) {
        return;
    }
    for (const auto &entry : entries) {
        if (m_receivedEnds.empty() || m_receivedEnds.back().term != entry->at.term) {
            m_receivedEnds.push_back(entry->at);
        }
        m_receivedEnds.back() = entry->at;
    }
    const auto lag = std::chrono::milliseconds(m_server.settings().lagMs);
    m_batches.push_back({std::chrono::steady_clock::now() + lag, std::move(entries)});
    applyNext();
}

void follower::applyNext()
{
    if (m_applying || m_batches.empty()) {
        return;
    }
    m_applying = true;
    if (m_batches.front().due <= std::chrono::steady_clock::now()) {
        takeWriteLock();
        return;
    }
    m_lagTimer.expires_at(m_batches.front().due);
    m_lagTimer.async_wait([self = shared_from_this(), generation = m_generation](asio::error_code error) {
        if (!error && generation == self->m_generation) {
            self->takeWriteLock();
        }
    });
}

void follower::takeWriteLock()
{
    const auto granted = [self = shared_from_this(), generation = m_generation](permit_queue::clock::time_point) {
        asio::post(self->m_strand, [self, generation] {
            if (generation == self->m_generation) {
                self->apply();
            } else {
                self->m_database.writeLock().release(permit_queue::clock::now());
            }
        });
    };
    if (m_database.writeLock().acquire(m_database.nextId(), granted)) {
        apply();
    }
}

void follower::apply()
{
    const auto entries = std::move(m_batches.front().entries);
    m_batches.pop_front();
    bool applied = false;
    try {
        applied = m_database.apply(m_lease, entries);
    } catch (const sql_error &error) {
        std::cerr << "replication from " << m_lease.source << ": cannot apply " << toString(entries.front()->at) << ": "
                  << error.what() << '\n';
        m_database.writeLock().release(permit_queue::clock::now());
        dropReceived();
        retryLater();
        return;
    }
    m_database.writeLock().release(permit_queue::clock::now());
    if (!applied) {
        restart();
        return;
    }
    m_applying = false;
    applyNext();
}

}
