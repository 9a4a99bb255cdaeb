#include "dispatch.h"

#include <utility>

namespace crocusdeal
{

connection_lease::connection_lease(std::shared_ptr<target_connection> connection, bool isPrimary, lease_hooks hooks)
    : m_connection(std::move(connection))
    , m_hooks(std::move(hooks))
    , m_isPrimary(isPrimary)
{
}

connection_lease::~connection_lease()
{
    giveBack(lease_outcome::Broken);
}

target_connection &connection_lease::connection()
{
    return *m_connection;
}

const std::shared_ptr<target_connection> &connection_lease::shared() const
{
    return m_connection;
}

bool connection_lease::isPrimary() const
{
    return m_isPrimary;
}

void connection_lease::giveBack(lease_outcome outcome)
{
    if (!m_connection) {
        return;
    }
    if (outcome == lease_outcome::Broken) {
        // Ends operations that are still pending, for example on a target that answers no more.
        std::error_code ignored;
        m_connection->socket().close(ignored);
    }
    if (!m_running) {
        m_hooks.resume(0);
    }
    m_hooks.giveBack(std::exchange(m_connection, nullptr), outcome == lease_outcome::Reusable);
}

void connection_lease::beginStatement(std::uint64_t fingerprint)
{
    if (std::exchange(m_running, true)) {
        return;
    }
    m_hooks.resume(fingerprint);
}

void connection_lease::endPreempted(std::uint64_t fingerprint, duration ran)
{
    m_hooks.preempted(fingerprint, ran);
}

void connection_lease::endStatement(std::uint64_t fingerprint, duration ran, bool keeps)
{
    m_hooks.ran(fingerprint, ran);
    if (keeps && std::exchange(m_running, false)) {
        m_hooks.pause();
    }
}

}
