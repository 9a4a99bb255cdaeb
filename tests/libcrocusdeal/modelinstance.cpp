#include "modelworld.h"

#include <algorithm>
#include <utility>

namespace crocusdeal::model
{

namespace
{

constexpr std::int64_t tickInterval = 10;
constexpr std::int64_t queryTimeout = 50;

std::vector<target_address> addresses(std::size_t count)
{
    std::vector<target_address> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back({targetName(i), targetName(i).str(), 1, data_centre_id("d")});
    }
    return result;
}

}

instance::instance(world &owner, std::size_t node, int rank)
    : m_world(owner)
    , m_node(node)
    , m_rank(rank)
    , m_offset(owner.random(0, 1000000))
    , m_group(group_id("g"), addresses(owner.databaseCount()), owner.options().policy)
    , m_confirmation(owner.options().confirm)
{
}

std::size_t instance::node() const
{
    return m_node;
}

time_point instance::clock() const
{
    return {m_world.now() + m_offset};
}

std::int64_t instance::pausedUntil() const
{
    return m_pausedUntil;
}

void instance::pause(std::int64_t ms)
{
    m_pausedUntil = std::max(m_pausedUntil, m_world.now() + ms);
}

void instance::tick()
{
    const auto late = m_pausedUntil - m_world.now();
    if (late > 0) {
        m_world.after(late, [this] { tick(); });
        return;
    }
    const auto now = clock();
    m_group.tick(now);
    for (const auto &target : m_group.targets()) {
        auto &next = m_nextProbe[target.id];
        if (now >= next) {
            next = now + m_group.policy().probeInterval;
            m_group.noteProbe(target.id, now);
            ask(target.id, now);
        }
    }
    if (m_promotion) {
        run(m_promotion->tick(now));
    }
    step();
    m_world.gossip(m_world.randomInstance(), *this);
    m_world.after(tickInterval, [this] { tick(); });
}

void instance::ask(const target_id &target, time_point notBefore)
{
    const auto now = clock();
    auto &asked = m_asked[target];
    if (asked >= notBefore || now < notBefore) {
        return;
    }
    asked = now;
    const auto index = targetIndex(target);
    m_world.call(
        *this,
        index,
        [](database &, reply &) {},
        queryTimeout,
        [this, index, now, target](const reply *answer) {
            m_asked[target] = never;
            if (answer != nullptr) {
                observe(index, *answer, now);
            }
        });
}

void instance::observe(std::size_t target, const reply &answer, time_point askedAt)
{
    m_facts[targetName(target)] = {{answer.status.term, answer.status.role, answer.status.at}, askedAt};
    m_group.observe(targetName(target), answer.status, askedAt, clock(), observation_source::Own);
    if (m_promotion) {
        run(m_promotion->observed(targetName(target), answer.status, clock()));
    }
    step();
}

void instance::observeInBand(std::size_t target, const reply &answer, time_point askedAt)
{
    const target_state state{answer.status.term, answer.status.role, answer.status.at};
    m_facts[targetName(target)] = {state, askedAt};
    m_group.observe(targetName(target), state, askedAt, clock(), observation_source::Own);
    step();
}

std::map<target_id, std::pair<target_state, duration>> instance::facts() const
{
    std::map<target_id, std::pair<target_state, duration>> result;
    for (const auto &[target, fact] : m_facts) {
        result[target] = {fact.first, clock() - fact.second};
    }
    return result;
}

void instance::observePeer(const target_id &target, const target_state &state, time_point notBefore)
{
    m_group.observe(target, state, notBefore, clock(), observation_source::Peer);
    step();
}

group_view_ptr instance::view() const
{
    return m_group.view(clock());
}

void instance::confirm(position at, std::function<void(bool)> done)
{
    m_writes[m_nextWaiter] = std::move(done);
    m_confirmation.add(m_nextWaiter++, at, clock() + duration{200});
    step();
}

void instance::readIndex(time_point startedAt, std::function<void(std::optional<position>)> done)
{
    m_indexes[m_nextWaiter] = std::move(done);
    m_readIndex.add(m_nextWaiter++, startedAt, clock() + duration{100});
    step();
}

void instance::startPromotion(std::optional<target_id> planned, std::set<target_id> leaving)
{
    if (m_promotion || m_pausedUntil > m_world.now()) {
        return;
    }
    std::vector<target_id> members;
    for (const auto &target : m_group.targets()) {
        members.push_back(target.id);
    }
    m_promotion.emplace(std::move(members), std::move(leaving), std::move(planned), m_group.policy());
    run(m_promotion->start(m_group.highestTerm(), clock()));
}

void instance::run(const promotion_actions &actions)
{
    for (const auto &action : actions) {
        if (const auto *wanted = std::get_if<order_target>(&action)) {
            order(*wanted);
        } else if (const auto *poll = std::get_if<poll_target>(&action)) {
            ask(poll->target, clock());
        } else {
            m_promotion.reset();
            m_retryAt = clock() + m_group.policy().suspicionAfter;
        }
    }
}

void instance::order(const order_target &wanted)
{
    const auto now = clock();
    const auto index = targetIndex(wanted.target);
    const auto action = [wanted](database &target, reply &answer) {
        switch (wanted.order) {
        case control_order::Fence:
            answer.granted = target.fence(wanted.term);
            break;
        case control_order::Follow:
            answer.granted = target.follow(wanted.term, wanted.upstream.str() + ":1");
            break;
        case control_order::Promote:
            answer.granted = target.promote(wanted.term);
            break;
        }
    };
    m_world.call(*this, index, action, queryTimeout, [this, wanted, index, now](const reply *answer) {
        if (answer != nullptr) {
            observe(index, *answer, now);
        }
        if (m_promotion) {
            const auto status = answer != nullptr ? answer->status : target_status();
            run(m_promotion->answered({wanted.order,
                                       wanted.target,
                                       wanted.term,
                                       answer == nullptr,
                                       answer != nullptr && answer->granted,
                                       status},
                                      clock()));
        }
        step();
    });
}

void instance::step()
{
    if (std::exchange(m_inStep, true)) {
        return;
    }
    const auto now = clock();
    const auto indexStep = m_readIndex.update(m_group, now);
    for (const auto &wanted : indexStep.asks) {
        ask(wanted.target, wanted.notBefore);
    }
    const auto writeStep = m_confirmation.update(m_group, now);
    for (const auto &wanted : writeStep.statusAsks) {
        ask(wanted.target, wanted.notBefore);
    }
    for (const auto &wanted : writeStep.waitAsks) {
        ask(wanted.target, now - duration{5});
    }
    for (const auto &wanted : m_promotion ? std::vector<order_target>() : m_repair.update(m_group, now)) {
        order(wanted);
    }
    const auto startAt = std::max(m_group.suspectedSince(), m_retryAt) + m_group.policy().candidateStagger * m_rank;
    if (!m_promotion && m_group.primarySuspected(now) && now >= startAt && m_group.reachesMajority(now)) {
        startPromotion(std::nullopt, {});
    }
    m_inStep = false;
    for (const auto &done : indexStep.results) {
        m_indexes.extract(done.waiter).mapped()(done.at);
    }
    for (const auto &done : writeStep.results) {
        m_writes.extract(done.waiter).mapped()(done.result == confirm_result::Confirmed);
    }
}

}
