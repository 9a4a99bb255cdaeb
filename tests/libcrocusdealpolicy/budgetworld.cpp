#include "budgetworld.h"

#include <algorithm>
#include <utility>

namespace crocusdeal::test
{

namespace
{

constexpr duration tickTime{100};
constexpr duration readingTime{10000};
constexpr duration askLimit{70};
constexpr duration longFreeze{60000};
constexpr int percent = 100;

}

budget_world::budget_world(std::uint32_t seed, budget_world_settings settings)
    : m_settings(settings)
    , m_random(seed)
{
    for (int i = 0; i < settings.instances; ++i) {
        auto n = std::make_unique<node>();
        n->index = i;
        n->id = instance_id("i" + std::to_string(i));
        n->dataCentre = data_centre_id("d" + std::to_string(i % settings.dataCentres));
        n->clockAhead = duration{below(1000000)};
        m_nodes.push_back(std::move(n));
    }
    for (const auto &n : m_nodes) {
        at(duration{below(300)}, [this, &n = *n] { start(n); });
    }
}

int budget_world::below(int count) const
{
    return static_cast<int>(m_random() % static_cast<unsigned>(std::max(1, count)));
}

void budget_world::at(duration time, std::function<void()> action)
{
    m_events.push({std::max(m_now, time.ms), m_nextEvent++, std::move(action)});
}

void budget_world::run(duration until)
{
    while (!m_events.empty() && m_events.top().at <= until.ms) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
}

time_point budget_world::clockOf(const node &n) const
{
    return time_point{m_now} + n.clockAhead;
}

void budget_world::doAt(node &n, int life, duration delay, const std::function<void()> &action)
{
    at(duration{m_now} + delay, [this, &n, life, action] {
        if (n.life != life || !n.isUp) {
            return;
        }
        if (m_now < n.frozenUntil) {
            doAt(n, life, duration{n.frozenUntil - m_now}, action);
            return;
        }
        action();
    });
}

void budget_world::start(node &n)
{
    const int life = ++n.life;
    n.isUp = true;
    n.frozenUntil = 0;
    n.holding = std::make_unique<budget_holding>(n.id, n.dataCentre);
    n.demand = std::make_unique<budget_demand>();
    n.plan = std::make_unique<budget_table_plan>(n.id);
    n.holding->askOthers = [this, &n](const workspace_id &, double wanted) {
        const auto &table = n.holding->table();
        const auto turn = n.nextOther++;
        const auto holders =
            table ? otherBudgetHolders(table->names, m_workspace, n.dataCentre, turn) : std::vector<instance_id>{};
        askOthers(n, wanted, holders, 0);
    };
    n.holding->setTerms({{m_workspace, budgetTerms(m_settings.limit, m_settings.bound)}}, clockOf(n));
    n.demand->ask = [this, &n](double wanted, time_point askedAt) { ask(n, wanted, askedAt, 0); };
    readTable(n, life);
    tick(n, life);
}

void budget_world::end(node &n)
{
    n.isUp = false;
    ++n.life;
}

void budget_world::tick(node &n, int life)
{
    const auto now = clockOf(n);
    std::vector<fleet_member> members;
    for (const auto &other : m_nodes) {
        if (other->isUp && (!other->isMissed || other->index == n.index)) {
            members.push_back({other->id, other->dataCentre, {}, 1});
        }
    }
    n.plan->observe(members, now);
    if (const auto names = n.plan->due(n.holding->table(), now)) {
        writeTable(n, life, *names);
    }
    n.holding->tick(now);
    n.demand->tick(now);
    doAt(n, life, tickTime * 5, [this, &n, life] { tick(n, life); });
}

void budget_world::readTable(node &n, int life)
{
    doAt(n, life, readingTime, [this, &n, life] { readTable(n, life); });
    const auto askedAt = clockOf(n);
    at(duration{m_now} + travelTime(), [this, &n, life, askedAt] {
        const auto table = m_stored;
        if (n.isCutFromStore || !table) {
            return;
        }
        doAt(n, life, travelTime(), [this, &n, table, askedAt] { n.holding->tableRead(*table, askedAt, clockOf(n)); });
    });
}

void budget_world::writeTable(node &n, int life, const budget_holder_names &names)
{
    const auto known = n.holding->table();
    at(duration{m_now} + travelTime(), [this, &n, known, names] {
        const auto revision = known ? known->revision : 0;
        const auto stored = m_stored ? m_stored->revision : 0;
        if (n.isCutFromStore || revision != stored) {
            return;
        }
        m_stored = {stored + 1, names, known ? known->names : budget_holder_names{}};
        ++m_tables;
    });
    doAt(n, life, duration{500}, [this, &n, life] {
        const auto askedAt = clockOf(n);
        if (m_stored && !n.isCutFromStore) {
            doAt(n, life, travelTime(), [this, &n, table = *m_stored, askedAt] {
                n.holding->tableRead(table, askedAt, clockOf(n));
            });
        }
    });
}

duration budget_world::travelTime()
{
    const bool isLate = m_settings.hasTroubles && below(percent) < 5;
    return duration{isLate ? below(3000) : 1 + below(3)};
}

bool budget_world::isLost(const node &from, const node &to)
{
    const auto cut = m_cutUntil.find(std::minmax(from.index, to.index));
    return (cut != m_cutUntil.end() && m_now < cut->second) || (m_settings.hasTroubles && below(percent) < 1);
}

void budget_world::send(node &from, const instance_id &to, double wanted, bool isFromHolder, const answer &done)
{
    const auto found = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &n) { return n->id == to; });
    auto &peer = **found;
    if (isLost(from, peer) || !peer.isUp) {
        return;
    }
    doAt(peer, peer.life, travelTime(), [this, &from, &peer, fromLife = from.life, wanted, isFromHolder, done] {
        peer.holding->serve(m_workspace, wanted, isFromHolder, clockOf(peer), [&, fromLife, done](const auto &granted) {
            if (!isLost(peer, from)) {
                doAt(from, fromLife, travelTime(), [done, granted] { done(granted); });
            }
        });
    });
}

