#include "groupwaiters.h"

#include <utility>

namespace crocusdeal
{

group_waiters::group_waiters(confirm_mode mode, asks targets)
    : m_asks(std::move(targets))
    , m_confirmation(mode)
{
}

void group_waiters::setMode(confirm_mode mode)
{
    m_confirmation.setMode(mode);
}

void group_waiters::addWrite(position at, time_point deadline, confirm_callback done)
{
    const auto id = m_nextWaiter++;
    m_writes[id] = std::move(done);
    m_confirmation.add(id, at, deadline);
}

void group_waiters::addIndex(time_point startedAt, time_point deadline, index_callback done)
{
    const auto id = m_nextWaiter++;
    m_indexes[id] = std::move(done);
    m_readIndex.add(id, startedAt, deadline);
}

void group_waiters::addReplicaWait(const target_id &target, position at, time_point deadline, wait_callback done)
{
    m_replicaWaits.push_back({target, at, deadline, std::move(done)});
}

bool group_waiters::empty() const
{
    return m_writes.empty() && m_indexes.empty() && m_replicaWaits.empty();
}

bool group_waiters::hasWrites() const
{
    return !m_writes.empty();
}

group_waiters::completions group_waiters::update(const database_group &group, time_point now)
{
    completions due;
    updateIndex(group, now, due);
    updateWrites(group, now, due);
    updateReplicaWaits(group, now, due);
    return due;
}

void group_waiters::updateIndex(const database_group &group, time_point now, completions &due)
{
    const auto step = m_readIndex.update(group, now);
    for (const auto &ask : step.asks) {
        m_asks.status(ask);
    }
    for (const auto &result : step.results) {
        due.emplace_back([done = std::move(m_indexes.at(result.waiter)), at = result.at] { done(at); });
        m_indexes.erase(result.waiter);
    }
}

void group_waiters::updateWrites(const database_group &group, time_point now, completions &due)
{
    const auto step = m_confirmation.update(group, now);
    for (const auto &ask : step.statusAsks) {
        m_asks.status(ask);
    }
    for (const auto &ask : step.waitAsks) {
        m_asks.wait(ask);
    }
    for (const auto &result : step.results) {
        due.emplace_back([done = std::move(m_writes.at(result.waiter)), outcome = result.result] { done(outcome); });
        m_writes.erase(result.waiter);
    }
}

void group_waiters::updateReplicaWaits(const database_group &group, time_point now, completions &due)
{
    std::vector<replica_wait> waiting;
    for (auto &wait : std::exchange(m_replicaWaits, {})) {
        const auto *known = group.find(wait.target);
        const bool reached = known != nullptr && known->status->at >= wait.at;
        if (reached || now >= wait.deadline) {
            due.emplace_back([done = std::move(wait.done), reached] { done(reached); });
            continue;
        }
        m_asks.wait({wait.target, wait.at});
        waiting.push_back(std::move(wait));
    }
    m_replicaWaits = std::move(waiting);
}

group_waiters::completions group_waiters::abandon()
{
    completions due;
    for (auto &[id, done] : std::exchange(m_writes, {})) {
        due.emplace_back([done = std::move(done)] { done(confirm_result::DeadlinePassed); });
    }
    for (auto &[id, done] : std::exchange(m_indexes, {})) {
        due.emplace_back([done = std::move(done)] { done(std::nullopt); });
    }
    for (auto &wait : std::exchange(m_replicaWaits, {})) {
        due.emplace_back([done = std::move(wait.done)] { done(false); });
    }
    return due;
}

}
