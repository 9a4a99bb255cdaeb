#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace crocusdeal
{

/** Which connection a fault applies to: address and application name of the other side. */
struct peer_name {
    std::string host;
    std::string address; ///< host:port
    std::string application;
};

enum class commit_answer_fault {
    None,
    Close, ///< The commit takes effect and the connection is closed.
    Silence, ///< The commit takes effect and no answer ever comes.
};

/** Faults that are switched on and off at run time. */
class fault_switches
{
public:
    void setFrozen(bool frozen);
    void cutFrom(const std::string &peer);
    void cutTo(const std::string &peer);
    /** The end of the peer's connections is not noticed, so that they go on counting, as after a loss of power. */
    void linger(const std::string &peer);
    void heal(const std::string &peer);
    void healAll();
    void dropNextCommitAnswer(commit_answer_fault fault);
    commit_answer_fault takeCommitFault();

    /** True while any fault is on that holds traffic. */
    bool any() const;
    /** True if traffic from the peer must wait; then @p resume is called once at the next change of a fault. */
    bool holdsFrom(const peer_name &peer, std::function<void()> resume);
    /** The same for traffic to the peer. */
    bool holdsTo(const peer_name &peer, std::function<void()> resume);
    /** The same for the end of a connection of the peer. */
    bool holdsEndOf(const peer_name &peer, std::function<void()> resume);

private:
    static bool matches(const std::set<std::string> &names, const peer_name &peer);
    bool holds(const std::set<std::string> &names, const peer_name &peer, std::function<void()> resume);
    void changed();

    std::atomic<bool> m_any = false;
    std::atomic<commit_answer_fault> m_commitFault = commit_answer_fault::None;
    std::mutex m_mutex;
    bool m_frozen = false;
    std::set<std::string> m_from;
    std::set<std::string> m_to;
    std::set<std::string> m_lingering;
    std::vector<std::function<void()>> m_parked;
};

}