void budget_world::ask(node &n, double wanted, time_point askedAt, std::size_t place)
{
    const auto life = budgetTerms(m_settings.limit, m_settings.bound).life;
    const auto &table = n.holding->table();
    const auto holders = table ? budgetHolders(table->names, m_workspace, n.dataCentre) : std::vector<instance_id>{};
    if (place >= holders.size()) {
        n.demand->unanswered(wanted, clockOf(n));
        return;
    }
    const auto isDone = std::make_shared<bool>(false);
    const auto take = [this, &n, wanted, askedAt, place, life, isDone](const std::optional<budget_answer> &granted) {
        const bool isLate = std::exchange(*isDone, true);
        if (isLate && granted) {
            n.demand->answered(0, granted->granted, askedAt, life, {}, clockOf(n));
        } else if (!isLate && granted) {
            n.demand->answered(wanted, granted->granted, askedAt, life, granted->retryAfter, clockOf(n));
        } else if (!isLate) {
            ask(n, wanted, askedAt, place + 1);
        }
    };
    if (holders[place] == n.id) {
        n.holding->serve(m_workspace, wanted, false, clockOf(n), take);
        return;
    }
    send(n, holders[place], wanted, false, take);
    doAt(n, n.life, askLimit, [this, &n, wanted, askedAt, place, isDone] {
        if (!std::exchange(*isDone, true)) {
            ask(n, wanted, askedAt, place + 1);
        }
    });
}

void budget_world::askOthers(node &n, double wanted, std::vector<instance_id> holders, double gathered)
{
    if (holders.empty() || gathered >= wanted) {
        doAt(n, n.life, {}, [this, &n, gathered] { n.holding->othersAnswered(m_workspace, gathered, clockOf(n)); });
        return;
    }
    const auto next = holders.front();
    holders.erase(holders.begin());
    const auto isDone = std::make_shared<bool>(false);
    const auto goOn = [this, &n, wanted, holders, gathered, isDone](double more) {
        if (!std::exchange(*isDone, true)) {
            askOthers(n, wanted, holders, gathered + more);
        }
    };
    send(n, next, wanted - gathered, true, [goOn](const std::optional<budget_answer> &granted) {
        goOn(granted ? granted->granted : 0);
    });
    doAt(n, n.life, askLimit / 2, [goOn] { goOn(0); });
}

void budget_world::operate(int instance)
{
    auto &n = *m_nodes[static_cast<std::size_t>(instance) % m_nodes.size()];
    doAt(n, n.life, {}, [this, &n] {
        n.demand->admit(clockOf(n), [this](const admission &result) {
            if (result.isAdmitted) {
                m_admitted.push_back(m_now);
            } else {
                ++m_refused;
            }
        });
    });
}

void budget_world::flood(duration from, duration until, duration gap)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        for (auto time = from; time < until; time = time + duration{1 + below(static_cast<int>(gap.ms) * 2)}) {
            at(time, [this, i] { operate(static_cast<int>(i)); });
        }
    }
}

void budget_world::hoard(duration from, duration before)
{
    constexpr double much = 100;
    constexpr int callers = 40;
    constexpr duration least{400}; // So that the buckets fill again meanwhile.
    auto &n = *m_nodes[static_cast<std::size_t>(below(m_settings.instances))];
    at(from - least - duration{below(static_cast<int>(before.ms - least.ms))}, [this, &n] {
        if (n.isUp && m_now >= n.frozenUntil) {
            ask(n, much, clockOf(n), 0);
        }
    });
    for (int i = 0; i < callers; ++i) {
        at(from, [this, &n] { operate(n.index); });
    }
}

void budget_world::troubleOnce(node &n)
{
    const int kind = below(6);
    const duration span{below(2) == 0 ? below(5000) : below(static_cast<int>(longFreeze.ms))};
    const auto end1 = duration{m_now} + span;
    if (kind == 0) {
        n.frozenUntil = std::max(n.frozenUntil, end1.ms);
    } else if (kind == 1 && n.isUp) {
        end(n);
        at(end1, [this, &n] { start(n); });
    } else if (kind == 2) {
        n.isCutFromStore = true;
        at(end1, [&n] { n.isCutFromStore = false; });
    } else if (kind == 3) {
        n.isMissed = true;
        at(end1 + duration{12000}, [&n] { n.isMissed = false; });
    } else {
        const int other = below(static_cast<int>(m_nodes.size()));
        m_cutUntil[std::minmax(n.index, other)] = end1.ms;
    }
}

void budget_world::trouble(duration until)
{
    for (duration time{below(8000)}; time < until; time = time + duration{below(16000)}) {
        at(time, [this] { troubleOnce(*m_nodes[static_cast<std::size_t>(below(m_settings.instances))]); });
    }
}

double budget_world::worstExcess() const
{
    const auto &limit = m_settings.limit;
    const auto &bound = m_settings.bound;
    const double window = static_cast<double>(bound.window.ms) / 1000;
    const double allowed = (limit.perSecond * window + limit.burst) * (1 + bound.overage) + bound.slack;
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_admitted.size(); ++last) {
        while (m_admitted[last] - m_admitted[first] > bound.window.ms) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most) - allowed;
}

int budget_world::admitted() const
{
    return static_cast<int>(m_admitted.size());
}

int budget_world::refused() const
{
    return m_refused;
}

int budget_world::tables() const
{
    return m_tables;
}

}
