#include "faults.h"

#include <utility>

namespace crocusdeal
{

void fault_switches::setFrozen(bool frozen)
{
    {
        const std::lock_guard lock(m_mutex);
        m_frozen = frozen;
    }
    changed();
}

void fault_switches::cutFrom(const std::string &peer)
{
    {
        const std::lock_guard lock(m_mutex);
        m_from.insert(peer);
    }
    changed();
}

void fault_switches::cutTo(const std::string &peer)
{
    {
        const std::lock_guard lock(m_mutex);
        m_to.insert(peer);
    }
    changed();
}

void fault_switches::linger(const std::string &peer)
{
    {
        const std::lock_guard lock(m_mutex);
        m_lingering.insert(peer);
    }
    changed();
}

void fault_switches::heal(const std::string &peer)
{
    {
        const std::lock_guard lock(m_mutex);
        m_from.erase(peer);
        m_to.erase(peer);
        m_lingering.erase(peer);
    }
    changed();
}

void fault_switches::healAll()
{
    {
        const std::lock_guard lock(m_mutex);
        m_from.clear();
        m_to.clear();
        m_lingering.clear();
    }
    changed();
}

void fault_switches::dropNextCommitAnswer(commit_answer_fault fault)
{
    m_commitFault = fault;
}

commit_answer_fault fault_switches::takeCommitFault()
{
    if (m_commitFault.load(std::memory_order_relaxed) == commit_answer_fault::None) {
        return commit_answer_fault::None;
    }
    return m_commitFault.exchange(commit_answer_fault::None);
}

bool fault_switches::any() const
{
    return m_any.load(std::memory_order_acquire);
}

bool fault_switches::holdsFrom(const peer_name &peer, std::function<void()> resume)
{
    return any() && holds(m_from, peer, std::move(resume));
}

bool fault_switches::holdsTo(const peer_name &peer, std::function<void()> resume)
{
    return any() && holds(m_to, peer, std::move(resume));
}

bool fault_switches::holdsEndOf(const peer_name &peer, std::function<void()> resume)
{
    const std::lock_guard lock(m_mutex);
    if (!matches(m_lingering, peer)) {
        return false;
    }
    m_parked.push_back(std::move(resume));
    return true;
}

bool fault_switches::holds(const std::set<std::string> &names, const peer_name &peer, std::function<void()> resume)
{
    const std::lock_guard lock(m_mutex);
    if (!m_frozen && !matches(names, peer)) {
        return false;
    }
    m_parked.push_back(std::move(resume));
    return true;
}

bool fault_switches::matches(const std::set<std::string> &names, const peer_name &peer)
{
    return names.contains(peer.host) || names.contains(peer.address)
        || (!peer.application.empty() && names.contains(peer.application));
}

void fault_switches::changed()
{
    std::vector<std::function<void()>> parked;
    {
        const std::lock_guard lock(m_mutex);
        m_any = m_frozen || !m_from.empty() || !m_to.empty() || !m_lingering.empty();
        parked.swap(m_parked);
    }
    for (const auto &resume : parked) {
        resume();
    }
}

}
