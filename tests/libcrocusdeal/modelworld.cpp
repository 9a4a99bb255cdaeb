#include "modelworld.h"

#include <algorithm>
#include <numeric>

namespace crocusdeal::model
{

namespace
{

constexpr std::int64_t faultTime = 1500;
constexpr std::int64_t healedTime = 1000;

bool contains(const std::vector<entry> &log, int value)
{
    return std::any_of(log.begin(), log.end(), [value](const entry &item) { return item.value == value; });
}

}

settings fastSettings()
{
    settings result;
    auto &policy = result.policy;
    policy.probeInterval = duration{25};
    policy.suspicionAfter = duration{100};
    policy.candidateStagger = duration{40};
    policy.primaryRecheckAfter = duration{10};
    policy.unheardLimit = duration{100};
    policy.fenceTimeout = duration{50};
    policy.followTimeout = duration{100};
    policy.promoteTimeout = duration{50};
    policy.repairDelay = duration{50};
    policy.pauseGap = duration{50};
    result.router.unheardLimit = duration{100};
    result.router.primaryMargin = duration{3};
    return result;
}

int outcome::total() const
{
    return std::accumulate(violations.begin(), violations.end(), 0);
}

void outcome::add(const outcome &other)
{
    for (std::size_t i = 0; i < violations.size(); ++i) {
        violations[i] += other.violations[i];
    }
    acknowledged += other.acknowledged;
    unknown += other.unknown;
    reads += other.reads;
    staleReads += other.staleReads;
    promotions += other.promotions;
}

target_id targetName(std::size_t index)
{
    return target_id(std::string(1, static_cast<char>('a' + index)));
}

std::size_t targetIndex(const target_id &id)
{
    return static_cast<std::size_t>(id.str().front() - 'a');
}

target_status database::status() const
{
    return {term, role, {log.empty() ? 0 : log.back().term, log.size()}, 0, 10, following};
}

bool database::fence(std::uint64_t newTerm)
{
    if (newTerm <= term) {
        return false;
    }
    term = newTerm;
    role = target_role::Fenced;
    following.clear();
    ++followEpoch;
    return true;
}

bool database::follow(std::uint64_t newTerm, const std::string &upstream)
{
    if (newTerm < term || (newTerm == term && role == target_role::Primary)) {
        return false;
    }
    term = newTerm;
    role = target_role::Replica;
    following = upstream;
    ++followEpoch;
    return true;
}

bool database::promote(std::uint64_t atTerm)
{
    if (atTerm != term) {
        return false;
    }
    role = target_role::Primary;
    following.clear();
    ++followEpoch;
    return true;
}

world::world(std::uint64_t seed, settings options)
    : m_random(seed)
    , m_settings(std::move(options))
    , m_databases(chance(50) ? 3 : 5)
{
    m_databases[0].role = target_role::Primary;
    m_primaries[1] = {0, {}};
    for (std::size_t i = 1; i < m_databases.size(); ++i) {
        m_databases[i].following = "a:1";
    }
    const auto instances = static_cast<std::size_t>(random(2, 3));
    const bool rivals = chance(30);
    for (std::size_t i = 0; i < instances; ++i) {
        const auto node = m_databases.size() + i;
        m_instances.push_back(std::make_unique<instance>(*this, node, rivals ? 0 : static_cast<int>(i)));
    }
    m_sides.assign(m_databases.size() + instances, 0);
    for (int i = 0; i < 3; ++i) {
        m_clients.push_back(std::make_unique<client>(*this));
    }
}

world::~world() = default;

outcome world::run()
{
    for (std::size_t i = 0; i < m_databases.size(); ++i) {
        copyLogs(i);
    }
    for (auto &entry : m_instances) {
        entry->tick();
    }
    for (auto &entry : m_clients) {
        entry->next();
    }
    after(random(50, 150), [this] { disturb(); });
    runUntil(faultTime);
    heal();
    runUntil(faultTime + healedTime / 2);
    const int before = m_result.acknowledged;
    runUntil(faultTime + healedTime);
    if (m_result.acknowledged == before) {
        report(violation::NoRecovery);
    }
    return m_result;
}

void world::runUntil(std::int64_t end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        m_now = m_events.top().at;
        // The queue gives only const access to its top, which is removed in the next line.
        const auto action = std::move(const_cast<event &>(m_events.top()).action);
        m_events.pop();
        action();
    }
    m_now = end;
}

void world::after(std::int64_t ms, std::function<void()> action)
{
    m_events.push({m_now + ms, m_order++, std::move(action)});
}

std::int64_t world::now() const
{
    return m_now;
}

std::int64_t world::random(std::int64_t low, std::int64_t high)
{
    return low + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(high - low + 1));
}

bool world::chance(int percent)
{
    return random(0, 99) < percent;
}

std::size_t world::databaseCount() const
{
    return m_databases.size();
}

instance &world::randomInstance()
{
    return *m_instances[static_cast<std::size_t>(random(0, static_cast<std::int64_t>(m_instances.size()) - 1))];
}

const settings &world::options() const
{
    return m_settings;
}

outcome &world::result()
{
    return m_result;
}

void world::report(violation kind)
{
    ++m_result.violations[static_cast<std::size_t>(kind)];
}

bool world::connected(std::size_t a, std::size_t b) const
{
    return m_sides[a] == m_sides[b];
}

std::int64_t world::delay()
{
    return m_faulty && chance(4) ? random(20, 200) : random(0, 4);
}

bool world::isLost()
{
    return m_faulty && chance(2);
}

