#pragma once

#include "budgetdemand.h"
#include "budgetholding.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace crocusdeal::test
{

struct budget_world_settings {
    int instances = 4;
    int dataCentres = 2;
    rate_limit limit{8, 8};
    rate_limit_bound bound{duration{5000}, 0.1, 20};
    bool hasTroubles = true; ///< Cuts, freezes, kills, restarts, lost and late messages, members that are missed.
};

/** A fleet that keeps the limit of one workspace, with a network, a store and clocks that differ. */
class budget_world
{
public:
    budget_world(std::uint32_t seed, budget_world_settings settings);

    void at(duration time, std::function<void()> action);
    void run(duration until);
    /** A caller of the instance; one that is down takes no operation. */
    void operate(int instance);
    /** Callers everywhere ask for far more than the limit, each about once in @p gap, until @p until. */
    void flood(duration from, duration until, duration gap);
    /**
     * One instance asks for much more than it needs, as it may, up to @p before ahead of @p from, and uses it then at
     * once.
     */
    void hoard(duration from, duration before);
    /** Cuts, freezes, ends and misses at random, until @p until. */
    void trouble(duration until);

    /** The largest number of operations in a window of the bound, over what the bound allows. */
    double worstExcess() const;
    int admitted() const;
    int refused() const;
    int tables() const; ///< That were written.
    int below(int count) const;

private:
    struct node {
        int index = 0;
        instance_id id;
        data_centre_id dataCentre;
        duration clockAhead;
        bool isUp = false;
        int life = 0;
        std::size_t nextOther = 0;
        std::int64_t frozenUntil = 0;
        bool isCutFromStore = false;
        bool isMissed = false; ///< In the list of the members, though it is up.
        std::unique_ptr<budget_holding> holding;
        std::unique_ptr<budget_demand> demand;
        std::unique_ptr<budget_table_plan> plan;
    };
    struct event {
        std::int64_t at = 0;
        std::uint64_t number = 0;
        std::function<void()> action;

        friend bool operator<(const event &a, const event &b)
        {
            return std::pair(a.at, a.number) > std::pair(b.at, b.number);
        }
    };
    using answer = std::function<void(const std::optional<budget_answer> &)>;

    void start(node &n);
    void end(node &n);
    /** Does it at the node, later if that is frozen; not if it has ended meanwhile. */
    void doAt(node &n, int life, duration delay, const std::function<void()> &action);
    time_point clockOf(const node &n) const;
    void tick(node &n, int life);
    void readTable(node &n, int life);
    void writeTable(node &n, int life, const budget_holder_names &names);
    void ask(node &n, double wanted, time_point askedAt, std::size_t place);
    void askOthers(node &n, double wanted, std::vector<instance_id> holders, double gathered);
    void send(node &from, const instance_id &to, double wanted, bool isFromHolder, const answer &done);
    bool isLost(const node &from, const node &to);
    duration travelTime();
    void troubleOnce(node &n);

    budget_world_settings m_settings;
    mutable std::mt19937 m_random;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::map<std::pair<int, int>, std::int64_t> m_cutUntil;
    std::priority_queue<event> m_events;
    std::uint64_t m_nextEvent = 0;
    std::int64_t m_now = 0;
    std::optional<budget_holder_table> m_stored;
    std::vector<std::int64_t> m_admitted;
    int m_refused = 0;
    int m_tables = 0;
    workspace_id m_workspace{"w"};
};

}
