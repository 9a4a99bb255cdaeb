#include "targetexchange.h"

#include "systemclock.h"

#include <asio/bind_executor.hpp>
#include <asio/write.hpp>

#include <utility>

namespace crocusdeal
{

namespace
{

constexpr std::size_t targetReadBytes = std::size_t{32} * 1024;
constexpr std::size_t flushBytes = std::size_t{16} * 1024;
/** A cancelled statement that goes on answering is given up above this, so that it cannot take the memory. */
constexpr std::size_t heldBytes = std::size_t{1024} * 1024;
constexpr duration targetCheckPeriod{100};

}

target_exchange::target_exchange(std::shared_ptr<const service_hooks> service,
                                 strand executor,
                                 asio::io_context &io,
                                 blocking_runner runBlocking,
                                 caller_channel &caller)
    : m_service(std::move(service))
    , m_strand(std::move(executor))
    , m_watchTimer(io)
    , m_runBlocking(std::move(runBlocking))
    , m_caller(caller)
{
}

void target_exchange::start(std::weak_ptr<void> session, exchange_hooks hooks)
{
    m_session = std::move(session);
    m_hooks = std::move(hooks);
    m_relayHooks.onGroupState = [this](std::string_view value) {
        m_lease->connection().lastGroupState() = std::string(value);
        m_service->observe(m_lease->connection().target(), value, m_sentAt);
    };
    m_relayHooks.onPrepared = [this](const std::string &name) {
        if (!name.empty() && name.front() == '\0') {
            m_lease->connection().unnamedStatement() = name.substr(1);
        } else {
            m_lease->connection().prepared().insert(name);
        }
    };
}

void target_exchange::takeLease(std::unique_ptr<connection_lease> lease)
{
    m_lease = std::move(lease);
}

bool target_exchange::hasLease() const
{
    return m_lease != nullptr;
}

connection_lease &target_exchange::lease()
{
    return *m_lease;
}

void target_exchange::returnLease(lease_outcome outcome)
{
    if (m_lease) {
        // The cancellation may reach the database after the statement has ended and would hit the next user's
        // statement.
        m_lease->giveBack(std::exchange(m_cancelSent, false) ? lease_outcome::Broken : outcome);
        m_lease.reset();
    }
}

void target_exchange::cancelStatement()
{
    m_cancelSent = true;
    auto connection = m_lease->shared();
    m_runBlocking([connection] { connection->cancelStatement(); });
}

void target_exchange::setHoldOutput(bool hold)
{
    m_holdOutput = hold;
}

response_relay &target_exchange::relay()
{
    return m_relay;
}

time_point target_exchange::sentAt() const
{
    return m_sentAt;
}

void target_exchange::send(const request_batch &batch, const statement_map &statements, const exchange_mode &mode)
{
    auto &connection = m_lease->connection();
    m_endsWithSync = batch.endsWithSync();
    m_holdOutput = false;
    m_relay.setPinned(mode.pinned);
    if (batch.isSimple()) {
        m_relay.beginSimple(mode.holdCompletion);
        m_toTarget.assign(batch.allBytes());
        connection.unnamedStatement().clear(); // A simple query drops the unnamed statement.
    } else {
        auto translated = statements.translate(batch, connection.prepared(), connection.unnamedStatement());
        if (mode.continues) {
            m_relay.extend(translated, mode.holdCompletion);
        } else {
            m_relay.beginExtended(translated, mode.holdCompletion);
        }
        m_toTarget = std::move(translated.bytes);
    }
    watch();
    asio::async_write(
        connection.socket(),
        asio::buffer(m_toTarget),
        asio::bind_executor(
            m_strand, [this, session = m_session.lock(), used = m_lease->shared()](std::error_code error, std::size_t) {
                if (holds(used)) {
                    onSent(error);
                }
            }));
}

// The end of an operation on a connection that was given up must not count for the connection of the retry.
bool target_exchange::holds(const std::shared_ptr<target_connection> &connection) const
{
    return m_lease && m_lease->shared() == connection;
}

void target_exchange::onSent(std::error_code error)
{
    if (error) {
        m_hooks.onLost();
        return;
    }
    read();
}

void target_exchange::read()
{
    auto &connection = m_lease->connection();
    char *buffer = connection.reader().prepare(targetReadBytes);
    connection.socket().async_read_some(
        asio::buffer(buffer, targetReadBytes),
        asio::bind_executor(
            m_strand,
            [this, session = m_session.lock(), used = m_lease->shared()](std::error_code error, std::size_t bytes) {
                if (holds(used)) {
                    onRead(error, bytes);
                }
            }));
}

void target_exchange::onRead(std::error_code error, std::size_t bytes)
{
    if (error) {
        m_hooks.onLost();
        return;
    }
    m_lease->connection().reader().commit(bytes);
    consume();
}

void target_exchange::consume()
{
    const auto progress = m_relay.consume(m_lease->connection().reader(), m_caller.out(), m_relayHooks);
    switch (progress) {
    case response_relay::progress::Broken:
        m_hooks.onLost();
        return;
    case response_relay::progress::Done:
        m_hooks.onAnswered();
        return;
    case response_relay::progress::Flushed:
        if (!m_endsWithSync) {
            m_hooks.onFlushAnswered();
            return;
        }
        break;
    case response_relay::progress::More:
        break;
    }
    if (m_holdOutput && m_caller.out().size() > heldBytes) {
        m_hooks.onHeldTooMuch();
        return;
    }
    if (m_holdOutput || (m_caller.out().size() < flushBytes && !m_relay.hasRows())) {
        read();
        return;
    }
    m_caller.flush([this] { read(); });
}

void target_exchange::watch()
{
    m_sentAt = systemNow();
    m_watching = true;
    checkTarget();
}

void target_exchange::stopWatching()
{
    m_watching = false;
    m_watchTimer.cancel();
}

void target_exchange::checkTarget()
{
    m_watchTimer.expires_after(std::chrono::milliseconds(targetCheckPeriod.ms));
    m_watchTimer.async_wait(asio::bind_executor(m_strand, [this, session = m_session.lock()](std::error_code error) {
        if (error || !m_watching || !m_lease) {
            return;
        }
        if (!m_caller.isFlushing() && !m_service->isTargetAlive(m_lease->connection().target())) {
            m_hooks.onLost();
            return;
        }
        checkTarget();
    }));
}

}