void world::call(const instance &from,
                 std::size_t target,
                 const std::function<void(database &, reply &)> &action,
                 std::int64_t timeout,
                 const reply_callback &done)
{
    struct pending {
        bool over = false;
    };
    const auto state = std::make_shared<pending>();
    const auto deliver = [this, state, done, &from](const std::shared_ptr<reply> &answer) {
        const auto handle = [state, done, answer] {
            if (!std::exchange(state->over, true)) {
                done(answer.get());
            }
        };
        // What arrives during a pause is handled after it.
        after(std::max<std::int64_t>(from.pausedUntil() - m_now, 0), handle);
    };
    after(timeout, [deliver] { deliver(nullptr); });
    if (isLost()) {
        return;
    }
    after(delay(), [this, target, action, deliver, &from] {
        auto &database = m_databases[target];
        if (!database.up || !connected(from.node(), target)) {
            return;
        }
        const auto answer = std::make_shared<reply>();
        action(database, *answer);
        answer->status = database.status();
        checkPrimary(target);
        if (isLost()) {
            return;
        }
        after(delay(), [this, target, answer, deliver, &from] {
            if (connected(from.node(), target)) {
                deliver(answer);
            }
        });
    });
}

// The age in an answer counts from the time of the question on the asking instance's own clock.
void world::gossip(instance &from, instance &to)
{
    if (&from == &to || isLost() || from.pausedUntil() > m_now) {
        return;
    }
    const auto askedAt = to.clock();
    after(delay(), [this, &from, &to, askedAt] {
        if (!connected(from.node(), to.node()) || from.pausedUntil() > m_now) {
            return;
        }
        after(delay(), [this, &from, &to, askedAt, facts = from.facts()] {
            if (!connected(from.node(), to.node()) || to.pausedUntil() > m_now) {
                return;
            }
            for (const auto &[target, fact] : facts) {
                to.observePeer(target, fact.first, askedAt - fact.second);
            }
        });
    });
}

void world::copyLogs(std::size_t index)
{
    after(random(1, m_faulty && chance(10) ? 80 : 6), [this, index] {
        auto &replica = m_databases[index];
        const bool follows = replica.up && replica.role == target_role::Replica && !replica.following.empty();
        const auto source = follows ? static_cast<std::size_t>(replica.following.front() - 'a') : index;
        const auto &upstream = m_databases[source];
        if (source != index && upstream.up && connected(index, source) && upstream.term == replica.term
            && upstream.role != target_role::Replica) {
            after(delay(), [this, index, epoch = replica.followEpoch, copy = upstream.log] {
                auto &target = m_databases[index];
                if (target.up && target.followEpoch == epoch) {
                    std::size_t same = 0;
                    while (same < copy.size() && same < target.log.size() && copy[same].term == target.log[same].term) {
                        ++same;
                    }
                    // A late copy is a prefix of the log; anything else means a tail of another history.
                    if (same < copy.size()) {
                        target.log = copy;
                    } else if (target.log.size() > same && target.log[same].term != target.term) {
                        target.log.resize(same);
                    }
                }
            });
        }
        copyLogs(index);
    });
}

void world::disturb()
{
    if (!m_faulty) {
        return;
    }
    const auto length = random(50, 400);
    switch (random(0, 5)) {
    case 0:
    case 1:
    case 2:
        for (auto &side : m_sides) {
            side = static_cast<int>(random(0, 1));
        }
        after(length, [this] { std::fill(m_sides.begin(), m_sides.end(), 0); });
        break;
    case 3:
        randomInstance().pause(length);
        break;
    case 4: {
        const auto index = static_cast<std::size_t>(random(0, static_cast<std::int64_t>(m_databases.size()) - 1));
        m_databases[index].up = false;
        after(length, [this, index] { m_databases[index].up = true; });
        break;
    }
    default: {
        const auto count = static_cast<std::int64_t>(m_databases.size());
        const auto any = [this, count] { return targetName(static_cast<std::size_t>(random(0, count - 1))); };
        randomInstance().startPromotion(chance(50) ? std::optional(any()) : std::nullopt,
                                        chance(30) ? std::set{any()} : std::set<target_id>());
        if (chance(50)) {
            randomInstance().startPromotion(std::nullopt, {});
        }
    }
    }
    after(random(30, 250), [this] { disturb(); });
}

void world::heal()
{
    m_faulty = false;
    std::fill(m_sides.begin(), m_sides.end(), 0);
    for (auto &entry : m_databases) {
        entry.up = true;
    }
}

int world::nextValue()
{
    return ++m_value;
}

void world::checkPrimary(std::size_t index)
{
    const auto &database = m_databases[index];
    if (database.role != target_role::Primary) {
        return;
    }
    const auto [known, added] = m_primaries.try_emplace(database.term, index, database.log);
    if (!added) {
        if (known->second.first != index) {
            report(violation::TwoPrimaries);
        }
        return;
    }
    ++m_result.promotions;
    for (const auto &write : m_acknowledged) {
        if (write.term < database.term && !contains(database.log, write.value)) {
            report(violation::LostWrite);
        }
    }
}

void world::acknowledged(int value, std::uint64_t term)
{
    ++m_result.acknowledged;
    m_acknowledged.push_back({value, term, m_now});
    for (auto later = m_primaries.upper_bound(term); later != m_primaries.end(); ++later) {
        if (!contains(later->second.second, value)) {
            report(violation::LostWrite);
        }
    }
}

void world::checkAge(const std::vector<entry> &log, std::int64_t decidedAt, std::int64_t maxAge)
{
    for (const auto &write : m_acknowledged) {
        if (write.at < decidedAt - maxAge && !contains(log, write.value)) {
            report(violation::TooOld);
            return;
        }
    }
}

}
