#include "sessionregistry.h"

#include "callersession.h"

#include <vector>

namespace crocusdeal
{

session_registry::session_registry(std::uint64_t seed)
    : m_random(seed)
{
}

session_registry::ticket session_registry::add(const std::shared_ptr<caller_session> &session)
{
    const std::lock_guard lock(m_mutex);
    do {
        m_lastPid = (m_lastPid + 1) & 0x7fffffff;
    } while (m_lastPid == 0 || m_sessions.contains(m_lastPid));
    const auto key = static_cast<std::int32_t>(m_random());
    m_sessions[m_lastPid] = {key, session};
    return {m_lastPid, key};
}

void session_registry::remove(std::int32_t pid)
{
    const std::lock_guard lock(m_mutex);
    m_sessions.erase(pid);
}

void session_registry::cancel(std::int32_t pid, std::int32_t key)
{
    std::shared_ptr<caller_session> session;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_sessions.find(pid);
        if (found == m_sessions.end() || found->second.key != key) {
            return;
        }
        session = found->second.session.lock();
    }
    if (session) {
        session->cancelRequest();
    }
}

std::size_t session_registry::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_sessions.size();
}

void session_registry::forEach(const std::function<void(caller_session &)> &visit)
{
    std::vector<std::shared_ptr<caller_session>> sessions;
    {
        const std::lock_guard lock(m_mutex);
        sessions.reserve(m_sessions.size());
        for (const auto &[pid, registered] : m_sessions) {
            if (auto session = registered.session.lock()) {
                sessions.push_back(std::move(session));
            }
        }
    }
    for (const auto &session : sessions) {
        visit(*session);
    }
}

}
